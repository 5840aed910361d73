// Package counter counts what a controller does. The sums are metrics, and a log line at an interval: while a controller
// is overloaded nobody gets its metrics, and that is when the sums are needed.
package counter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"chervilrail.example/core/kernel"
)

// Kind is a kind of work that is counted.
type Kind int

const (
	// Announcements are those of targets.
	Announcements Kind = iota
	// Abandoned are announcements whose caller had closed its connection before they were worked on.
	Abandoned
	// Moved are announcements of targets that announced themselves to another controller before.
	Moved
	// Reserved are announcements for services that no plan names.
	Reserved
	// Published are announcements that all other controllers and all entry instances receive.
	Published
	// Watches are answered calls of entry instances for changes.
	Watches
	// Sets are the sets of changes that were built for Watches.
	Sets
	// WatchedRecords are the targets' records in the answers to Watches, but for the packed ones.
	WatchedRecords
	// PackedBytes are the bytes of the packed parts in the answers to Watches.
	PackedBytes
	// Exchanges are those that this controller began.
	Exchanges
	// ExchangedRecords are the targets' records sent in Exchanges.
	ExchangedRecords
	// Received are the exchanges of other controllers.
	Received
	// Delivered are the replicator's messages from other controllers.
	Delivered
	kinds
)

// names are the labels of the kinds in metrics and logs.
var names = [kinds]string{
	"announcements", "abandoned", "moved", "reserved", "published", "watches", "sets", "watchedRecords", "packedBytes", "exchanges", "exchangedRecords",
	"received", "delivered",
}

// logInterval is the interval of the log lines.
const logInterval = 5 * time.Second

// Connections are the sums of callers' connections.
type Connections struct {
	// Open is the number of connections that are open now, Accepted that of all since the start.
	Open     int64
	Accepted int64
	// Refused is the number of connections that were closed at once since too many were open.
	Refused int64
}

// Counter is the service. Its zero value counts; set the exported fields before Start.
type Counter struct {
	Logger log.Logger
	// Connections returns the sums of the connections of callers.
	Connections func() Connections

	sums   [kinds]atomic.Uint64
	cancel context.CancelFunc
	done   chan struct{}
}

// Add adds to the sum of a kind.
func (c *Counter) Add(kind Kind, n int) { c.sums[kind].Add(uint64(n)) }

// Sum returns the sum of a kind since the start of the process.
func (c *Counter) Sum(kind Kind) uint64 { return c.sums[kind].Load() }

// Name implements kernel.Service.
func (c *Counter) Name() string { return "counter" }

// Start implements kernel.Service.
func (c *Counter) Start(context.Context, kernel.Finder) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel, c.done = cancel, make(chan struct{})
	go c.run(ctx)
	return nil
}

// Stop implements kernel.Service.
func (c *Counter) Stop(context.Context) error {
	if c.cancel != nil {
		c.cancel()
		<-c.done
	}
	return nil
}

// Health implements kernel.Service; it always returns nil.
func (c *Counter) Health() error { return nil }

func (c *Counter) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(logInterval)
	defer ticker.Stop()
	last := sums{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			last = c.logWork(last)
		}
	}
}

// sums are all sums at one moment.
type sums struct {
	work        [kinds]uint64
	connections Connections
}

// logWork logs what has been done since the last sums, and returns the present ones.
func (c *Counter) logWork(last sums) sums {
	now := sums{connections: c.Connections()}
	line := []any{
		"msg", "work", "interval", logInterval, "open", now.connections.Open,
		"accepted", now.connections.Accepted - last.connections.Accepted,
		"refused", now.connections.Refused - last.connections.Refused,
	}
	for kind := range kinds {
		now.work[kind] = c.Sum(kind)
		line = append(line, names[kind], now.work[kind]-last.work[kind])
	}
	_ = level.Info(c.Logger).Log(line...)
	return now
}

var (
	workDesc = prometheus.NewDesc("chervilrail_controller_work_total", "What the controller has done, by kind.",
		[]string{"kind"}, nil)
	callersDesc = prometheus.NewDesc("chervilrail_controller_callers_total",
		"Connections of callers that were accepted or refused.", []string{"event"}, nil)
	openDesc = prometheus.NewDesc("chervilrail_controller_connections", "Open connections of callers.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *Counter) Describe(ch chan<- *prometheus.Desc) {
	ch <- workDesc
	ch <- callersDesc
	ch <- openDesc
}

// Collect implements prometheus.Collector.
func (c *Counter) Collect(ch chan<- prometheus.Metric) {
	for kind := range kinds {
		ch <- prometheus.MustNewConstMetric(workDesc, prometheus.CounterValue, float64(c.Sum(kind)), names[kind])
	}
	connections := c.Connections()
	ch <- prometheus.MustNewConstMetric(openDesc, prometheus.GaugeValue, float64(connections.Open))
	for event, count := range map[string]int64{
		"accepted": connections.Accepted, "refused": connections.Refused,
	} {
		ch <- prometheus.MustNewConstMetric(callersDesc, prometheus.CounterValue, float64(count), event)
	}
}
