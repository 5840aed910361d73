package measurer

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilrail.example/standin/internal/starter"
)

const (
	idleTime = 15 * time.Second
	million  = 1e6
	percent  = 100
)

// usage is the CPU time in seconds and the resident memory in bytes that a process reports in its metrics.
type usage struct {
	cpu    float64
	memory float64
}

// measureIdle measures the CPU time and memory that the processes use without any requests from callers.
func (m *measurer) measureIdle() error {
	fmt.Fprintf(m.out, "\nControl alone, %d entry instances, %d targets, over %s\n\n",
		entries, len(m.system.Targets), idleTime)
	fmt.Fprintln(m.out, "| role | share of a core, mean | busiest | resident memory, most |\n|---|---|---|---|")
	roles := []struct {
		name      string
		processes []*starter.Process
		port      int
	}{
		{"entry", m.system.Entries, starter.MetricsPort},
		{"controller", m.system.Controllers, starter.OperatorPort},
	}
	before := map[string]usage{}
	for _, r := range roles {
		for _, p := range r.processes {
			before[p.Name] = m.usage(p, r.port)
		}
	}
	time.Sleep(idleTime)
	for _, r := range roles {
		var sum, cpu, memory float64
		for _, p := range r.processes {
			now := m.usage(p, r.port)
			sum += now.cpu - before[p.Name].cpu
			cpu = max(cpu, now.cpu-before[p.Name].cpu)
			memory = max(memory, now.memory)
		}
		scale := percent / idleTime.Seconds()
		fmt.Fprintf(m.out, "| %s, %d processes | %.2f%% | %.2f%% | %.1f MB |\n", r.name, len(r.processes),
			scale*sum/float64(len(r.processes)), scale*cpu, memory/million)
	}
	return nil
}

func (m *measurer) usage(p *starter.Process, port int) usage {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", p.Address, port))
	if err != nil {
		return usage{}
	}
	defer func() { _ = response.Body.Close() }()
	var out usage
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		switch name {
		case "process_cpu_seconds_total":
			out.cpu = value
		case "process_resident_memory_bytes":
			out.memory = value
		}
	}
	return out
}
