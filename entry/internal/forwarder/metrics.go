package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"

	"chervilrail.example/entry/internal/refuser"
)

const namespace = "chervilrail_entry"

// Metrics are the request metrics of an entry instance.
type Metrics struct {
	requests      *prometheus.CounterVec
	duration      *prometheus.HistogramVec
	refused       *prometheus.CounterVec
	failures      *prometheus.CounterVec
	brokenAnswers prometheus.Counter
	bytes         prometheus.Counter
}

// NewMetrics creates and registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by service, class and status.",
		}, []string{"service", "class", "status"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time to answer by service and class.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service", "class"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refused_total", Help: "Refusals by reason and outcome.",
		}, []string{"reason", "outcome"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempt_failures_total", Help: "Failed attempts by kind.",
		}, []string{"kind"}),
		brokenAnswers: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "answers_broken_total", Help: "Answers that a target broke off.",
		}),
		bytes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "answer_bytes_total", Help: "Bytes of answers relayed.",
		}),
	}
	r.MustRegister(m.requests, m.duration, m.refused, m.failures, m.brokenAnswers, m.bytes)
	return m
}

func (m *Metrics) countFailure(out result) {
	kind := "broken"
	if out.refusal != nil {
		kind = out.refusal.Reason
	}
	m.failures.WithLabelValues(kind).Inc()
}

func (m *Metrics) countBroken()       { m.brokenAnswers.Inc() }
func (m *Metrics) countBytes(n int64) { m.bytes.Add(float64(n)) }

// report records the metrics of one request, and logs it if it is sampled.
func (f *Forwarder) report(j *job, r *http.Request, start time.Time, refusal *refuser.Refusal) {
	took := time.Since(start)
	service, class, name := "", "", ""
	if j.entry != nil {
		service, class, name = j.entry.Service, string(j.entry.Class), j.entry.Name
	}
	status := j.status
	reason, outcome := j.decision, ""
	if refusal != nil {
		status, reason, outcome = refusal.Status, refusal.Reason, string(refusal.Outcome)
		f.Metrics.refused.WithLabelValues(reason, outcome).Inc()
	}
	f.Metrics.requests.WithLabelValues(service, class, strconv.Itoa(status)).Inc()
	f.Metrics.duration.WithLabelValues(service, class).Observe(took.Seconds())
	if f.reportCount.Add(1)%max(1, f.Sample) != 0 {
		return
	}
	_ = level.Info(f.Logger).Log("msg", "routed", "service", service, "entry", name, "class", class,
		"method", r.Method, "path", r.URL.Path, "target", j.target, "region", j.region,
		"tries", j.tries, "status", status, "reason", reason, "outcome", outcome, "took", took)
}
