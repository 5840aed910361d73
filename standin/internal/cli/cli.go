// Package cli is the command line of standin.
package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"chervilrail.example/standin/internal/backend"
	"chervilrail.example/standin/internal/demo"
	"chervilrail.example/standin/internal/experimenter"
	"chervilrail.example/standin/internal/measurer"
	"chervilrail.example/standin/internal/sloper"
)

const (
	exitFailure   = 1
	defaultWork   = 5 * time.Millisecond
	headerTimeout = 10 * time.Second
	stopTimeout   = time.Minute
	leaveDelay    = 3 * time.Second
)

// Run runs the program and returns its exit code.
func Run(args []string) int {
	root := &cli.Command{
		Name:  "standin",
		Usage: "simulate targets and callers for tests",
		Commands: []*cli.Command{
			targetCommand(), demoCommand(), measureCommand(), slopesCommand(), experimentCommand(), soakCommand(),
		},
	}
	if err := root.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailure
	}
	return 0
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a target that announces itself to entry instances",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "address", Required: true},
			&cli.StringFlag{Name: "region", Required: true},
			&cli.StringFlag{Name: "zone", Required: true},
			&cli.StringFlag{Name: "entries", Required: true},
			&cli.IntFlag{Name: "slots", Value: 3},
			&cli.DurationFlag{Name: "work", Value: defaultWork},
		},
		Action: runTarget,
	}
}

func runTarget(ctx context.Context, c *cli.Command) error {
	address, err := netip.ParseAddrPort(c.String("address"))
	if err != nil {
		return err
	}
	b := &backend.Target{Name: c.String("name"), Slots: int32(c.Int("slots")), Work: c.Duration("work")}
	a := &backend.Announcer{
		Target:  b,
		Service: c.String("service"),
		Region:  c.String("region"),
		Zone:    c.String("zone"),
		Address: address,
	}
	for _, text := range strings.Split(c.String("entries"), ",") {
		entry, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		a.Entries = append(a.Entries, entry)
	}
	server := &http.Server{Addr: address.String(), Handler: b, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	announceCtx, stopAnnouncing := context.WithCancel(context.Background())
	go a.Run(announceCtx)
	select {
	case err := <-failed:
		stopAnnouncing()
		return err
	case <-ctx.Done():
	}
	stopAnnouncing()
	return leave(server, a)
}

// leave announces that the target is leaving, keeps accepting requests for leaveDelay because some may still be on
// their way, and shuts the server down when all requests are finished.
func leave(server *http.Server, a *backend.Announcer) error {
	a.Announce("leaving")
	time.Sleep(leaveDelay)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return server.Shutdown(ctx)
}

func pathFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "programs", Usage: "`FOLDER` with the built programs", Required: true},
		&cli.StringFlag{Name: "catalogue", Usage: "catalogue `FILE`", Required: true},
		&cli.StringFlag{Name: "folder", Usage: "`FOLDER` for settings, logs and data", Required: true},
	}
}

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "start a local system and measure it",
		Flags: pathFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			return measurer.Run(os.Stdout, measurer.Options{
				Programs:  c.String("programs"),
				Catalogue: c.String("catalogue"),
				Folder:    c.String("folder"),
			})
		},
	}
}

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "simulate scenarios in logical time with the decision packages and with a naive policy",
		ArgsUsage: "FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			for _, path := range c.Args().Slice() {
				s, err := experimenter.Load(path)
				if err != nil {
					return err
				}
				experimenter.Report(os.Stdout, s)
			}
			return nil
		},
	}
}

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:   "slopes",
		Usage:  "measure how the cost of each part grows with its size",
		Action: func(context.Context, *cli.Command) error { return sloper.Run(os.Stdout) },
	}
}

func demoCommand() *cli.Command {
	failures := &cli.BoolFlag{
		Name: "failures", Usage: "freeze a controller and kill an entry instance while requests are sent",
	}
	return &cli.Command{
		Name:  "demo",
		Usage: "start a local system, send requests of each class, and print the results",
		Flags: append(pathFlags(), failures),
		Action: func(_ context.Context, c *cli.Command) error {
			return demo.Run(os.Stdout, demo.Options{
				Programs:  c.String("programs"),
				Catalogue: c.String("catalogue"),
				Folder:    c.String("folder"),
				Failures:  c.Bool("failures"),
			})
		},
	}
}
