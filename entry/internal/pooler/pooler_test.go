package pooler

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeTarget is a target that reads complete requests and answers the n-th on a connection with bytes set by the test.
type fakeTarget struct {
	address netip.AddrPort
	// accepted counts connections, read counts requests.
	accepted atomic.Int32
	read     atomic.Int32
}

func startTarget(t *testing.T, answer func(c net.Conn, n int)) *fakeTarget {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	target := &fakeTarget{address: netip.MustParseAddrPort(socket.Addr().String())}
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			target.accepted.Add(1)
			go target.serveConnection(c, answer)
		}
	}()
	return target
}

func (s *fakeTarget) serveConnection(c net.Conn, answer func(c net.Conn, n int)) {
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(r.Body).WriteTo(discard{})
		s.read.Add(1)
		answer(c, n)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func write(c net.Conn, text string) { _, _ = c.Write([]byte(text)) }

const completeAnswer = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nbody"

func request(body string) *Request {
	return &Request{
		Method: http.MethodPost, Path: "/x?a=%2F", Host: "h.example", Header: http.Header{"K": {"v"}}, Body: []byte(body),
		Matches: func(h http.Header) bool { return h.Get("Id") == "mine" },
	}
}

func send(t *testing.T, p *Pooler, target *fakeTarget) (*Answer, Outcome) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	a, outcome, _ := p.Send(ctx, target.address, request("hello"))
	return a, outcome
}

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(c net.Conn, _ int) { write(c, completeAnswer) })
	p := &Pooler{}
	defer p.Close()
	for range 5 {
		a, outcome := send(t, p, target)
		is.Equal(outcome, Answered)
		is.Equal(string(a.Body), "body")
		// The previous request's deadline passes; it must not make the connection look broken.
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	_, outcome := send(t, p, target)
	is.Equal(outcome, Answered)
	is.Equal(target.accepted.Load(), int32(1))
}

// Guards against a request that is sent on a connection which its target is about to close, and may have run or not.
func TestConnectionIsNotReusedAfterClose(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(c net.Conn, _ int) {
		write(c, "HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody")
	})
	p := &Pooler{}
	defer p.Close()
	for range 2 {
		_, outcome := send(t, p, target)
		is.Equal(outcome, Answered)
	}
	is.Equal(target.accepted.Load(), int32(2))
}

// Guards against a request that is sent although what was decided for its target no longer holds, and against a
// connection that is lost with it: each new one costs the target.
func TestWithheldRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(c net.Conn, _ int) { write(c, completeAnswer) })
	p := &Pooler{}
	defer p.Close()
	withheld := request("hello")
	withheld.Withhold = func() string { return "backoff" }
	_, outcome, err := p.Send(context.Background(), target.address, withheld)
	is.Equal(outcome, Unsent)
	var reason *WithheldError
	is.True(errors.As(err, &reason) && reason.Reason == "backoff")
	_, outcome = send(t, p, target)
	is.Equal(outcome, Answered)
	is.Equal(target.read.Load(), int32(1))
	is.Equal(target.accepted.Load(), int32(1))
}

// The target fails in each way that was observed of broken targets. None may look like a complete answer: the caller
// would take a partial answer, or one to another caller, for its own.
func TestIncompleteAnswersAreBroken(t *testing.T) {
	cases := map[string]func(c net.Conn, n int){
		"cut in the body": func(c net.Conn, _ int) {
			write(c, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 40\r\n\r\nbody")
			_ = c.Close()
		},
		"cut in a chunk": func(c net.Conn, _ int) {
			write(c, "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nbody")
			_ = c.Close()
		},
		"reset without a length": func(c net.Conn, _ int) {
			write(c, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nbody")
			time.Sleep(20 * time.Millisecond)
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		},
		"not HTTP": func(c net.Conn, _ int) { write(c, "rubbish rubbish rubbish\r\n\r\n") },
		"another request's answer": func(c net.Conn, _ int) {
			for range 4 {
				write(c, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nbody")
			}
		},
		"silence":        func(net.Conn, int) {},
		"closed at once": func(c net.Conn, _ int) { _ = c.Close() },
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := startTarget(t, answer)
			p := &Pooler{}
			defer p.Close()
			_, outcome := send(t, p, target)
			is.Equal(outcome, Broken)
			is.Equal(target.read.Load(), int32(1)) // the request is never sent again
			is.Equal(len(p.idle), 0)
		})
	}
}

// A target answers a request twice. The second answer must not be taken for the answer to the next request on the
// connection.
func TestUnexpectedAnswersAreNotReturned(t *testing.T) {
	t.Run("at once", func(t *testing.T) {
		is := is.New(t)
		target := startTarget(t, func(c net.Conn, n int) {
			write(c, completeAnswer)
			if n == 1 {
				write(c, completeAnswer)
			}
		})
		p := &Pooler{}
		defer p.Close()
		_, outcome := send(t, p, target)
		is.Equal(outcome, Answered)
		time.Sleep(20 * time.Millisecond)
		_, outcome = send(t, p, target)
		is.Equal(outcome, Answered)
		is.Equal(target.accepted.Load(), int32(2))
	})
	t.Run("late", func(t *testing.T) {
		is := is.New(t)
		target := startTarget(t, func(c net.Conn, n int) {
			if n == 2 {
				write(c, "HTTP/1.1 200 OK\r\nId: former\r\nContent-Length: 5\r\n\r\nwrong")
			}
			write(c, completeAnswer)
		})
		p := &Pooler{}
		defer p.Close()
		_, outcome := send(t, p, target)
		is.Equal(outcome, Answered)
		a, outcome := send(t, p, target)
		is.Equal(outcome, Answered)
		is.Equal(string(a.Body), "body")
	})
}

// A target closes an idle connection. If that were noticed only after the next request is sent, a request that is not
// idempotent would have an unknown outcome.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(c net.Conn, n int) {
		write(c, completeAnswer)
		if n == 1 {
			time.Sleep(10 * time.Millisecond)
			_ = c.Close()
		}
	})
	p := &Pooler{}
	defer p.Close()
	_, outcome := send(t, p, target)
	is.Equal(outcome, Answered)
	time.Sleep(50 * time.Millisecond)
	_, outcome = send(t, p, target)
	is.Equal(outcome, Answered)
	is.Equal(target.accepted.Load(), int32(2))
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is := is.New(t)
	is.NoErr(err)
	address := netip.MustParseAddrPort(socket.Addr().String())
	is.NoErr(socket.Close())
	_, outcome, err := (&Pooler{}).Send(context.Background(), address, request(""))
	is.Equal(outcome, Unsent)
	is.True(DialFailed(err))
}

// The caller disconnects while the target executes the request. The connection is closed, so that the target stops.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(c net.Conn, _ int) { time.Sleep(5 * time.Second); write(c, completeAnswer) })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	started := time.Now()
	p := &Pooler{}
	_, outcome, _ := p.Send(ctx, target.address, request(""))
	is.Equal(outcome, Broken)
	is.True(time.Since(started) < time.Second)
	is.Equal(len(p.idle), 0)
}

func TestIdleTimeoutIsHalfOfTheTargets(t *testing.T) {
	is := is.New(t)
	is.Equal(idleTimeout(http.Header{"Keep-Alive": {"timeout=2, max=9"}}), time.Second)
	is.Equal(idleTimeout(http.Header{"Keep-Alive": {"timeout=100"}}), maxIdleTime)
	is.Equal(idleTimeout(http.Header{}), maxIdleTime)
}
