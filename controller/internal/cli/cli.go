// Package cli is the controller's command line.
package cli

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"chervilrail.example/controller/internal/changer"
	"chervilrail.example/controller/internal/config"
	"chervilrail.example/controller/internal/consenter"
	"chervilrail.example/controller/internal/courier"
	"chervilrail.example/controller/internal/divider"
	"chervilrail.example/controller/internal/exchanger"
	"chervilrail.example/controller/internal/server"
	"chervilrail.example/controller/internal/steerer"
	"chervilrail.example/core/dialer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/listener"
	"chervilrail.example/core/logger"
	"chervilrail.example/core/reloader"
	"chervilrail.example/core/replicator"
	"chervilrail.example/core/reporter"
	"chervilrail.example/core/securer"
	"chervilrail.example/core/storer"
	"chervilrail.example/core/wire"
	"chervilrail.example/platform/translator"
)

const (
	exitFailure  = 1
	exitSettings = 2
)

// Run runs the program and returns its exit code.
func Run(args []string) int {
	settings := &cli.StringFlag{
		Name: "config", Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars("CHERVILRAIL_CONFIG"),
	}
	check := &cli.BoolFlag{Name: "check", Usage: "check the settings and exit"}
	root := &cli.Command{
		Name:  "controller",
		Usage: "keep the control state of chervilrail",
		Commands: []*cli.Command{
			{
				Name:   "run",
				Usage:  "take part in the group of controllers",
				Flags:  []cli.Flag{settings, check},
				Action: run,
			},
			{
				Name:   "found",
				Usage:  "create a new group on an empty data folder, once, on one controller",
				Flags:  []cli.Flag{settings},
				Action: found,
			},
		},
	}
	if err := root.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		var exit cli.ExitCoder
		if errors.As(err, &exit) {
			return exit.ExitCode()
		}
		return exitFailure
	}
	return 0
}

func load(c *cli.Command) (*config.Config, error) {
	settings, err := config.Load(c.String("config"))
	if err != nil {
		return nil, cli.Exit(err.Error(), exitSettings)
	}
	return settings, nil
}

// found writes the first member by hand. It is a command of its own: a setting left in a unit file
// would found a second group after a disk is lost, and accepted changes would revert.
func found(_ context.Context, c *cli.Command) error {
	settings, err := load(c)
	if err != nil {
		return err
	}
	store := storer.Storer{Folder: settings.Folder}
	recovered, err := store.Open()
	if err != nil {
		return err
	}
	if recovered.Identity != nil || recovered.Snapshot != nil || len(recovered.Entries) > 0 {
		return cli.Exit("found: the data folder "+settings.Folder+" is not empty", exitSettings)
	}
	self := &wire.Member{
		Name:        settings.Name,
		Incarnation: rand.Uint64(),
		Address:     settings.Control.String(),
		Voter:       true,
	}
	snapshot := &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Members: []*wire.Member{self}}}
	if err := store.SaveSnapshot(snapshot, false); err != nil {
		return err
	}
	return store.SaveIdentity(&wire.Identity{Group: rand.Uint64(), Self: self})
}

func run(ctx context.Context, c *cli.Command) error {
	settings, err := load(c)
	if err != nil {
		return err
	}
	if c.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k, closeLog := assemble(settings)
	defer closeLog()
	k.Services = append([]kernel.Service{&reloader.Reloader{
		// What the settings say takes effect with the next start.
		Load:   func() error { _, err := load(c); return err },
		Logger: k.Logger,
	}}, k.Services...)
	_ = level.Info(k.Logger).Log("msg", "starting", "control", settings.Control, "operator", settings.Operator)
	return k.Run(ctx)
}

// assemble puts the controller together; the function it returns ends the log.
func assemble(settings *config.Config) (*kernel.Kernel, func()) {
	registry := reporter.Registry()
	logs, closeLog := logger.Open(logger.Options{
		Format: settings.LogFormat, Level: settings.LogLevel, Program: "controller", Instance: settings.Name,
	}, registry)
	fatal := make(chan error, 1)
	controlKeys := &securer.Keys{Files: settings.ControlKeys}
	carrier := &courier.Courier{Dialer: &dialer.Dialer{Keys: controlKeys}, Logger: logs}
	mind := &consenter.Consenter{
		Folder:    settings.Folder,
		Member:    &wire.Member{Name: settings.Name, Address: settings.Control.String()},
		Peers:     settings.Peers,
		MaxVoters: settings.Seats,
		Bootstrap: settings.Found,
		Timing: replicator.Timing{
			Election:     settings.Election,
			Heartbeat:    settings.Heartbeat,
			ReplaceAfter: settings.Replace,
		},
		Lease:  settings.Lease,
		Quotas: settings.Quotas,
		Sender: carrier,
		Logger: logs,
		Fatal:  fatal,
	}
	exchange := &exchanger.Exchanger{
		Self: settings.Name, Region: settings.Region, Mind: mind, Dialer: &dialer.Dialer{Keys: controlKeys, HTTP1Only: true},
		Shelf: &storer.Hosts{Folder: settings.Folder}, Logger: logs,
	}
	mind.OnRoutingChange = exchange.Wake
	change := &changer.Changer{Mind: mind, Passer: exchange, Logger: logs}
	divide := &divider.Divider{Mind: mind, Passer: exchange, Logger: logs}
	handlers := &server.Server{
		Mind: mind, Token: settings.Token, Exchanger: exchange, Changer: change, Divider: divide,
	}
	operator := handlers.Operator()
	k := &kernel.Kernel{Logger: logs, StopTimeout: settings.Patience, Fatal: fatal}
	registry.MustRegister(&server.Collector{Summary: mind.Summary})
	reporter.Mount(operator, registry, k)
	k.Services = []kernel.Service{
		carrier,
		mind,
		exchange,
		&listener.Listener{
			ServiceName: "control", Address: settings.Control, Handler: handlers.Control(), Keys: controlKeys, Logger: logs,
		},
		&listener.Listener{
			ServiceName: "operator",
			Address:     settings.Operator,
			Handler:     operator,
			Keys:        &securer.Keys{Files: settings.OperatorKeys},
			Logger:      logs,
		},
	}
	k.Services = append(k.Services, faces(settings, &translator.Operator{
		Changer: change, Register: exchange, Steerer: &steerer.Steerer{Sightings: exchange},
		Regions: settings.Regions, Logger: logs,
	})...)
	return k, closeLog
}

// faces are the listeners that speak the users' platform's language, where the settings name any.
func faces(settings *config.Config, face *translator.Operator) []kernel.Service {
	var out []kernel.Service
	for title, address := range map[string]netip.AddrPort{"callers": settings.Callers, "directory": settings.Directory} {
		if address.IsValid() {
			out = append(out, &listener.Listener{ServiceName: title, Address: address, Handler: face, Logger: face.Logger})
		}
	}
	return out
}
