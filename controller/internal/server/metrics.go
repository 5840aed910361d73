package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilrail.example/controller/internal/consenter"
)

// Collector exports a summary of the control state as metrics. Summary may return nil while there is none.
type Collector struct {
	Summary func() *consenter.Summary
}

// newDesc returns the description of a metric of the controller.
func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("chervilrail_controller_"+name, help, labels, nil)
}

var (
	leadsDesc           = newDesc("leads", "1 while this controller leads under a confirmed lease.")
	catalogueNumberDesc = newDesc("catalogue_number", "Number of the catalogue in force.")
	commitIndexDesc     = newDesc("commit_index", "Highest applied log index.")
	claimsDesc          = newDesc("claims", "Claims remembered in the ledger.")
	entriesDesc         = newDesc("entries", "Entry instances whose lease goes on.")
	termDesc            = newDesc("term", "Current election term.")
	stateAgeDesc        = newDesc("state_age_seconds", "Time since the applied state was known to be the newest.")
	capDesc             = newDesc("limit_cap", "Cap of a shared limit.", "resource")
	outstandingDesc     = newDesc("limit_outstanding", "Most that could be in force of a shared limit.", "resource")
)

// Describe implements prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		leadsDesc, catalogueNumberDesc, commitIndexDesc, claimsDesc, entriesDesc, termDesc, stateAgeDesc, capDesc, outstandingDesc,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	s := c.Summary()
	if s == nil {
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	leads := 0.0
	if s.Leads {
		leads = 1
	}
	gauge(leadsDesc, leads)
	gauge(catalogueNumberDesc, float64(s.CatalogueNumber))
	gauge(commitIndexDesc, float64(s.Commit))
	gauge(claimsDesc, float64(s.Claims))
	gauge(entriesDesc, float64(s.EntryInstances))
	gauge(termDesc, float64(s.Term))
	if !s.Confirmed.IsZero() {
		gauge(stateAgeDesc, time.Since(s.Confirmed).Seconds())
	}
	for _, l := range s.Limits {
		gauge(capDesc, float64(l.GetCap()), l.GetResource())
		gauge(outstandingDesc, float64(l.GetOutstanding()), l.GetResource())
	}
}
