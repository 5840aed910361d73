package carrier

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts requests by service, status and reason, and objects that were placed.
type Metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	waits    *prometheus.HistogramVec
	placed   *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	buckets := []float64{.005, .025, .05, .1, .2, .3, .5, .8, 1.2, 2, 4, 8}
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilrail_entry", Name: "carried_total", Help: "Requests by service, status and reason.",
		}, []string{"service", "status", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "chervilrail_entry", Name: "carried_seconds", Help: "Time to the final answer.", Buckets: buckets,
		}, []string{"service"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "chervilrail_entry", Name: "queue_seconds", Help: "Time until a request was placed or refused.",
			Buckets: buckets,
		}, []string{"service"}),
		placed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilrail_entry", Name: "objects_placed_total", Help: "Objects placed or moved by service and reason.",
		}, []string{"service", "reason"}),
	}
	r.MustRegister(m.requests, m.seconds, m.waits, m.placed)
	return m
}

func (m *Metrics) ended(j *job, out result, took time.Duration) {
	m.requests.WithLabelValues(j.service, strconv.Itoa(out.status), out.reason).Inc()
	m.seconds.WithLabelValues(j.service).Observe(took.Seconds())
	m.waits.WithLabelValues(j.service).Observe(j.waited.Seconds())
}
