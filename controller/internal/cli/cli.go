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
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"chervilrail.example/controller/internal/allocator"
	"chervilrail.example/controller/internal/changer"
	"chervilrail.example/controller/internal/config"
	"chervilrail.example/controller/internal/consenter"
	"chervilrail.example/controller/internal/counter"
	"chervilrail.example/controller/internal/courier"
	"chervilrail.example/controller/internal/exchanger"
	"chervilrail.example/controller/internal/observer"
	"chervilrail.example/controller/internal/selector"
	"chervilrail.example/controller/internal/server"
	"chervilrail.example/core/bounder"
	"chervilrail.example/core/closer"
	"chervilrail.example/core/dialer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/listener"
	"chervilrail.example/core/logger"
	"chervilrail.example/core/reloader"
	"chervilrail.example/core/replicator"
	"chervilrail.example/core/reporter"
	"chervilrail.example/core/securer"
	"chervilrail.example/core/stopper"
	"chervilrail.example/core/storer"
	"chervilrail.example/core/wire"
	"chervilrail.example/platform/translator"
)

const (
	exitFailure  = 1
	exitSettings = 2
	// stopReserve is the part of the time for a planned stop that is left to close the log of the consensus.
	stopReserve = time.Second / 2
	// callerPercent is the percentage of the descriptors that connections of targets and clients may use. A full table of
	// descriptors would keep out the calls of other controllers.
	callerPercent = 70
	// bodyMemoryPart is the part of the memory, one in so many bytes, that the bodies of operators' and targets' calls may
	// take. Decoded, a body takes several times as much.
	bodyMemoryPart = 8
)

// Run runs the program with its arguments, the first of which is the program's name, and returns the exit code.
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
				Action: foundGroup,
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

// loadSettings reads the settings file that the flag names.
func loadSettings(c *cli.Command) (*config.Config, error) {
	settings, err := config.Load(c.String("config"))
	if err != nil {
		return nil, cli.Exit(err.Error(), exitSettings)
	}
	return settings, nil
}

// foundGroup creates a group with this controller as its only member. It is a command and not a setting: a setting that
// stays in a unit file would found a second group after the loss of a disk, and accepted changes would be reverted.
func foundGroup(_ context.Context, c *cli.Command) error {
	settings, err := loadSettings(c)
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

// run runs the controller until it receives SIGTERM or SIGINT. With the flag check it only validates the settings.
func run(ctx context.Context, c *cli.Command) error {
	settings, err := loadSettings(c)
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
		// A reload only validates the settings. They take effect at the next start.
		Load:   func() error { _, err := loadSettings(c); return err },
		Logger: k.Logger,
	}}, k.Services...)
	_ = level.Info(k.Logger).Log("msg", "starting", "control", settings.Control, "operator", settings.Operator)
	return k.Run(ctx)
}

