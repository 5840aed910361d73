package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/controller/internal/config"
	"chervilrail.example/core/pipeliner"
	"chervilrail.example/core/prober"
	"chervilrail.example/core/stopper"
)

const (
	// groupSize is the number of controllers, operators the number of callers of each kind of order.
	groupSize, operators = 3, 4
	// callPause is the time between two calls of a caller, joinTimeout how long a controller may take to serve.
	callPause   = 5 * time.Millisecond
	joinTimeout = 20 * time.Second
	// leadTime is how long callers send before a stop begins.
	leadTime = 300 * time.Millisecond
)

// member is a controller of a group.
type member struct {
	settings *config.Config
	cancel   context.CancelFunc
	stopped  chan error
}

// start runs the controller as the program does.
func (m *member) start() {
	ctx, cancel := context.WithCancel(context.Background())
	k, closeLog := assemble(m.settings)
	m.cancel, m.stopped = cancel, make(chan error, 1)
	go func() {
		defer closeLog()
		m.stopped <- k.Run(ctx)
	}()
}

// memberAddresses returns addresses for the listeners of a controller of a group. Connections come from another address, so
// that none takes their ports while the controller is stopped.
func memberAddresses(group, i int) [4]netip.AddrPort {
	const firstPort = 7000
	ip := netip.AddrFrom4([4]byte{127, 64 + byte(i), byte(group >> 8), byte(group)})
	var out [4]netip.AddrPort
	for n := range out {
		out[n] = netip.AddrPortFrom(ip, uint16(firstPort+n))
	}
	return out
}

// newGroup starts a group of controllers with a grace period.
func newGroup(t *testing.T, grace time.Duration) []*member {
	t.Helper()
	peers := map[string]netip.AddrPort{}
	id := rand.N(1 << 16) // other tests on the machine may run groups, too
	var out []*member
	for i := range groupSize {
		addresses := memberAddresses(id, i)
		name := "c" + strconv.Itoa(i)
		peers[name] = addresses[0]
		out = append(out, &member{settings: &config.Config{
			Name: name, Region: "r", Zone: "z", Folder: filepath.Join(t.TempDir(), name), Control: addresses[0],
			Operator: addresses[1], Callers: addresses[2], Directory: addresses[3], Peers: peers, MaxVoters: groupSize,
			Bootstrap: true, Regions: map[string]string{"z": "r"}, Election: time.Second, Heartbeat: time.Second / 5,
			ReplaceAfter: time.Minute, Lease: 3 * time.Second, StopTimeout: stopper.TimeoutFor(grace),
			LogFormat: "logfmt", LogLevel: "error",
		}})
	}
	for _, m := range out {
		m.start()
		t.Cleanup(func() { m.cancel() })
	}
	return out
}

// orderer sends orders to one controller, over kept connections as long as they are open, until it is gone.
type orderer struct {
	address string
	conn    *pipeliner.Conn
	// answers counts the answers by status; zero stands for none. A call that crosses the close of an idle connection is not
	// counted: the controller has not read it, and the connection ends at once.
	answers map[int]int
}

// call sends a call and returns the status of its answer and its body, or zero. It reports whether a connection was open.
func (o *orderer) call(ctx context.Context, path, body string) (int, []byte, bool) {
	if o.conn != nil && prober.Closed(o.conn.Conn) {
		_ = o.conn.Close() // before this call: the controller has not read it
		o.conn = nil
	}
	if o.conn == nil {
		conn, err := (&pipeliner.Pipeliner{}).Dial(ctx, o.address)
		if err != nil {
			return 0, nil, false
		}
		o.conn = conn
	}
	sent := time.Now()
	_ = o.conn.SetDeadline(sent.Add(joinTimeout))
	err := o.conn.Post(path, "", len(body), []byte(body))
	var answer *pipeliner.Answer
	if err == nil {
		answer, err = o.conn.Receive()
	}
	if err != nil || answer.Last {
		_ = o.conn.Close()
		o.conn = nil
	}
	if err != nil {
		if time.Since(sent) > settleTime {
			o.answers[0]++
		}
		return 0, nil, true
	}
	o.answers[answer.Status]++
	return answer.Status, answer.Body, true
}

// plan returns a configuration.
func plan(version int) string {
	return fmt.Sprintf(`{"version":"r%d","baseVersion":"r%d","routes":[],"services":[]}`, version, version-1)
}

