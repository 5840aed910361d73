package cli

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"chervilrail.example/core/closer"
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

// confirmedLosses is how many targets have to die while they run a request before it is quarantined. Targets break
// off answers for other reasons, too, and a popular request is in flight at many of them.
const confirmedLosses = 3

// answerMemoryPart is the part of the memory, one in so many bytes, that answers which are being read may take. Their
// buffers are copied as they grow, and the old ones wait for the collector.
const answerMemoryPart = 8

// bodyMemoryPart is the part of the memory, one in so many bytes, that the bodies of callers' requests may take. Together
// with that of answers, and with what is freed late, it stays below the memory at which the garbage collector works harder.
const bodyMemoryPart = 4

// closeReserve is the part of the time for a planned stop that is left to deliver the last answers once requests in
// progress have been cut.
const closeReserve = time.Second / 5

// planProgram holds the services of an entry instance that routes by a plan.
type planProgram struct {
	settings *config.Config
	path     string
	logger   log.Logger
	closeLog func()
	registry *prometheus.Registry
	watcher  *watcher.Watcher
	carrier  *carrier.Carrier
	locator  *locator.Locator
	enforcer *enforcer.Enforcer
	caller   *listener.Listener
	leaver   *leaver
	closer   *closer.Closer
}

func newPlanProgram(path string, settings *config.Config) *planProgram {
	p := &planProgram{path: path, settings: settings, registry: reporter.Registry()}
	p.logger, p.closeLog = logger.Open(logger.Options{
		Format: settings.LogFormat, Level: settings.LogLevel, Program: "entry", Instance: settings.Name,
	}, p.registry)
	quarantine := &quarantiner.Quarantiner{Threshold: confirmedLosses}
	p.watcher = &watcher.Watcher{
		Instance: &wire.Node{
			Name: settings.Name, Caller: settings.Caller.String(), Peer: settings.Peer.String(),
			Region: settings.Region, Zone: settings.Zone,
		},
		Seeds:    settings.Seeds,
		Dialer:   &dialer.Dialer{HTTP1Only: true},
		Logger:   p.logger,
		OnLosses: func(losses []*wire.Loss) { applyLosses(quarantine, losses) },
	}
	p.carrier = &carrier.Carrier{
		Self: settings.Name, Region: settings.Region, Zone: settings.Zone, Codec: translator.Codec{}, Views: p.watcher,
		Sender: &pooler.Pooler{AnswerMemory: settings.MemoryLimit / answerMemoryPart}, Quarantine: quarantine, Logger: p.logger, Metrics: carrier.NewMetrics(p.registry),
	}
	p.carrier.Bodies.Limit = settings.MemoryLimit / bodyMemoryPart
	p.locator = &locator.Locator{
		Self: settings.Name, Dialer: &dialer.Dialer{HTTP1Only: true}, Assigner: p.carrier, Logger: p.logger,
	}
	p.enforcer = &enforcer.Enforcer{
		Self:        &wire.QuotaHolder{Name: settings.Name, Incarnation: rand.Uint64()},
		Controllers: p.watcher, Peers: p.locator, Dialer: &dialer.Dialer{HTTP1Only: true}, Logger: p.logger,
	}
	p.locator.Spender = p.enforcer
	p.carrier.Locator, p.carrier.Quotas = p.locator, p.enforcer
	p.watcher.OnView, p.watcher.OnHosts, p.watcher.OnLoads = p.applyView, p.carrier.UpdateHosts, p.carrier.UpdateLoads
	p.watcher.OnBackoffs = p.carrier.UpdateBackoffs
	p.closer = &closer.Closer{Logger: p.logger, Metrics: closer.NewMetrics(p.registry)}
	p.caller = p.newListener("caller", settings.Caller, p.carrier)
	p.leaver = &leaver{watcher: p.watcher, carrier: p.carrier, caller: p.caller, logger: p.logger}
	return p
}

// applyView puts a new view into force.
func (p *planProgram) applyView(v *watcher.View) {
	p.enforcer.Update(time.Now(), v)
	p.carrier.ApplyView(v)
}

// applyLosses records losses and successes that other entry instances reported as if they had been observed here.
func applyLosses(q *quarantiner.Quarantiner, losses []*wire.Loss) {
	now := time.Now()
	for _, l := range losses {
		var f quarantiner.Fingerprint
		copy(f[:], l.GetFingerprint())
		if l.GetSuccess() {
			q.RecordSuccess(now, f)
			continue
		}
		q.RecordLoss(now, f, quarantiner.Run{Target: l.GetTarget(), Incarnation: l.GetIncarnation()})
	}
}

// run runs all services until ctx ends or one of them fails.
func (p *planProgram) run(ctx context.Context) error {
	_ = level.Info(p.logger).Log("msg", "starting", "caller", p.settings.Caller, "region", p.settings.Region,
		"zone", p.settings.Zone)
	err := p.kernel().Run(ctx)
	_ = level.Info(p.logger).Log("msg", "stopped", "err", err)
	return err
}

// kernel lists the services in the order of their start; they stop in reverse.
func (p *planProgram) kernel() *kernel.Kernel {
	k := &kernel.Kernel{
		Logger: p.logger, Stopper: stopOf(p.settings), MemoryLimit: p.settings.MemoryLimit,
		Fatal: make(chan error, 1),
	}
	operator := http.NewServeMux()
	reporter.Mount(operator, p.registry, k)
	s := p.settings
	k.Services = []kernel.Service{
		p.closer,
		&reloader.Reloader{Load: p.reload, Logger: p.logger},
		p.carrier,
		p.locator,
		p.enforcer,
		p.watcher,
		p.newListener("operator", s.Operator, operator),
		p.caller,
		p.newListener("ready", s.Ready, translator.Ready{Check: p.ready}),
		p.leaver,
	}
	if s.Peer.IsValid() {
		k.Services = slices.Insert(k.Services, 1, kernel.Service(p.newListener("peer", s.Peer, p.locator.Handler())))
	}
	return k
}

func (p *planProgram) newListener(title string, address netip.AddrPort, handler http.Handler) *listener.Listener {
	return &listener.Listener{
		ServiceName: title, Address: address, Handler: handler, Logger: p.logger, Closer: p.closer,
	}
}

// reload checks the settings file and applies its seeds. Addresses can't change while connections use them.
func (p *planProgram) reload() error {
	settings, err := config.Load(p.path)
	if err != nil {
		return err
	}
	p.watcher.SetSeeds(settings.Seeds)
	return nil
}

// ready returns nil if callers should be sent to this instance.
func (p *planProgram) ready() error {
	if err := p.leaver.Health(); err != nil {
		return err
	}
	return p.watcher.Health()
}
