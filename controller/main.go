// Command controller keeps the control state with its fellow controllers and grants shares of limits.
package main

import (
	"os"

	"chervilrail.example/controller/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
