package cli

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilrail.example/entry/internal/directory"
)

var (
	numberDesc = prometheus.NewDesc("chervilrail_entry_catalogue_number",
		"Number of the catalogue in force here.", nil, nil)
	confirmedDesc = prometheus.NewDesc("chervilrail_entry_confirmed",
		"1 while a leading controller confirms the catalogue.", nil, nil)
	shareDesc = prometheus.NewDesc("chervilrail_entry_share",
		"Share of a limit granted to this instance.", []string{"resource"}, nil)
	targetsDesc = prometheus.NewDesc("chervilrail_entry_targets",
		"Ready targets of a service.", []string{"service", "region"}, nil)
)

// collector exports the control state of an entry instance.
type collector struct {
	directory *directory.Directory
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{numberDesc, confirmedDesc, shareDesc, targetsDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	now := time.Now()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	confirmed := 0.0
	if c.directory.Confirmed(now) {
		confirmed = 1
	}
	gauge(confirmedDesc, confirmed)
	v := c.directory.View()
	if v == nil {
		return
	}
	gauge(numberDesc, float64(v.CatalogueNumber))
	for _, l := range v.Catalogue.Limits() {
		gauge(shareDesc, float64(c.directory.Holder.Limit(now, l.Resource)), l.Resource)
	}
	for service, pool := range v.Pools {
		counts := map[string]int{}
		for _, t := range pool.Tiers {
			counts[t.Region] += len(t.Targets)
		}
		for region, n := range counts {
			gauge(targetsDesc, float64(n), service, region)
		}
	}
}
