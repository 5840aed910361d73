// Package measurer takes the measurements in docs/MEASUREMENTS.md on a local system of real processes.
package measurer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
	"chervilrail.example/standin/internal/loader"
	"chervilrail.example/standin/internal/starter"
)

const (
	measureNet  = 78
	controllers = 3
	entries     = 12
	folderMode  = 0o750
	timeout     = 20 * time.Second

	// rate is the load for latencies, in requests per second.
	rate           = 2000
	runTime        = 10 * time.Second
	changes        = 200
	killRounds     = 30
	bookings       = 2000
	bookingCallers = 16
)

// Options are the paths for a run. Folder is deleted and created again.
type Options struct {
	Programs  string
	Catalogue string
	Folder    string
}

type measurer struct {
	out       io.Writer
	system    *starter.System
	catalogue string
	number    uint64
}

// Run takes all measurements and writes them to out as tables in Markdown.
func Run(out io.Writer, o Options) error {
	if err := os.RemoveAll(o.Folder); err != nil {
		return err
	}
	if err := os.MkdirAll(o.Folder, folderMode); err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Clean(o.Catalogue))
	if err != nil {
		return err
	}
	// The example's rate limit on bookings is removed, because it would limit the measured rate.
	unlimited := strings.ReplaceAll(string(text), "rate = 500", "rate = 0")
	m := &measurer{out: out, catalogue: unlimited, system: &starter.System{
		Programs: o.Programs, Folder: o.Folder, Net: measureNet, AnswerLifetime: time.Second, LogSample: 1000,
		Places: []starter.Place{
			{Region: "almaty", Zone: "almaty-a"},
			{Region: "astana", Zone: "astana-a"},
			{Region: "shymkent", Zone: "shymkent-a"},
		},
	}}
	defer m.system.Close()
	if err := m.start(); err != nil {
		return err
	}
	for _, step := range []func() error{
		m.measureIdle, m.measureLatency, m.measureLookups, m.measureBookings, m.measureInForce, m.measureElections,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurer) start() error {
	if err := m.system.StartControllers(controllers); err != nil {
		return err
	}
	if err := m.system.StartEntries(entries); err != nil {
		return err
	}
	if err := m.system.Apply(m.catalogue); err != nil {
		return err
	}
	m.number = 1
	for i := range 6 {
		service := "listings"
		if i >= 3 {
			service = "bookings"
		}
		b := starter.TargetSettings{Service: service, Slots: 64, Work: 0}
		if _, err := m.system.StartTarget(b); err != nil {
			return err
		}
	}
	for _, service := range []string{"listings", "bookings"} {
		if err := m.awaitService(service); err != nil {
			return err
		}
	}
	time.Sleep(12 * time.Second) // until the targets have warmed up
	return nil
}

