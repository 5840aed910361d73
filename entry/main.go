// Command entry answers look-ups, takes announcements and forwards requests to targets.
package main

import (
	"os"

	"chervilrail.example/entry/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args))
}
