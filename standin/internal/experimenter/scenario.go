// Package experimenter simulates a load in logical time, with the decision packages and with a naive policy, and
// reports what callers would have observed.
package experimenter

import (
	"os"
	"time"

	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/parser"
)

const (
	defaultService = 20 * time.Millisecond
	percent        = 100
	maxCount       = 10_000
)

// Phase is a period with a constant load.
type Phase struct {
	Name string
	// Load is in percent of the capacity of all slots.
	Length time.Duration
	Load   int64
	// Lost is the number of targets that do not answer in this phase, Leaving the number that have announced that they
	// leave.
	Lost    int64
	Leaving int64
}

// Scenario describes an experiment.
type Scenario struct {
	Name    string
	Seed    int64
	Entries int64
	Targets int64
	Slots   int64
	// Service is the mean service time of a request; uploads take 20 times as long.
	Service time.Duration
	// Shares are the shares of the classes in percent; the remaining requests are of class browse.
	Shares map[cataloguer.Class]int64
	// Reports is the age of the loads that targets report; with 0 they report none.
	Reports time.Duration
	Phases  []Phase
}

// Load reads a scenario file. It returns the faults found in it as one error.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d := parser.Parse(path, data)
	s := &Scenario{}
	for _, section := range d.Sections {
		switch section.Kind {
		case "scenario":
			s.read(d, section)
		case "phase":
			s.Phases = append(s.Phases, Phase{
				Name:    section.Name,
				Length:  d.Duration(section, "length", time.Second, time.Millisecond, time.Hour),
				Load:    d.Number(section, "load", percent, 0, maxCount),
				Lost:    d.Number(section, "lost", 0, 0, maxCount),
				Leaving: d.Number(section, "leaving", 0, 0, maxCount),
			})
		default:
			d.Fault(section, "", "scenario or phase", section.Kind)
		}
	}
	if len(s.Phases) == 0 {
		d.Fault(nil, "", "at least one section [phase NAME]", "none")
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Scenario) read(d *parser.Document, section *parser.Section) {
	s.Name = section.Name
	s.Seed = d.Number(section, "seed", 1, 0, 1<<62)
	s.Entries = d.Number(section, "entries", 12, 1, maxCount)
	s.Targets = d.Number(section, "targets", 20, 1, maxCount)
	s.Slots = d.Number(section, "slots", 3, 1, maxCount)
	s.Service = d.Duration(section, "service", defaultService, time.Microsecond, time.Minute)
	s.Reports = d.Duration(section, "reports", time.Second, 0, time.Hour)
	s.Shares = map[cataloguer.Class]int64{
		cataloguer.Urgent: d.Number(section, "urgent", 10, 0, percent),
		cataloguer.Once:   d.Number(section, "once", 10, 0, percent),
		cataloguer.Upload: d.Number(section, "upload", 1, 0, percent),
	}
}

// capacity returns how many requests a second all slots can serve, with uploads weighted by their longer service time.
func (s *Scenario) capacity() float64 {
	uploads := float64(s.Shares[cataloguer.Upload]) / percent
	mean := s.Service.Seconds() * (1 - uploads + uploads*uploadFactor)
	return float64(s.Targets*s.Slots) / mean
}
