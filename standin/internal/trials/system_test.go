package trials

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
	"chervilrail.example/standin/internal/backend"
	"chervilrail.example/standin/internal/loader"
	"chervilrail.example/standin/internal/starter"
)

const (
	programs = "../../../bin"
	timeout  = 20 * time.Second
	firstNet = 80
)

// usedNets counts the loopback networks in use, so that every system of a test run has its own addresses.
var usedNets atomic.Int32

func catalogue(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../../examples/steppe.ini")
	is.New(t).NoErr(err)
	return string(data)
}

// prepare returns a system without processes, which is closed when the test ends.
func prepare(t *testing.T) *starter.System {
	t.Helper()
	is := is.New(t)
	absolute, err := filepath.Abs(programs)
	is.NoErr(err)
	s := &starter.System{
		Programs:       absolute,
		Folder:         t.TempDir(),
		Net:            byte(firstNet + usedNets.Add(1)),
		AnswerLifetime: time.Second,
		Places: []starter.Place{
			{Region: "almaty", Zone: "almaty-a"},
			{Region: "astana", Zone: "astana-a"},
			{Region: "shymkent", Zone: "shymkent-a"},
		},
	}
	t.Cleanup(func() {
		s.Close()
		if t.Failed() {
			showLogs(t, s.Folder)
		}
	})
	return s
}

// start starts a system with controllers, entry instances and the example catalogue, which is closed when the test
// ends.
func start(t *testing.T, controllers, entries int) *starter.System {
	t.Helper()
	is := is.New(t)
	s := prepare(t)
	is.NoErr(s.StartControllers(controllers))
	is.NoErr(s.StartEntries(entries))
	is.NoErr(s.Apply(catalogue(t)))
	awaitVoters(t, s, controllers)
	return s
}

// showLogs prints the end of every process's log, for a failed test.
func showLogs(t *testing.T, folder string) {
	const maxBytes = 3000
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		t.Logf("%s:\n%s", filepath.Base(f), data[max(0, len(data)-maxBytes):])
	}
}

// until waits for a condition and fails the test if it is not met in time.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func operator(s *starter.System, i int) wireconnect.OperateClient {
	address := netip.AddrPortFrom(s.Controllers[i].Address, starter.OperatorPort)
	return wireconnect.NewOperateClient(http.DefaultClient, "http://"+address.String())
}

// status calls every controller and returns the leader's status, or nil if no leader answers.
func status(s *starter.System) *wire.StatusResponse {
	for i := range s.Controllers {
		if s.Controllers[i].Ended() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		r, err := operator(s, i).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
		cancel()
		if err == nil && r.Msg.GetLeads() {
			return r.Msg
		}
	}
	return nil
}

func awaitVoters(t *testing.T, s *starter.System, want int) {
	t.Helper()
	until(t, "all controllers vote", func() bool {
		voters := 0
		for _, r := range status(s).GetReplicas() {
			if r.GetVoter() && !r.GetSilent() {
				voters++
			}
		}
		return voters == want
	})
}

// leader returns the index of the leading controller.
func leader(t *testing.T, s *starter.System) int {
	t.Helper()
	found := -1
	until(t, "a leader", func() bool {
		name := status(s).GetLeader()
		for i, c := range s.Controllers {
			if c.Name == name {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// apply sends a change to the controllers in turn until one returns a verdict. It returns nil if none does in time.
func apply(s *starter.System, change *wire.Change) *wire.Verdict {
	deadline := time.Now().Add(timeout)
	for i := 0; time.Now().Before(deadline); i++ {
		at := i % len(s.Controllers)
		if s.Controllers[at].Ended() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, err := operator(s, at).Apply(ctx, connect.NewRequest(&wire.ApplyRequest{Change: change}))
		cancel()
		if err == nil {
			return r.Msg.GetVerdict()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func newID(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	is.New(t).NoErr(err)
	return id.String()
}

// numbered returns the catalogue with a comment that is different for every number.
func numbered(t *testing.T, n uint64) []byte {
	t.Helper()
	return append([]byte(catalogue(t)), []byte("; change "+time.Unix(int64(n), 0).String()+"\n")...)
}

func startTargets(t *testing.T, s *starter.System, service string, count int, work time.Duration) {
	t.Helper()
	is := is.New(t)
	for range count {
		_, err := s.StartTarget(starter.TargetSettings{Service: service, Slots: 3, Work: work})
		is.NoErr(err)
	}
	for i := range s.Entries {
		awaitService(t, s, service, i)
	}
}

func awaitService(t *testing.T, s *starter.System, service string, entry int) {
	t.Helper()
	until(t, "entry instances forward", func() bool {
		return get(s, service, entry, "/").Status == http.StatusOK
	})
}

func get(s *starter.System, service string, entry int, path string) loader.Answer {
	c := &loader.Caller{Service: service}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.SendTo(ctx, s.CallerURL(entry), loader.Request{Method: http.MethodGet, Path: path})
}

func book(s *starter.System, entry int, key, path, body string) loader.Answer {
	c := &loader.Caller{Service: "bookings"}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.SendTo(ctx, s.CallerURL(entry), loader.Request{
		Method: http.MethodPost, Path: path, Organisation: "dumpling-club", Key: key, Body: strings.NewReader(body),
	})
}

// stats returns the reports of the running targets.
func stats(s *starter.System) []backend.Report {
	var out []backend.Report
	for i := range s.Targets {
		if s.Targets[i].Ended() {
			continue
		}
		response, err := http.Get(s.TargetURL(i) + "/stats")
		if err != nil {
			continue
		}
		var r backend.Report
		if json.NewDecoder(response.Body).Decode(&r) == nil {
			out = append(out, r)
		}
		_ = response.Body.Close()
	}
	return out
}

func runs(s *starter.System, key string) int {
	total := 0
	for _, r := range stats(s) {
		total += r.Runs[key]
	}
	return total
}
