// Command standin runs stand-ins for the platform and for backend servers. It
// never ships with the product.
package main

import (
	"os"

	"github.com/redwingstall/redwingstall/pkg/standin/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
