// Command second runs the scripted cases of a review against the project's own programs.
package main

import (
	"fmt"
	"os"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(r *record, trouble bool) int{
	"changes": changes, "lostdisk": lostDisk,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, with the disruption: %v", os.Args[1], trouble)
	out := cases[os.Args[1]](r, trouble)
	r.note("result %d", out)
	os.Exit(out)
}
