// Command railctl is the operators' tool for the catalogue.
package main

import (
	"os"

	"chervilrail.example/railctl/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
