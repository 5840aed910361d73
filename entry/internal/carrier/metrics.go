package carrier

import (
	"cmp"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilrail.example/core/wire"
)

// Metrics counts requests by service, status and reason, measures their times, and counts objects that were placed.
type Metrics struct {
	requests      *prometheus.CounterVec
	duration      *prometheus.HistogramVec
	queueDuration *prometheus.HistogramVec
	placed        *prometheus.CounterVec
	undelivered   *prometheus.CounterVec
	limits        *prometheus.CounterVec
	rejections    *prometheus.CounterVec
	backoffs      *prometheus.CounterVec
	leaves        *prometheus.CounterVec
	unread        prometheus.Counter
	// organisations counts requests by organisation; labelled are the organisations with a label of their own.
	organisations *prometheus.CounterVec
	labelled      atomic.Pointer[map[string]bool]
}

const (
	// maxLabelled limits the organisations with a label of their own: the largest by rate. The others share one label.
	maxLabelled = 32
	others      = "others"
)

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := []float64{.005, .025, .05, .1, .2, .3, .5, .8, 1.2, 2, 4, 8}
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilrail_entry", Name: "carried_total", Help: "Requests by service, status and reason.",
		}, []string{"service", "status", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "chervilrail_entry", Name: "carried_seconds", Help: "Time to the final answer.", Buckets: buckets,
		}, []string{"service"}),
		queueDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "chervilrail_entry", Name: "queue_seconds", Help: "Time until a request was placed or refused.",
			Buckets: buckets,
		}, []string{"service"}),
		placed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilrail_entry", Name: "objects_placed_total", Help: "Objects placed or moved by service and reason.",
		}, []string{"service", "reason"}),
	}
	m.undelivered = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilrail_entry", Name: "held_total",
		Help: "Requests given up while bytes of them were on the way to a target, by service.",
	}, []string{"service"})
	m.limits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilrail_entry", Name: "target_limits_total",
		Help: "Limits that targets' answers named here (yes) or no longer named (no), by service.",
	}, []string{"service", "named"})
	m.rejections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilrail_entry", Name: "target_rejections_total",
		Help: "Attempts that a target reported not to have run, by service and the status of its answer.",
	}, []string{"service", "status"})
	m.backoffs = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilrail_entry", Name: "target_backoffs_total",
		Help: "Times for which a target wanted no requests of this instance, by service.",
	}, []string{"service"})
	m.leaves = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilrail_entry", Name: "target_leaves_total",
		Help: "Targets that said in an answer to this instance that they leave, by service.",
	}, []string{"service"})
	m.unread = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "chervilrail_entry", Name: "unread_statements_total",
		Help: "Headers of targets' answers that look like statements about the target and that nothing reads.",
	})
	m.organisations = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilrail_entry", Name: "organisation_requests_total",
		Help: "Requests by organisation and status; the largest organisations by name, the rest as others.",
	}, []string{"organisation", "status"})
	r.MustRegister(m.requests, m.duration, m.queueDuration, m.placed, m.undelivered, m.limits, m.rejections,
		m.backoffs, m.leaves, m.unread, m.organisations)
	return m
}

// labelOrganisations gives the largest organisations of a plan, by rate, labels of their own.
func (m *Metrics) labelOrganisations(plan *wire.Plan) {
	list := slices.Clone(plan.GetOrganisations())
	slices.SortFunc(list, func(a, b *wire.Organisation) int {
		return cmp.Or(cmp.Compare(b.GetRate(), a.GetRate()), cmp.Compare(a.GetName(), b.GetName()))
	})
	labelled := map[string]bool{}
	for _, o := range list[:min(maxLabelled, len(list))] {
		labelled[o.GetName()] = true
	}
	m.labelled.Store(&labelled)
}

// organisationLabel returns the label of an organisation; empty if name is empty.
func (m *Metrics) organisationLabel(name string) string {
	if labelled := m.labelled.Load(); name == "" || labelled != nil && (*labelled)[name] {
		return name
	}
	return others
}

func (m *Metrics) record(j *job, out result, took time.Duration) {
	m.requests.WithLabelValues(j.service, strconv.Itoa(out.status), out.reason).Inc()
	m.duration.WithLabelValues(j.service).Observe(took.Seconds())
	m.queueDuration.WithLabelValues(j.service).Observe(j.queueTime.Seconds())
	if label := m.organisationLabel(j.organisation.GetName()); label != "" {
		m.organisations.WithLabelValues(label, strconv.Itoa(out.status)).Inc()
	}
}
