// Command redwingstall runs router instances and is the command-line tool of their
// operators.
package main

import "C" // a platform runs only programs that are linked against the C library

import (
	"os"

	"github.com/redwingstall/redwingstall/pkg/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
