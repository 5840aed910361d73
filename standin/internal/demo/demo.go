// Package demo starts a local system, sends requests of each class through it and prints the results.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"chervilrail.example/standin/internal/backend"
	"chervilrail.example/standin/internal/loader"
	"chervilrail.example/standin/internal/starter"
)

const (
	demoNet     = 77
	controllers = 3
	entries     = 2
	targets     = 4
	uploadSize  = 8 << 20
	timeout     = 20 * time.Second
	rounds      = 20
	folderMode  = 0o750
)

// Options are the paths and settings of a demo.
type Options struct {
	Programs  string
	Catalogue string
	Folder    string
	// Failures makes the demo freeze a controller and kill an entry instance while requests are sent.
	Failures bool
}

// Run runs the demo and writes its progress and results to out. It returns an *IncorrectAnswersError if requests were
// not answered correctly.
func Run(out io.Writer, o Options) error {
	d := &demo{out: out, options: o, system: &starter.System{
		Programs:       o.Programs,
		Folder:         o.Folder,
		Net:            demoNet,
		AnswerLifetime: time.Second,
		Places: []starter.Place{
			{Region: "almaty", Zone: "almaty-a"},
			{Region: "almaty", Zone: "almaty-b"},
			{Region: "astana", Zone: "astana-a"},
			{Region: "shymkent", Zone: "shymkent-a"},
		},
	}}
	defer d.system.Close()
	if err := d.start(); err != nil {
		return err
	}
	d.requests()
	return d.print()
}

type demo struct {
	out     io.Writer
	options Options
	system  *starter.System
	rows    []row
}

// row is one line of the result table; slowest is the longest time of a request, or of a pair for bookings.
type row struct {
	class   string
	what    string
	sent    int
	correct int
	detail  string
	slowest time.Duration
}

func (d *demo) start() error {
	if err := os.RemoveAll(d.options.Folder); err != nil {
		return err
	}
	if err := os.MkdirAll(d.options.Folder, folderMode); err != nil {
		return err
	}
	catalogue, err := os.ReadFile(d.options.Catalogue)
	if err != nil {
		return err
	}
	if err := d.system.StartControllers(controllers); err != nil {
		return err
	}
	if err := d.system.StartEntries(entries); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "started %d controllers and %d entry instances\n", controllers, entries)
	if err := d.system.Apply(string(catalogue)); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "applied %s\n", filepath.Base(d.options.Catalogue))
	for i := range targets {
		service := "listings"
		if i%2 == 1 {
			service = "bookings"
		}
		_, err := d.system.StartTarget(starter.TargetSettings{Service: service, Slots: 3, Work: 3 * time.Millisecond})
		if err != nil {
			return err
		}
	}
	return d.awaitTargets()
}