func (m *measurer) awaitService(service string) error {
	c := &loader.Caller{Service: service}
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		a := c.SendTo(context.Background(), m.system.CallerURL(0), loader.Request{Method: http.MethodGet, Path: "/"})
		if a.Status == http.StatusOK {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return &starter.TimeoutError{Awaited: "service " + service}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func (m *measurer) printRow(what string, h *hdrhistogram.Histogram, failed int) {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	fmt.Fprintf(m.out, "| %s | %d | %s | %s | %s | %s | %d |\n", what, h.TotalCount(), at(50), at(99), at(99.9),
		time.Duration(h.Max())*time.Microsecond, failed)
}

func (m *measurer) printHeading(title string) {
	fmt.Fprintf(m.out, "\n%s\n\n| what | count | p50 | p99 | p99.9 | worst | failed |\n|---|---|---|---|---|---|---|\n",
		title)
}

// measureLatency compares requests through an entry instance with requests sent directly to the target. The load is an
// open loop: requests are due at a constant rate, and the latency of each counts from the time at which it was due.
func (m *measurer) measureLatency() error {
	m.printHeading(fmt.Sprintf("Latency at %d requests/s over %s, GET, target work 0", rate, runTime))
	direct, failed := openLoop(m.system.TargetURL(0), rate, runTime)
	m.printRow("target directly", direct, failed)
	through, failed := openLoop(m.system.CallerURL(0), rate, runTime)
	m.printRow("through an entry instance", through, failed)
	fmt.Fprintf(m.out, "\nadded: p50 %d µs, p99 %d µs\n", through.ValueAtQuantile(50)-direct.ValueAtQuantile(50),
		through.ValueAtQuantile(99)-direct.ValueAtQuantile(99))
	return nil
}

func openLoop(base string, perSecond int, duration time.Duration) (*hdrhistogram.Histogram, int) {
	c := &loader.Caller{Service: "listings"}
	h := newHistogram()
	failed := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	gap := time.Second / time.Duration(perSecond)
	start := time.Now()
	for i := range int(duration / gap) {
		due := start.Add(time.Duration(i) * gap)
		time.Sleep(time.Until(due))
		group.Go(func() {
			a := c.SendTo(context.Background(), base, loader.Request{Method: http.MethodGet, Path: "/venue/1"})
			elapsed := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(int64(elapsed / time.Microsecond))
			if a.Status != http.StatusOK {
				failed++
			}
		})
	}
	group.Wait()
	return h, failed
}

// measureLookups sends look-ups over persistent connections, from each caller as fast as they are answered.
func (m *measurer) measureLookups() error {
	const callers = 16
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	h := newHistogram()
	failed, total := 0, 0
	var mu sync.Mutex
	var group sync.WaitGroup
	stop := time.Now().Add(runTime / 2)
	for range callers {
		group.Go(func() {
			for time.Now().Before(stop) {
				start := time.Now()
				ok := lookup(client, m.system.CallerURL(0))
				mu.Lock()
				_ = h.RecordValue(int64(time.Since(start) / time.Microsecond))
				total++
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	m.printHeading("Look-ups over HTTP, 16 callers on the same machine")
	m.printRow("look-up", h, failed)
	fmt.Fprintf(m.out, "\n%.0f look-ups/s by one entry instance, callers included on the machine\n",
		float64(total)/(runTime/2).Seconds())
	return nil
}

func lookup(client *http.Client, base string) bool {
	response, err := client.Get(base + "/lookup?service=listings&client=10.1.2.3")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// measureBookings compares requests that must run at most once with ordinary requests to the same service.
func (m *measurer) measureBookings() error {
	m.printHeading(fmt.Sprintf("Bookings, %d callers, claim and outcome synced on two of three disks", bookingCallers))
	plain, failed, _ := m.closedLoop(loader.Request{Method: http.MethodGet, Path: "/", Organisation: "dumpling-club"})
	m.printRow("GET of the same service", plain, failed)
	claimed, failed, elapsed := m.closedLoop(loader.Request{
		Method: http.MethodPost, Path: "/rsvp", Organisation: "dumpling-club",
	})
	m.printRow("booking", claimed, failed)
	fmt.Fprintf(m.out, "\nadded: p50 %d µs; %.0f bookings/s (two commits each)\n",
		claimed.ValueAtQuantile(50)-plain.ValueAtQuantile(50), float64(bookings-failed)/elapsed.Seconds())
	return nil
}

func (m *measurer) closedLoop(r loader.Request) (*hdrhistogram.Histogram, int, time.Duration) {
	c := &loader.Caller{Service: "bookings"}
	h := newHistogram()
	failed := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	started := time.Now()
	for i := range bookingCallers {
		group.Go(func() {
			for range bookings / bookingCallers {
				request := r
				if r.Method == http.MethodPost {
					request.Key = uuid.Must(uuid.NewV7()).String()
					request.Body = strings.NewReader("seat")
				}
				start := time.Now()
				a := c.SendTo(context.Background(), m.system.CallerURL(i%entries), request)
				mu.Lock()
				_ = h.RecordValue(int64(time.Since(start) / time.Microsecond))
				if a.Status != http.StatusOK {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return h, failed, time.Since(started)
}

func (m *measurer) client(i int) wireconnect.OperateClient {
	address := netip.AddrPortFrom(m.system.Controllers[i].Address, starter.OperatorPort)
	return wireconnect.NewOperateClient(http.DefaultClient, "http://"+address.String())
}

// status returns the leader's status, or nil if no leader answers. It does not call the controller with index skip; -1
// skips none.
func (m *measurer) status(skip int) *wire.StatusResponse {
	for i := range m.system.Controllers {
		if i == skip {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		r, err := m.client(i).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		cancel()
		if err == nil && r.Msg.GetLeads() {
			return r.Msg
		}
	}
	return nil
}

// apply sends the next change until it is accepted, but not to the controller with index skip.
func (m *measurer) apply(skip int) error {
	m.number++
	text := fmt.Sprintf("%s\n; change %d\n", m.catalogue, m.number)
	change := &wire.Change{Id: uuid.NewString(), Number: m.number, Catalogue: []byte(text)}
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline); i++ {
		if i%controllers == skip {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		r, err := m.client(i%controllers).Apply(ctx, connect.NewRequest(&wire.ApplyRequest{Change: change}))
		cancel()
		if err == nil && r.Msg.GetVerdict().GetAccepted() {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return &starter.TimeoutError{Awaited: "change"}
}

func (m *measurer) leader() int {
	name := m.status(-1).GetLeader()
	for i, c := range m.system.Controllers {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// measureInForce measures the time from the acceptance of a change until every entry instance has confirmed it.
func (m *measurer) measureInForce() error {
	m.printHeading(fmt.Sprintf("From accepted to in force on %d entry instances", entries))
	h, err := m.timeInForce(-1)
	if err != nil {
		return err
	}
	m.printRow("all controllers up", h, 0)
	frozen := (m.leader() + 1) % controllers
	m.system.Controllers[frozen].Freeze()
	defer m.system.Controllers[frozen].Thaw()
	h, err = m.timeInForce(frozen)
	if err != nil {
		return err
	}
	m.printRow("one controller frozen", h, 0)
	return nil
}

// timeInForce applies changes and returns the times until they were in force, in microseconds. It does not call the
// controller with index skip.
func (m *measurer) timeInForce(skip int) (*hdrhistogram.Histogram, error) {
	h := newHistogram()
	for range changes {
		if err := m.apply(skip); err != nil {
			return nil, err
		}
		start := time.Now()
		for !m.confirmed(skip) {
			if time.Since(start) > timeout {
				return nil, &starter.TimeoutError{Awaited: "confirmation"}
			}
			time.Sleep(2 * time.Millisecond)
		}
		_ = h.RecordValue(int64(time.Since(start) / time.Microsecond))
	}
	return h, nil
}

func (m *measurer) confirmed(skip int) bool {
	s := m.status(skip)
	confirmed := 0
	for _, n := range s.GetNodes() {
		if n.GetNumber() >= m.number && !n.GetLost() {
			confirmed++
		}
	}
	return confirmed == entries
}

// measureElections kills the leader killRounds times and measures the time until another leader answers.
func (m *measurer) measureElections() error {
	m.printHeading("Without a leader after its kill")
	h := newHistogram()
	for range killRounds {
		old := m.leader()
		if old < 0 {
			return &starter.TimeoutError{Awaited: "leader"}
		}
		m.system.Controllers[old].Kill()
		start := time.Now()
		for m.status(old) == nil {
			if time.Since(start) > timeout {
				return &starter.TimeoutError{Awaited: "election"}
			}
			time.Sleep(5 * time.Millisecond)
		}
		_ = h.RecordValue(int64(time.Since(start) / time.Microsecond))
		if _, err := m.system.StartController(old); err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
	}
	m.printRow("election", h, 0)
	return nil
}
