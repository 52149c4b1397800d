// Command standin simulates the platform and backend servers for tests and
// demonstrations. It is not part of a release.
package main

import (
	"os"

	"github.com/redwingstall/redwingstall/pkg/standin/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