// awaitTargets waits until each entry instance serves requests for each service.
func (d *demo) awaitTargets() error {
	deadline := time.Now().Add(timeout)
	for _, service := range []string{"listings", "bookings"} {
		for i := range entries {
			c := &loader.Caller{Service: service}
			for {
				a := c.SendTo(context.Background(), d.system.CallerURL(i), loader.Request{Method: http.MethodGet, Path: "/"})
				if a.Status == http.StatusOK {
					break
				}
				if time.Now().After(deadline) {
					return &starter.TimeoutError{Awaited: "targets of " + service}
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	fmt.Fprintf(d.out, "%d targets announced themselves\n\n", targets)
	return nil
}

func (d *demo) caller(service string) *loader.Caller {
	c := &loader.Caller{Service: service, Client: netip.AddrFrom4([4]byte{10, 1, 0, 7})}
	for i := range entries {
		c.LookupURLs = append(c.LookupURLs, d.system.CallerURL(i))
	}
	return c
}

func (d *demo) requests() {
	listings, bookings := d.caller("listings"), d.caller("bookings")
	d.run("urgent", "venue look-ups", rounds, listings, loader.Request{Method: http.MethodGet, Path: "/venue/12"})
	if d.options.Failures {
		d.system.Controllers[0].Freeze()
		defer d.system.Controllers[0].Thaw()
		d.run("browse", "with a frozen controller", rounds, listings, loader.Request{Method: http.MethodGet, Path: "/events"})
	}
	d.run("browse", "event lists", rounds, listings, loader.Request{Method: http.MethodGet, Path: "/events"})
	d.bookings(bookings)
	if d.options.Failures {
		d.system.Entries[0].Kill()
		d.run("urgent", "with an entry killed", rounds, listings, loader.Request{Method: http.MethodGet, Path: "/venue/12"})
	}
	d.upload(listings)
}

func (d *demo) run(class, what string, count int, c *loader.Caller, r loader.Request) {
	out := row{class: class, what: what, sent: count}
	for range count {
		start := time.Now()
		a := c.Send(context.Background(), r)
		out.slowest = max(out.slowest, time.Since(start))
		if a.Status == http.StatusOK && a.Err == nil {
			out.correct++
			continue
		}
		out.detail = describe(a)
	}
	d.rows = append(d.rows, out)
}

func describe(a loader.Answer) string {
	if a.Err != nil {
		return a.Err.Error()
	}
	return fmt.Sprintf("%d %s %s", a.Status, a.Outcome, strings.TrimSpace(a.Body))
}

// bookings sends every booking twice with the same idempotency key. It must run once and both answers must be equal.
func (d *demo) bookings(c *loader.Caller) {
	out := row{class: "once", what: "bookings, each sent twice", sent: rounds}
	for i := range rounds {
		key, err := uuid.NewV7()
		if err != nil {
			out.detail = err.Error()
			continue
		}
		send := func() loader.Answer {
			return c.Send(context.Background(), loader.Request{
				Method: http.MethodPost, Path: "/rsvp", Organisation: "dumpling-club", Key: key.String(),
				Body: strings.NewReader(fmt.Sprintf(`{"seat":%d}`, i)),
			})
		}
		start := time.Now()
		first := send()
		second := send()
		out.slowest = max(out.slowest, time.Since(start))
		runs := d.runs(key.String())
		if first.Status == http.StatusOK && second.Body == first.Body && runs == 1 {
			out.correct++
			continue
		}
		out.detail = fmt.Sprintf("%d runs, %s, %s", runs, describe(first), describe(second))
	}
	d.rows = append(d.rows, out)
}

func (d *demo) runs(key string) int {
	total := 0
	for i := range d.system.Targets {
		response, err := http.Get(d.system.TargetURL(i) + "/stats")
		if err != nil {
			continue
		}
		var report backend.Report
		if json.NewDecoder(response.Body).Decode(&report) == nil {
			total += report.Runs[key]
		}
		_ = response.Body.Close()
	}
	return total
}

func (d *demo) upload(c *loader.Caller) {
	out := row{class: "upload", what: "photo pack of 8 MiB", sent: 1}
	start := time.Now()
	a := c.Send(context.Background(), loader.Request{
		Method: http.MethodPost, Path: "/photos", Body: io.LimitReader(zeros{}, uploadSize),
	})
	out.slowest = time.Since(start)
	var reply backend.Reply
	if json.Unmarshal([]byte(a.Body), &reply) == nil && reply.Received == uploadSize {
		out.correct = 1
	} else {
		out.detail = describe(a)
	}
	d.rows = append(d.rows, out)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func (d *demo) print() error {
	const padding = 2
	t := tabwriter.NewWriter(d.out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(t, "CLASS\tREQUESTS\tSENT\tRIGHT\tWORST\tDETAIL")
	incorrect := 0
	for _, r := range d.rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%s\n", r.class, r.what, r.sent, r.correct,
			r.slowest.Round(time.Millisecond), r.detail)
		incorrect += r.sent - r.correct
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if incorrect > 0 {
		return &IncorrectAnswersError{Count: incorrect}
	}
	fmt.Fprintln(d.out, "\nall requests were answered correctly")
	return nil
}

// IncorrectAnswersError reports how many requests were not answered correctly.
type IncorrectAnswersError struct {
	Count int
}

// Error implements error.
func (e *IncorrectAnswersError) Error() string {
	return fmt.Sprintf("%d requests were not answered correctly", e.Count)
}
