// Command standin plays targets and callers for tests, the demo and measurements.
package main

import (
	"os"

	"chervilrail.example/standin/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
