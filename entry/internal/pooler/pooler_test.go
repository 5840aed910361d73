package pooler

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// script is a target that reads whole requests and answers the n-th of a connection with bytes that the test sets.
type script struct {
	address netip.AddrPort
	// accepted counts connections, read counts requests.
	accepted atomic.Int32
	read     atomic.Int32
}

func serve(t *testing.T, answer func(c net.Conn, n int)) *script {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	s := &script{address: netip.MustParseAddrPort(socket.Addr().String())}
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go s.talk(c, answer)
		}
	}()
	return s
}

func (s *script) talk(c net.Conn, answer func(c net.Conn, n int)) {
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

const whole = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nbody"

func request(body string) *Request {
	return &Request{
		Method: http.MethodPost, Path: "/x?a=%2F", Host: "h.example", Header: http.Header{"K": {"v"}}, Body: []byte(body),
		Mine: func(h http.Header) bool { return h.Get("Id") == "mine" },
	}
}

func send(t *testing.T, p *Pooler, s *script) (*Answer, Ending) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	a, ending, _ := p.Send(ctx, s.address, request("hello"))
	return a, ending
}

func TestConnectionIsUsedAgain(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(c net.Conn, _ int) { write(c, whole) })
	p := &Pooler{}
	defer p.Close()
	for range 5 {
		a, ending := send(t, p, s)
		is.Equal(ending, Answered)
		is.Equal(string(a.Body), "body")
		// The former request's deadline passes; it must not make the connection look broken.
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	_, ending := send(t, p, s)
	is.Equal(ending, Answered)
	is.Equal(s.accepted.Load(), int32(1))
}

// The target breaks off, in each of the ways that are seen of broken ones. None may look like a whole answer: the
// caller would take half a page, or another caller's, for its own.
func TestBrokenAnswersAreNeverWhole(t *testing.T) {
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
		"no answer in the protocol": func(c net.Conn, _ int) { write(c, "rubbish rubbish rubbish\r\n\r\n") },
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
			s := serve(t, answer)
			p := &Pooler{}
			defer p.Close()
			_, ending := send(t, p, s)
			is.Equal(ending, Broken)
			is.Equal(s.read.Load(), int32(1)) // and it was never sent again
			is.Equal(len(p.idle), 0)
		})
	}
}

// A target answers a request twice. The second answer waits where the next request's is expected, and its caller
// would get it.
func TestExtraAnswers(t *testing.T) {
	t.Run("at once", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, func(c net.Conn, n int) {
			write(c, whole)
			if n == 1 {
				write(c, whole)
			}
		})
		p := &Pooler{}
		defer p.Close()
		_, ending := send(t, p, s)
		is.Equal(ending, Answered)
		time.Sleep(20 * time.Millisecond)
		_, ending = send(t, p, s)
		is.Equal(ending, Answered)
		is.Equal(s.accepted.Load(), int32(2))
	})
	t.Run("late", func(t *testing.T) {
		is := is.New(t)
		s := serve(t, func(c net.Conn, n int) {
			if n == 2 {
				write(c, "HTTP/1.1 200 OK\r\nId: former\r\nContent-Length: 5\r\n\r\nwrong")
			}
			write(c, whole)
		})
		p := &Pooler{}
		defer p.Close()
		_, ending := send(t, p, s)
		is.Equal(ending, Answered)
		a, ending := send(t, p, s)
		is.Equal(ending, Answered)
		is.Equal(string(a.Body), "body")
	})
}

// A target closes a connection that was idle. Noticed only when the next request is on its way, one that must not
// repeat would end in doubt.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(c net.Conn, n int) {
		write(c, whole)
		if n == 1 {
			time.Sleep(10 * time.Millisecond)
			_ = c.Close()
		}
	})
	p := &Pooler{}
	defer p.Close()
	_, ending := send(t, p, s)
	is.Equal(ending, Answered)
	time.Sleep(50 * time.Millisecond)
	_, ending = send(t, p, s)
	is.Equal(ending, Answered)
	is.Equal(s.accepted.Load(), int32(2))
}

func TestNobodyListening(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is := is.New(t)
	is.NoErr(err)
	address := netip.MustParseAddrPort(socket.Addr().String())
	is.NoErr(socket.Close())
	_, ending, err := (&Pooler{}).Send(context.Background(), address, request(""))
	is.Equal(ending, Unsent)
	is.True(Refused(err))
}

// The caller leaves while the target is at work. The connection is closed, so that the target stops.
func TestCancelEndsTheWork(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(c net.Conn, _ int) { time.Sleep(5 * time.Second); write(c, whole) })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	started := time.Now()
	p := &Pooler{}
	_, ending, _ := p.Send(ctx, s.address, request(""))
	is.Equal(ending, Broken)
	is.True(time.Since(started) < time.Second)
	is.Equal(len(p.idle), 0)
}

func TestKeepAliveOfTheTargetIsHalved(t *testing.T) {
	is := is.New(t)
	is.Equal(keepAlive(http.Header{"Keep-Alive": {"timeout=2, max=9"}}), time.Second)
	is.Equal(keepAlive(http.Header{"Keep-Alive": {"timeout=100"}}), idleLife)
	is.Equal(keepAlive(http.Header{}), idleLife)
}
