package closer

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts closed connections. Create it with NewMetrics; nil counts nothing.
type Metrics struct {
	closed *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{closed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "chervilrail", Name: "connections_closed_total",
		Help: "Accepted connections that were closed, by service, by which end closed first, and by what was unread or undelivered.",
	}, []string{"service", "first", "unread", "undelivered"})}
	r.MustRegister(m.closed)
	return m
}

func (m *Metrics) record(e closing) {
	if m == nil {
		return
	}
	first := "self"
	if e.ended {
		first = "remote"
	}
	m.closed.WithLabelValues(e.service, first, formatYes(e.unread > 0), formatYes(e.undelivered > 0)).Inc()
}

func formatYes(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
