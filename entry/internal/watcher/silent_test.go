package watcher

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/dialer"
	"chervilrail.example/core/wire/wireconnect"
)

// failOverBound is the shortest time within which any deployment has to have an accepted change in force.
const failOverBound = 2 * time.Second

// silentListener accepts connections that can be made to go silent: they stay open, and nothing passes any more.
type silentListener struct {
	net.Listener

	mu       sync.Mutex
	accepted []*silentConn
}

type silentConn struct {
	net.Conn
	once   sync.Once
	silent chan struct{}
}

func (l *silentListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: raw, silent: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted = append(l.accepted, c)
	return c, nil
}

// silence makes all connections up to now go silent, and returns their number.
func (l *silentListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.accepted {
		c.once.Do(func() { close(c.silent) })
	}
	return len(l.accepted)
}

// Read drops what arrives after the connection has gone silent.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		select {
		case <-c.silent:
			if err != nil {
				return 0, err
			}
		default:
			return n, err
		}
	}
}

// Write pretends to send after the connection has gone silent.
func (c *silentConn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

func startSilentController(t *testing.T, c *controller) (*silentListener, netip.AddrPort) {
	t.Helper()
	_, handler := wireconnect.NewExchangeHandler(c)
	s := httptest.NewUnstartedServer(handler)
	l := &silentListener{Listener: s.Listener}
	s.Listener = l
	s.Start()
	t.Cleanup(s.Close)
	return l, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// Guards against a plan that reaches an instance seconds late: when the connection it waits on goes silent, so have the
// connections that it kept from earlier calls to the other controllers, and each of them costs another time-out.
func TestSilentKeptConnectionsDelayNoChange(t *testing.T) {
	is := is.New(t)
	var controllers []*controller
	var listeners []*silentListener
	var addresses []netip.AddrPort
	for range 5 {
		c := &controller{answer: answer(5, 3, true)}
		l, address := startSilentController(t, c)
		controllers, listeners, addresses = append(controllers, c), append(listeners, l), append(addresses, address)
	}
	w := startWatcher(t, addresses...)
	waitFor(t, func() bool { return version(w) == 3 })
	for _, a := range addresses {
		response, err := w.client.Get(w.Dialer.URL(a)) // leaves a kept connection
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	for _, l := range listeners {
		is.True(l.silence() > 0)
	}
	for _, c := range controllers {
		c.setAnswer(answer(6, 4, true))
	}
	changed := time.Now()
	for version(w) != 4 && time.Since(changed) < 5*failOverBound {
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("in force after %v", time.Since(changed))
	is.True(time.Since(changed) < failOverBound)
}

// doubleFailOverBound is the time within which most deployments have to have an accepted change in force.
const doubleFailOverBound = 2500 * time.Millisecond

// startDeadController returns the address of a controller that has ended without a sign: connections to it open, and
// nothing ever answers.
func startDeadController(t *testing.T) netip.AddrPort {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	return netip.MustParseAddrPort(socket.Addr().String())
}

// Guards against a plan that reaches an instance seconds late: the connection it waits on goes silent, and the next
// controller that it calls, the only other one of its region, has ended without a sign.
func TestDeadControllerDelaysNoFailOver(t *testing.T) {
	is := is.New(t)
	first, third := &controller{}, &controller{}
	l, firstAddress := startSilentController(t, first)
	_, thirdAddress := startSilentController(t, third)
	dead := startDeadController(t)
	for _, c := range []*controller{first, third} {
		a := answer(5, 3, true)
		a.Near = []string{firstAddress.String(), dead.String()}
		a.Controllers = append([]string{thirdAddress.String()}, a.Near...)
		c.setAnswer(a)
	}
	w := startWatcher(t, firstAddress)
	waitFor(t, func() bool { return version(w) == 3 })
	is.True(l.silence() > 0)
	is.NoErr(l.Close())
	third.setAnswer(answer(6, 4, true))
	changed := time.Now()
	for version(w) != 4 && time.Since(changed) < 3*doubleFailOverBound {
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("in force after %v", time.Since(changed))
	is.True(time.Since(changed) < doubleFailOverBound)
}

// Guards against a plan that reaches an instance seconds late: some controllers have just lost their links, a call to
// the next one is not answered in time, and a pause as long as after quick failures follows the time-out.
func TestUnansweredCallIsFollowedByNoFurtherPause(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := &Watcher{Logger: log.NewNopLogger(), ctx: ctx}
	w.state.avoidUntil, w.state.positions = map[netip.AddrPort]time.Time{}, map[netip.AddrPort]position{}
	for range 4 {
		w.failOver(time.Now()) // controllers that report lost links
	}
	is.Equal(w.state.retryPause, maxRetryPause)
	sent := time.Now().Add(-callTimeout)
	w.handleError(outcome{call: &call{sent: sent, usage: &dialer.Usage{}}, err: &NoAnswerError{}})
	is.True(!w.state.nextCall.After(time.Now()))
}
