package counter

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// Guards against a sum that no metric shows: an overload could then not be told from its consequences.
func TestAllKindsAreMetrics(t *testing.T) {
	is := is.New(t)
	c := &Counter{Logger: log.NewNopLogger(), Connections: func() Connections { return Connections{Open: 3, Accepted: 5} }}
	for kind := range kinds {
		c.Add(kind, int(kind)+1)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(c)
	families, err := registry.Gather()
	is.NoErr(err)
	values := map[string]float64{}
	for _, family := range families {
		if family.GetName() != "chervilrail_controller_work_total" {
			continue
		}
		for _, m := range family.GetMetric() {
			for _, label := range m.GetLabel() {
				values[label.GetValue()] = m.GetCounter().GetValue()
			}
		}
	}
	is.Equal(len(values), int(kinds))
	for kind := range kinds {
		is.Equal(values[names[kind]], float64(kind)+1)
	}
}

// Guards against lines that repeat the sums since the start instead of what has been done since the last line.
func TestLinesShowDifferences(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := &Counter{Logger: log.NewLogfmtLogger(&out), Connections: func() Connections { return Connections{Open: 3, Accepted: 5} }}
	c.Add(Watches, 7)
	last := c.logWork(sums{})
	c.Add(Watches, 2)
	c.logWork(last)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "accepted=5") && strings.Contains(lines[0], "watches=7"))
	is.True(strings.Contains(lines[1], "accepted=0") && strings.Contains(lines[1], "watches=2"))
	is.NoErr(c.Stop(context.Background()))
}
