package closer

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts closed connections. Create it with NewMetrics; nil counts nothing.
type Metrics struct {
	closed   *prometheus.CounterVec
	draining prometheus.Gauge
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "chervilrail", Name: "connections_closed_total",
			Help: "Accepted connections that were closed, by service, by what ended them, and by what was unread or undelivered at the close.",
		}, []string{"service", "end", "unread", "undelivered"}),
		draining: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "chervilrail", Name: "connections_draining",
			Help: "Connections of which this side was closed and the other was not.",
		}),
	}
	r.MustRegister(m.closed, m.draining)
	return m
}

func (m *Metrics) record(e closing) {
	if m == nil {
		return
	}
	m.closed.WithLabelValues(e.service, string(e.end), formatYes(e.unread > 0), formatYes(e.undelivered > 0)).Inc()
}

func (m *Metrics) addDraining(n float64) {
	if m != nil {
		m.draining.Add(n)
	}
}

func formatYes(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
