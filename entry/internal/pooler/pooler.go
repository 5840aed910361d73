// Package pooler keeps connections to targets and carries one request at a time on each. Unlike the standard
// library's client it never sends a request again by itself, knows whether a byte of it may have left, and spends no
// goroutine on a connection.
package pooler

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"chervilrail.example/core/prober"
	"chervilrail.example/core/resetter"
)

const (
	// dialTimeout bounds the opening of a connection: a round trip between regions, and room for a busy target.
	// After it the request has certainly not run and can go elsewhere.
	dialTimeout = 400 * time.Millisecond
	// idleLife is how long a connection is kept without use. Targets close idle ones after some seconds, and a
	// request that crosses such a close may not be repeated; so ours is well below.
	idleLife = 4 * time.Second
	// maxIdle is how many idle connections to one target are kept.
	maxIdle = 8
	// keepBody is the largest answer that is held back until it is whole.
	keepBody = 8 << 20
	// maxStrays is how many answers to other requests are skipped before a connection is given up.
	maxStrays  = 2
	bufferSize = 4 << 10
)

// Ending is how a request at a target ended.
type Ending int

// The endings.
const (
	// Answered: a whole answer to this request came.
	Answered Ending = iota
	// Unsent: no byte of the request left.
	Unsent
	// Broken: it may have run; no whole answer came.
	Broken
)

// Request is what is sent to a target.
type Request struct {
	Method string
	// Path is the path and query exactly as the caller sent them.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Mine reports whether an answer's head belongs to this request.
	Mine func(h http.Header) bool
}

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Pooler holds the connections. Its zero value is ready.
type Pooler struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// flights are the requests that wait for their answers.
	flights map[*conn]flight
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address netip.AddrPort
	fresh   bool
	// idleEnd is until when the connection may be used again.
	idleEnd time.Time
}

// Send carries a request to a target and returns its answer, at the latest when ctx ends.
func (p *Pooler) Send(ctx context.Context, address netip.AddrPort, r *Request) (*Answer, Ending, error) {
	c, err := p.open(ctx, address)
	if err != nil {
		return nil, Unsent, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	text := encode(r)
	p.launch(c, len(text))
	answer, ending, err := c.carry(r, text)
	p.land(c)
	done := stop()
	if ending != Answered {
		err = c.held(err)
		_ = resetter.Reset(c.Conn)
		return nil, ending, err
	}
	if !done || !c.reusable(answer) {
		_ = c.Close()
		return answer, ending, nil
	}
	p.put(c, answer)
	return answer, ending, nil
}

func (p *Pooler) open(ctx context.Context, address netip.AddrPort) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleEnd) && prober.Quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize), address: address, fresh: true}, nil
}

func (p *Pooler) take(address netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pooler) put(c *conn, a *Answer) {
	// The deadline of the last request would make the connection look broken before the next.
	_ = c.SetDeadline(time.Time{})
	c.fresh = false
	c.idleEnd = time.Now().Add(keepAlive(a.Header))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[netip.AddrPort][]*conn{}
	}
	if len(p.idle[c.address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to a target. Those that were forgotten by something on the way are often
// forgotten together.
func (p *Pooler) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// Sweep closes what has been idle for too long.
func (p *Pooler) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		var rest []*conn
		for _, c := range list {
			if now.Before(c.idleEnd) {
				rest = append(rest, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = rest
		if len(rest) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close closes all idle connections.
func (p *Pooler) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
}

// carry writes the request and reads its answer.
func (c *conn) carry(r *Request, text []byte) (*Answer, Ending, error) {
	n, err := c.Write(text)
	if err != nil {
		if n == 0 && c.fresh {
			return nil, Unsent, err
		}
		return nil, Broken, err
	}
	for range maxStrays + 1 {
		answer, err := c.read(r)
		if err != nil {
			return nil, Broken, err
		}
		if r.Mine(answer.Header) {
			return answer, Answered, nil
		}
	}
	return nil, Broken, &StrayError{Address: c.address}
}

// encode writes a request as bytes. The body is sent with its length, however the caller sent it.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(bufferSize)
	b.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// read reads one whole answer, skipping interim ones. An answer without a length ends with its connection; when
// that is reset the read fails, and so never looks whole.
func (c *conn) read(r *Request) (*Answer, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, keepBody+1))
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
		if len(body) > keepBody {
			return nil, &SizeError{Address: c.address}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Close {
			response.Header.Set("Connection", "close")
		}
		return &Answer{response.StatusCode, response.Header, body}, nil
	}
}

// reusable reports whether the next request may use the connection: bytes that nobody asked for would be taken for
// its answer.
func (c *conn) reusable(a *Answer) bool {
	return a.Header.Get("Connection") != "close" && c.reader.Buffered() == 0
}

// StrayError says that a connection brought answers to other requests only.
type StrayError struct{ Address netip.AddrPort }

// Error implements error.
func (e *StrayError) Error() string { return "answers to other requests from " + e.Address.String() }

// SizeError says that an answer is larger than is held.
type SizeError struct{ Address netip.AddrPort }

// Error implements error.
func (e *SizeError) Error() string { return "too large an answer from " + e.Address.String() }

// Refused reports whether an error shows that nothing listens at the address.
func Refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
