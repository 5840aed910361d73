// Package reporter serves a program's metrics and health.
package reporter

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// HealthSource returns the health of every service by name; nil means healthy.
type HealthSource interface {
	Health() map[string]error
}

// Registry returns a registry with the metrics of the Go runtime and the process.
func Registry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector())
	r.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Mount adds the handlers for /metrics, /healthz and /readyz to a mux. /healthz always succeeds; /readyz lists the
// services and answers 503 if one of them is not healthy.
func Mount(mux *http.ServeMux, registry *prometheus.Registry, h HealthSource) {
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeHealth(w, h.Health())
	})
}

// writeHealth writes each service's health as a JSON object by name.
func writeHealth(w http.ResponseWriter, health map[string]error) {
	status := http.StatusOK
	services := map[string]string{}
	for name, err := range health {
		services[name] = "ok"
		if err != nil {
			services[name] = err.Error()
			status = http.StatusServiceUnavailable
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(services)
}
