// Command redwingstall is the router's daemon and its operators' tool.
package main

import "C" // platforms run only programs that are linked against the C library

import (
	"os"

	"github.com/redwingstall/redwingstall/pkg/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
