// Command kit plays the review's cases: it starts the project's programs as separate processes on loopback addresses,
// stands in for their platform, upstreams, operator and clients, and checks one rule by what those have seen.
//
// Exit codes: 0, the rule held; 1, it was broken; 2, the case couldn't run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitNoCase  = 2
	caseTimeout = 110 * time.Second
)

// scenario plays one case. It returns whether the rule was broken; an error means that the case couldn't run.
type scenario func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"disks-lost":    disksLost,
	"endless-bytes": endlessBytes,
	// This one has no folder of its own: a fault that was found beyond the three cases.
	"leave-forgotten": leaveForgotten,
	"unreadable-id":   unreadableID,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit SCENARIO FOLDER, from the root of the repository")
		return exitNoCase
	}
	record, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoCase
	}
	defer record.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("case", "%s trouble=%v", os.Args[1], trouble)

	d, err := newDeployment(record)
	if err != nil {
		record.add("error", "%v", err)
		return exitNoCase
	}
	defer d.end()
	go func() {
		// A signal or the time limit ends the case and all processes that it started.
		<-ctx.Done()
		if !d.isClosed() {
			record.add("result", "the case couldn't run: %v", ctx.Err())
			d.end()
			record.close()
			os.Exit(exitNoCase)
		}
	}()
	broken, err := scenarios[os.Args[1]](ctx, d, trouble)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err == nil && !broken {
		err = d.unexpectedEnds()
	}
	switch {
	case err != nil && !errors.Is(err, errBroken):
		record.add("result", "the case couldn't run: %v", err)
		return exitNoCase
	case broken:
		record.add("result", "BROKEN")
		return exitBroken
	}
	record.add("result", "held")
	return exitHeld
}

var errBroken = errors.New("broken")