// number returns the version that a controller holds, or -1 if it answers no read.
func (m *member) number(ctx context.Context) int {
	o := orderer{address: m.settings.Callers.String(), answers: map[int]int{}}
	status, body, _ := o.call(ctx, "/chervilrail/rpc?call=config.get", "")
	if o.conn != nil {
		_ = o.conn.Close()
	}
	var held struct {
		Version string `json:"version"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &held) != nil {
		return -1
	}
	n, err := strconv.Atoi(strings.TrimPrefix(held.Version, "r"))
	if err != nil {
		return -1
	}
	return n
}

// await waits until a controller holds a version, or a later one.
func (m *member) await(t *testing.T, version int) {
	t.Helper()
	until := time.Now().Add(joinTimeout)
	for m.number(t.Context()) < version {
		select {
		case err := <-m.stopped:
			t.Fatalf("%s has ended: %v", m.settings.Name, err)
		case <-time.After(callPause):
		}
		if time.Now().After(until) {
			t.Fatalf("%s does not hold version %d", m.settings.Name, version)
		}
	}
}

// sendPlans sends one configuration after the other, each until it is acknowledged, and returns the last of these.
func (o *orderer) sendPlans(ctx context.Context, held int) int {
	for {
		status, _, open := o.call(ctx, "/chervilrail/rpc?call=config.put", plan(held+1))
		if !open {
			return held
		}
		if status == http.StatusOK {
			held++
		}
		time.Sleep(callPause)
	}
}

// sendTargets announces targets and lets them leave.
func (o *orderer) sendTargets(ctx context.Context, name string) {
	for i := 1; ; i++ {
		record := fmt.Sprintf(`{"service":"s","address":"127.0.0.1:%d","zone":"z","version":"v1","slots":1,"state":"ready",
			"coldRemainingS":0,"sequence":%d,"born":1}`, i, i)
		_, _, open := o.call(ctx, "/chervilrail/rpc?call=instances.heartbeat&of="+name+strconv.Itoa(i), record)
		if !open {
			return
		}
		o.call(ctx, "/chervilrail/rpc?call=instances.leave&of="+name+strconv.Itoa(i), `{"born":1}`)
		time.Sleep(callPause)
	}
}

// sendEvacuations begins and ends an evacuation in turns.
func (o *orderer) sendEvacuations(ctx context.Context, zone string) {
	for i := 0; ; i++ {
		call := []string{"start", "end"}[i%2]
		if _, _, open := o.call(ctx, "/chervilrail/rpc?call=evacuations."+call+"&of="+zone, ""); !open {
			return
		}
		time.Sleep(callPause)
	}
}

// stopUnderOrders stops a controller while callers send orders to it, and returns the last acknowledged version, what all
// callers saw, and when the stop began.
func (m *member) stopUnderOrders(t *testing.T, held int) (int, map[int]int, time.Time) {
	t.Helper()
	var group sync.WaitGroup
	var all []*orderer
	send := func(run func(o *orderer)) {
		o := &orderer{address: m.settings.Callers.String(), answers: map[int]int{}}
		all = append(all, o)
		group.Go(func() { run(o) })
	}
	send(func(o *orderer) { held = o.sendPlans(t.Context(), held) })
	for i := range operators {
		send(func(o *orderer) { o.sendTargets(t.Context(), fmt.Sprintf("%s-t%d-", m.settings.Name, i)) })
		send(func(o *orderer) { o.sendEvacuations(t.Context(), fmt.Sprintf("z%d", i)) })
	}
	time.Sleep(leadTime)
	stoppedAt := time.Now()
	m.cancel()
	group.Wait()
	seen := map[int]int{}
	for _, o := range all {
		for status, n := range o.answers {
			seen[status] += n
		}
	}
	return held, seen, stoppedAt
}

// Guards against orders that a controller has taken around a planned stop and of which its callers get no answer, and against
// acknowledged ones that are lost with it: by a leader and by one that forwards commands, at any grace period.
func TestStopAnswersAndKeepsOrders(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 6 * time.Second, 10 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			is := is.New(t)
			group := newGroup(t, grace)
			held := 0
			until := time.Now().Add(joinTimeout)
			for first := (&orderer{address: group[0].settings.Callers.String(), answers: map[int]int{}}); held == 0; {
				if status, _, _ := first.call(t.Context(), "/chervilrail/rpc?call=config.put",
					plan(1)); status == http.StatusOK {
					held = 1
				}
				is.True(time.Now().Before(until))
				time.Sleep(callPause)
			}
			for _, m := range group {
				m.await(t, held)
				last, seen, stoppedAt := m.stopUnderOrders(t, held)
				held = last
				err := <-m.stopped
				t.Logf("%s: version %d, answers %v, gone after %v", m.settings.Name, held, seen,
					time.Since(stoppedAt).Round(time.Millisecond))
				is.NoErr(err)
				is.Equal(seen[0], 0) // calls without an answer
				is.True(time.Since(stoppedAt) < grace)
				m.start()
			}
			for _, m := range group {
				m.await(t, held)
			}
		})
	}
}

// Guards against a stop at the shortest grace period that fails because each listener waits for connections on which nothing
// arrives, or only the beginning of a head.
func TestShortestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	is := is.New(t)
	m := newGroup(t, time.Second)[0]
	first := orderer{address: m.settings.Callers.String(), answers: map[int]int{}}
	for until := time.Now().Add(joinTimeout); ; time.Sleep(callPause) {
		if _, _, open := first.call(t.Context(), "/chervilrail/rpc?call=config.get", ""); open {
			break
		}
		is.True(time.Now().Before(until))
	}
	for _, address := range []netip.AddrPort{m.settings.Control, m.settings.Operator, m.settings.Callers, m.settings.Directory} {
		for _, sent := range []string{"", "GET / HTT"} {
			c, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), address.String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = c.Write([]byte(sent))
			is.NoErr(err)
		}
	}
	time.Sleep(settleTime) // the server has accepted them
	began := time.Now()
	m.cancel()
	is.NoErr(<-m.stopped)
	t.Logf("gone after %v", time.Since(began).Round(time.Millisecond))
	is.True(time.Since(began) < stopper.TimeoutFor(time.Second))
}
