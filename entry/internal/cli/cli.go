// Package cli is the entry program's command line.
package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"

	"chervilrail.example/core/closer"
	"chervilrail.example/core/dialer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/listener"
	"chervilrail.example/core/logger"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/reloader"
	"chervilrail.example/core/reporter"
	"chervilrail.example/core/securer"
	"chervilrail.example/core/stopper"
	"chervilrail.example/entry/internal/announcer"
	"chervilrail.example/entry/internal/broadcaster"
	"chervilrail.example/entry/internal/config"
	"chervilrail.example/entry/internal/directory"
	"chervilrail.example/entry/internal/forwarder"
	"chervilrail.example/entry/internal/refuser"
	"chervilrail.example/entry/internal/requester"
	"chervilrail.example/entry/internal/resolver"
)

const (
	exitFailure  = 1
	exitSettings = 2
	// leaveHeartbeats is how many heartbeats it may take until every instance has learnt that this one leaves.
	leaveHeartbeats = 3
)

// Run runs the program and returns its exit code.
func Run(args []string) int {
	root := &cli.Command{
		Name:  "entry",
		Usage: "answer look-ups and forward requests to targets",
		Commands: []*cli.Command{{
			Name:  "run",
			Usage: "serve callers until told to stop",
			Flags: []cli.Flag{
				&cli.StringFlag{
					Name: "config", Usage: "settings `FILE`", Required: true, Sources: cli.EnvVars("CHERVILRAIL_CONFIG"),
				},
				&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			},
			Action: run,
		}},
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

func run(ctx context.Context, c *cli.Command) error {
	settings, err := config.Load(c.String("config"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if c.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if len(settings.Seeds) > 0 {
		p := newPlanProgram(c.String("config"), settings)
		defer p.closeLog()
		return p.run(ctx)
	}
	p := newProgram(c.String("config"), settings)
	defer p.closeLog()
	_ = level.Info(p.logger).Log("msg", "starting", "caller", settings.Caller, "region", settings.Region,
		"zone", settings.Zone)
	return p.kernel().Run(ctx)
}

// program holds the services of an entry instance that uses a catalogue.
type program struct {
	settings    *config.Config
	path        string
	logger      log.Logger
	closeLog    func()
	registry    *prometheus.Registry
	controlKeys *securer.Keys
	requester   *requester.Requester
	directory   *directory.Directory
	broadcaster *broadcaster.Broadcaster
	forwarder   *forwarder.Forwarder
	quarantine  *quarantiner.Quarantiner
	closer      *closer.Closer
}

func newProgram(path string, settings *config.Config) *program {
	p := &program{path: path, settings: settings, registry: reporter.Registry(), quarantine: &quarantiner.Quarantiner{}}
	p.logger, p.closeLog = logger.Open(logger.Options{
		Format:   settings.LogFormat,
		Level:    settings.LogLevel,
		Program:  "entry",
		Instance: settings.Name,
	}, p.registry)
	p.controlKeys = &securer.Keys{Files: settings.ControlKeys}
	controlDialer := &dialer.Dialer{Keys: p.controlKeys}
	p.requester = &requester.Requester{Dialer: controlDialer, Controllers: settings.Controllers}
	p.broadcaster = &broadcaster.Broadcaster{
		Instance:   settings.Name,
		Dialer:     controlDialer,
		Quarantine: p.quarantine,
		Logger:     p.logger,
	}
	p.directory = &directory.Directory{
		Instance:          settings.Name,
		Region:            settings.Region,
		Zone:              settings.Zone,
		Caller:            settings.Caller,
		Peer:              settings.Peer,
		HeartbeatInterval: settings.RenewInterval,
		Renewer:           p.requester,
		RecordBroadcaster: p.broadcaster,
		Logger:            p.logger,
	}
	p.broadcaster.Register = p.directory
	p.forwarder = &forwarder.Forwarder{
		Instance:        settings.Name,
		Region:          settings.Region,
		Views:           p.directory,
		Holder:          &p.directory.Holder,
		Ledger:          p.requester,
		LossBroadcaster: p.broadcaster,
		Quarantine:      p.quarantine,
		Logger:          p.logger,
		Metrics:         forwarder.NewMetrics(p.registry),
		Sample:          settings.Sample,
	}
	p.forwarder.Bodies.Limit = settings.MemoryLimit / bodyMemoryPart
	p.registry.MustRegister(&collector{directory: p.directory})
	p.closer = &closer.Closer{Logger: p.logger, Metrics: closer.NewMetrics(p.registry)}
	return p
}

// kernel lists the services in the order of their start; they stop in reverse.
func (p *program) kernel() *kernel.Kernel {
	stop := stopOf(p.settings)
	stop.Serve += leaveHeartbeats * p.settings.RenewInterval // until then, answers may be given that name this instance
	k := &kernel.Kernel{Logger: p.logger, Stopper: stop, Fatal: make(chan error, 1)}
	operator := http.NewServeMux()
	reporter.Mount(operator, p.registry, k)
	caller := p.newListener("caller", p.callerHandler())
	k.Services = []kernel.Service{
		p.closer,
		&reloader.Reloader{Load: p.reload, Logger: p.logger},
		p.requester,
		p.directory,
		p.broadcaster,
		p.newListener("peer", p.broadcaster.Handler()),
		p.newListener("operator", operator),
		p.forwarder,
		p.newListener("target", p.targetHandler()),
		caller,
		&drainer{
			directory: p.directory,
			forwarder: p.forwarder,
			caller:    caller,
			logger:    p.logger,
		},
	}
	return k
}

// stopOf returns what the deadlines of a planned stop are worked out from.
func stopOf(settings *config.Config) stopper.Stopper {
	return stopper.Stopper{Timeout: settings.StopTimeout, Serve: settings.AnswerMaxAge, Reserve: closeReserve}
}

// reload checks the settings file; changes take effect at the next start.
func (p *program) reload() error {
	_, err := config.Load(p.path)
	return err
}

func (p *program) newListener(title string, handler http.Handler) *listener.Listener {
	l := &listener.Listener{ServiceName: title, Handler: handler, Logger: p.logger, Closer: p.closer}
	switch title {
	case "peer":
		l.Address, l.Keys = p.settings.Peer, p.controlKeys
	case "operator":
		l.Address, l.Keys = p.settings.Operator, &securer.Keys{Files: p.settings.OperatorKeys}
	case "target":
		l.Address, l.Keys = p.settings.Target, &securer.Keys{Files: p.settings.TargetKeys}
	default:
		l.Address, l.Keys = p.settings.Caller, &securer.Keys{Files: p.settings.CallerKeys}
	}
	return l
}

// targetHandler receives the announcements of targets.
func (p *program) targetHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("PUT /announce", &announcer.Handler{Register: p.directory})
	return mux
}

// callerHandler passes look-ups to the resolver and all other requests to the forwarder. A request that names its
// service in the header is never a look-up, so services may have a path of that name.
func (p *program) callerHandler() http.Handler {
	lookups := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilrail_entry", Name: "lookups_total", Help: "Look-ups by result.",
	}, []string{"result"})
	p.registry.MustRegister(lookups)
	lookupHandler := &resolver.Handler{
		Views:  p.directory,
		Region: p.settings.Region,
		MaxAge: p.settings.AnswerMaxAge,
		Logger: p.logger,
		Count:  func(result string) { lookups.WithLabelValues(result).Inc() },
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lookup := r.URL.Path == "/lookup" && r.Method == http.MethodGet && r.Header.Get(refuser.HeaderService) == ""
		if lookup {
			lookupHandler.ServeHTTP(w, r)
			return
		}
		p.forwarder.ServeHTTP(w, r)
	})
}
