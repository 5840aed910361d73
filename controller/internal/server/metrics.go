package server

import (
	"github.com/prometheus/client_golang/prometheus"

	"chervilrail.example/controller/internal/consenter"
)

// Collector exports the control state's summary.
type Collector struct {
	Summary func() *consenter.Summary
}

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("chervilrail_controller_"+name, help, labels, nil)
}

var (
	leadsDesc       = describe("leads", "1 while this controller leads under a confirmed lease.")
	numberDesc      = describe("catalogue_number", "Number of the catalogue in force.")
	commitDesc      = describe("commit_index", "Highest applied log index.")
	claimsDesc      = describe("claims", "Claims remembered in the ledger.")
	entriesDesc     = describe("entries", "Entry instances whose lease goes on.")
	termDesc        = describe("term", "Current election term.")
	capDesc         = describe("limit_cap", "Cap of a shared limit.", "resource")
	outstandingDesc = describe("limit_outstanding", "Most that could be in force of a shared limit.", "resource")
)

// Describe implements prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		leadsDesc, numberDesc, commitDesc, claimsDesc, entriesDesc, termDesc, capDesc, outstandingDesc,
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
	gauge(numberDesc, float64(s.CatalogueNumber))
	gauge(commitDesc, float64(s.Commit))
	gauge(claimsDesc, float64(s.Claims))
	gauge(entriesDesc, float64(s.EntryInstances))
	gauge(termDesc, float64(s.Term))
	for _, l := range s.Limits {
		gauge(capDesc, float64(l.GetCap()), l.GetResource())
		gauge(outstandingDesc, float64(l.GetOutstanding()), l.GetResource())
	}
}
