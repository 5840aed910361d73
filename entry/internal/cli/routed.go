package cli

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/kernel"
	"chervilrail.example/core/listener"
	"chervilrail.example/core/logger"
	"chervilrail.example/core/quarantiner"
	"chervilrail.example/core/reloader"
	"chervilrail.example/core/reporter"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/carrier"
	"chervilrail.example/entry/internal/config"
	"chervilrail.example/entry/internal/enforcer"
	"chervilrail.example/entry/internal/locator"
	"chervilrail.example/entry/internal/pooler"
	"chervilrail.example/entry/internal/watcher"
	"chervilrail.example/platform/translator"
)

// memoryParts is the share of its memory that the collector lets the process use before it works harder; the rest is
// for stacks, buffers of the kernel and what is freed late.
const memoryParts = 0.6

// confirmedLosses is how many targets have to die under a request before it is kept out. Targets break off answers for
// other reasons, too, and a popular request is in flight at many of them.
const confirmedLosses = 3

// routed holds the parts of an entry instance that routes by a plan while they are put together.
type routed struct {
	settings *config.Config
	path     string
	logger   log.Logger
	closeLog func()
	registry *prometheus.Registry
	watcher  *watcher.Watcher
	carrier  *carrier.Carrier
	locator  *locator.Locator
	asker    *enforcer.Enforcer
	leaver   *leaver
}

func newRouted(path string, settings *config.Config) *routed {
	p := &routed{path: path, settings: settings, registry: reporter.Registry()}
	p.logger, p.closeLog = logger.Open(logger.Options{
		Format: settings.LogFormat, Level: settings.LogLevel, Program: "entry", Instance: settings.Name,
	}, p.registry)
	quarantine := &quarantiner.Quarantiner{Threshold: confirmedLosses}
	p.watcher = &watcher.Watcher{
		Node: &wire.Node{
			Name: settings.Name, Caller: settings.Caller.String(), Peer: settings.Peer.String(), Region: settings.Region, Zone: settings.Zone,
		},
		Seeds:  settings.Seeds,
		Dialer: &dialer.Dialer{HTTP1Only: true},
		Logger: p.logger,
		Losses: func(reports []*wire.Loss) { takeLosses(quarantine, reports) },
	}
	p.carrier = &carrier.Carrier{
		Self: settings.Name, Region: settings.Region, Zone: settings.Zone, Codec: translator.Face{}, Views: p.watcher,
		Sender: &pooler.Pooler{}, Quarantine: quarantine, Logger: p.logger, Metrics: carrier.NewMetrics(p.registry),
	}
	p.locator = &locator.Locator{
		Self: settings.Name, Dialer: &dialer.Dialer{HTTP1Only: true}, Assigner: p.carrier, Logger: p.logger,
	}
	p.asker = &enforcer.Enforcer{
		Self:        &wire.QuotaHolder{Name: settings.Name, Incarnation: rand.Uint64()},
		Controllers: p.watcher, Peers: p.locator, Dialer: &dialer.Dialer{HTTP1Only: true}, Logger: p.logger,
	}
	p.locator.Spender = p.asker
	p.carrier.Locator, p.carrier.Quotas = p.locator, p.asker
	p.watcher.Changed, p.watcher.Hosts, p.watcher.Loads = p.follow, p.carrier.UpdateHosts, p.carrier.UpdateLoads
	p.leaver = &leaver{watcher: p.watcher, carrier: p.carrier, serve: settings.Answer, logger: p.logger}
	return p
}

// follow puts a new view in force.
func (p *routed) follow(v *watcher.View) {
	p.asker.Update(time.Now(), v)
	p.carrier.ApplyView(v)
}

// takeLosses counts what other entry instances saw, as if it had been seen here.
func takeLosses(q *quarantiner.Quarantiner, reports []*wire.Loss) {
	now := time.Now()
	for _, l := range reports {
		var f quarantiner.Fingerprint
		copy(f[:], l.GetFingerprint())
		if l.GetSuccess() {
			q.RecordSuccess(now, f)
			continue
		}
		q.RecordLoss(now, f, quarantiner.Run{Target: l.GetTarget(), Incarnation: l.GetIncarnation()})
	}
}

func (p *routed) run(ctx context.Context) error {
	if p.settings.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(p.settings.Memory) * memoryParts))
	}
	_ = level.Info(p.logger).Log("msg", "starting", "caller", p.settings.Caller, "region", p.settings.Region,
		"zone", p.settings.Zone)
	err := p.kernel().Run(ctx)
	_ = level.Info(p.logger).Log("msg", "stopped", "err", err)
	return err
}

// kernel lists the services in the order of their start; they stop in reverse.
func (p *routed) kernel() *kernel.Kernel {
	k := &kernel.Kernel{Logger: p.logger, StopTimeout: p.settings.Patience, Fatal: make(chan error, 1)}
	operator := http.NewServeMux()
	reporter.Mount(operator, p.registry, k)
	s := p.settings
	k.Services = []kernel.Service{
		&reloader.Reloader{Load: p.reload, Logger: p.logger},
		p.carrier,
		p.locator,
		p.asker,
		p.watcher,
		&listener.Listener{ServiceName: "operator", Address: s.Operator, Handler: operator, Logger: p.logger},
		&listener.Listener{ServiceName: "caller", Address: s.Caller, Handler: p.carrier, Logger: p.logger},
		&listener.Listener{ServiceName: "ready", Address: s.Ready, Handler: translator.Ready{Check: p.ready}, Logger: p.logger},
		p.leaver,
	}
	if s.Peer.IsValid() {
		k.Services = slices.Insert(k.Services, 1, kernel.Service(&listener.Listener{
			ServiceName: "peer", Address: s.Peer, Handler: p.locator.Handler(), Logger: p.logger,
		}))
	}
	return k
}

// reload checks the settings and takes over the seeds; addresses can't change while connections use them.
func (p *routed) reload() error {
	settings, err := config.Load(p.path)
	if err != nil {
		return err
	}
	p.watcher.Reseed(settings.Seeds)
	return nil
}

// ready reports whether callers should be sent here.
func (p *routed) ready() error {
	if err := p.leaver.Health(); err != nil {
		return err
	}
	return p.watcher.Health()
}