// assemble creates the controller's services. The function that it returns closes the log.
func assemble(settings *config.Config) (*kernel.Kernel, func()) {
	registry := reporter.Registry()
	logs, closeLog := logger.Open(logger.Options{
		Format: settings.LogFormat, Level: settings.LogLevel, Program: "controller", Instance: settings.Name,
	}, registry)
	fatal := make(chan error, 1)
	controlKeys := &securer.Keys{Files: settings.ControlKeys}
	sender := &courier.Courier{Dialer: &dialer.Dialer{Keys: controlKeys}, Logger: logs}
	syncs := &observer.Observer{Logger: logs, Durations: observer.NewDurations(registry)}
	consensus := newConsenter(settings, sender, logs, fatal)
	consensus.Observer = syncs
	work := &counter.Counter{Logger: logs}
	exchange := &exchanger.Exchanger{
		Self: settings.Name, Region: settings.Region, Consensus: consensus,
		Dialer:     &dialer.Dialer{Keys: controlKeys, HTTP1Only: true},
		HostStore:  &storer.HostStore{Folder: settings.Folder, Observer: syncs},
		LeaveStore: &storer.LeaveStore{Folder: settings.Folder, Observer: syncs}, Counter: work, Logger: logs,
	}
	consensus.OnRoutingChange = exchange.RoutingChanged
	change := &changer.Changer{Consensus: consensus, Forwarder: exchange, Logger: logs}
	allocate := &allocator.Allocator{Consensus: consensus, Forwarder: exchange, Logger: logs}
	handlers := &server.Server{
		Consensus: consensus, Token: settings.Token, Exchanger: exchange, Changer: change, Allocator: allocate,
		Counter: work,
	}
	operator := handlers.Operator()
	closing := &closer.Closer{Logger: logs, Metrics: closer.NewMetrics(registry)}
	k := &kernel.Kernel{
		Logger: logs, Stopper: stopper.Stopper{Timeout: settings.StopTimeout, Reserve: stopReserve},
		MemoryLimit: settings.MemoryLimit, Fatal: fatal,
	}
	registry.MustRegister(&server.Collector{Summary: consensus.Summary}, work)
	reporter.Mount(operator, registry, k)
	k.Services = []kernel.Service{
		closing,
		sender,
		consensus,
		exchange,
		&listener.Listener{
			ServiceName: "control", Address: settings.Control, Handler: handlers.Control(), Keys: controlKeys, Logger: logs,
			Closer: closing, EndRequests: true,
		},
		&listener.Listener{
			ServiceName: "operator",
			Address:     settings.Operator,
			Handler:     operator,
			Keys:        &securer.Keys{Files: settings.OperatorKeys},
			Logger:      logs,
			Closer:      closing,
			EndRequests: true,
		},
	}
	k.Services = append(k.Services, work)
	k.Services = append(k.Services, platformListeners(settings, work, closing, &translator.PlatformHandler{
		Changer: change, TargetRegistry: exchange, Selector: &selector.Selector{InstanceLister: exchange},
		Regions: settings.Regions, Logger: logs, Bodies: &bounder.Bounder{Limit: settings.MemoryLimit / bodyMemoryPart},
	})...)
	return k, closeLog
}

// newConsenter returns the service of the replicated control state.
func newConsenter(
	settings *config.Config, sender consenter.Sender, logs log.Logger, fatal chan<- error,
) *consenter.Consenter {
	return &consenter.Consenter{
		Folder:    settings.Folder,
		Member:    &wire.Member{Name: settings.Name, Address: settings.Control.String()},
		Peers:     settings.Peers,
		MaxVoters: settings.MaxVoters,
		Bootstrap: settings.Bootstrap,
		Timing: replicator.Timing{
			Election:     settings.Election,
			Heartbeat:    settings.Heartbeat,
			ReplaceAfter: settings.ReplaceAfter,
		},
		Lease:  settings.Lease,
		Quotas: settings.Quotas,
		Sender: sender,
		Logger: logs,
		Fatal:  fatal,
	}
}

// platformListeners returns the listeners for calls of the users' platform, as far as the settings define their
// addresses. The counter reports their connections.
func platformListeners(
	settings *config.Config, work *counter.Counter, closing *closer.Closer, handler *translator.PlatformHandler,
) []kernel.Service {
	var listeners []*listener.Listener
	var out []kernel.Service
	var bound *listener.Bound
	if settings.Descriptors > 0 {
		bound = &listener.Bound{Max: settings.Descriptors * callerPercent / 100}
	}
	for title, address := range map[string]netip.AddrPort{"callers": settings.Callers, "directory": settings.Directory} {
		if address.IsValid() {
			l := &listener.Listener{
				ServiceName: title, Address: address, Handler: handler, Logger: handler.Logger,
				Closer: closing, Bound: bound, EndRequests: true,
			}
			listeners = append(listeners, l)
			out = append(out, l)
		}
	}
	work.Connections = func() counter.Connections { return sumConnections(listeners, bound) }
	return out
}

// sumConnections returns the sums of the connections of some listeners, which share a bound if it is not nil.
func sumConnections(listeners []*listener.Listener, bound *listener.Bound) counter.Connections {
	var out counter.Connections
	if bound != nil {
		out.Refused = bound.Refused()
	}
	for _, l := range listeners {
		open, accepted := l.Connections()
		out.Open += open
		out.Accepted += accepted
	}
	return out
}
