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
	// maxIdleTime is how long a connection is kept without use. Targets close idle ones after some seconds, and a
	// request that crosses such a close may not be repeated; so ours is well below.
	maxIdleTime = 4 * time.Second
	// maxIdle is how many idle connections to one target are kept.
	maxIdle = 8
	// maxAnswerSize is the largest answer that is held back until it is whole.
	maxAnswerSize = 8 << 20
	// maxUnexpectedAnswers is how many answers to other requests are skipped before a connection is given up.
	maxUnexpectedAnswers = 2
	bufferSize           = 4 << 10
)

// Outcome is how a request at a target ended.
type Outcome int

// The endings.
const (
	// Answered: a whole answer to this request came.
	Answered Outcome = iota
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
	// Matches reports whether an answer's head belongs to this request.
	Matches func(h http.Header) bool
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
	// pending are the requests that wait for their answers.
	pending map[*conn]pendingRequest
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address netip.AddrPort
	fresh   bool
	// idleUntil is until when the connection may be used again.
	idleUntil time.Time
}

// Send carries a request to a target and returns its answer, at the latest when ctx ends.
func (p *Pooler) Send(ctx context.Context, address netip.AddrPort, r *Request) (*Answer, Outcome, error) {
	c, err := p.open(ctx, address)
	if err != nil {
		return nil, Unsent, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	encoded := encode(r)
	p.addPending(c, len(encoded))
	answer, outcome, err := c.roundTrip(r, encoded)
	p.removePending(c)
	done := stop()
	if outcome != Answered {
		err = c.wrapUndelivered(err)
		_ = resetter.Reset(c.Conn)
		return nil, outcome, err
	}
	if !done || !c.reusable(answer) {
		_ = c.Close()
		return answer, outcome, nil
	}
	p.put(c, answer)
	return answer, outcome, nil
}

func (p *Pooler) open(ctx context.Context, address netip.AddrPort) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && prober.Quiet(c.Conn) {
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
	c.idleUntil = time.Now().Add(idleTimeout(a.Header))
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
			if now.Before(c.idleUntil) {
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

// roundTrip writes the request and reads its answer.
func (c *conn) roundTrip(r *Request, encoded []byte) (*Answer, Outcome, error) {
	n, err := c.Write(encoded)
	if err != nil {
		if n == 0 && c.fresh {
			return nil, Unsent, err
		}
		return nil, Broken, err
	}
	for range maxUnexpectedAnswers + 1 {
		answer, err := c.read(r)
		if err != nil {
			return nil, Broken, err
		}
		if r.Matches(answer.Header) {
			return answer, Answered, nil
		}
	}
	return nil, Broken, &UnexpectedAnswerError{Address: c.address}
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
		body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize+1))
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
		if len(body) > maxAnswerSize {
			return nil, &AnswerTooLargeError{Address: c.address}
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

// UnexpectedAnswerError says that a connection brought answers to other requests only.
type UnexpectedAnswerError struct{ Address netip.AddrPort }

// Error implements error.
func (e *UnexpectedAnswerError) Error() string {
	return "answers to other requests from " + e.Address.String()
}

// AnswerTooLargeError says that an answer is larger than is held.
type AnswerTooLargeError struct{ Address netip.AddrPort }

// Error implements error.
func (e *AnswerTooLargeError) Error() string { return "too large an answer from " + e.Address.String() }

// DialFailed reports whether an error shows that nothing listens at the address.
func DialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
