// Package pooler pools connections to targets; each carries one request at a time. Unlike the standard library's
// client, it never retries a request by itself, knows whether a byte of it may have left, and needs no goroutine for a
// connection.
package pooler

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chervilrail.example/core/prober"
	"chervilrail.example/core/resetter"
)

const (
	// dialTimeout bounds the opening of a connection: a round trip between regions, with a margin for a busy target.
	// After it the request has certainly not been executed and can be sent to another target.
	dialTimeout = 400 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept. It is well below the few seconds after which targets close
	// idle connections, because a request that crosses such a close may not be retryable.
	maxIdleTime = 4 * time.Second
	// maxIdle limits the idle connections kept to one target.
	maxIdle = 8
	// maxUnexpectedAnswers is how many answers to other requests are skipped before the request counts as broken.
	maxUnexpectedAnswers = 2
	bufferSize           = 4 << 10
	// lateReads is how long an answer is read on once its attempt has ended: what has arrived by then may not be read yet,
	// as the process is busy.
	lateReads = 10 * time.Millisecond
)

// Outcome is how an attempt to send a request to a target ended.
type Outcome int

// The outcomes.
const (
	// Answered: a complete answer to this request was received.
	Answered Outcome = iota
	// Unsent: no byte of the request was sent.
	Unsent
	// Broken: no complete answer was received; the target may have executed the request.
	Broken
)

// Request is a request to a target.
type Request struct {
	Method string
	// Path is the path and query exactly as the caller sent them.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Withhold is asked just before the request is sent, after a connection was found or opened; unless it returns an
	// empty text, the request is not sent for that reason. It may be nil.
	Withhold func() string
	// Matches reports whether an answer with these headers belongs to this request.
	Matches func(h http.Header) bool
}

// Answer is a complete answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Pooler manages the idle connections and the requests in flight. Its zero value is ready; it is safe for concurrent
// use.
type Pooler struct {
	// AnswerMemory is how much memory the answers that are being read may take together, in bytes; zero stands for
	// 64 MiB. Set it before use.
	AnswerMemory int64

	buffers buffers

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// pending are the requests in flight, by their connections.
	pending map[*conn]pendingRequest
}

type conn struct {
	net.Conn
	evictable
	head    *headReader
	reader  *bufio.Reader
	address netip.AddrPort
	// fresh is set until the connection has carried a request; unsent is set while a request is not sent whole.
	fresh  bool
	unsent atomic.Bool
	// idleUntil is the time until which the idle connection may be reused.
	idleUntil time.Time
}

// Send sends a request to a target and returns its answer. It returns at the latest lateReads after ctx ends. A failed attempt
// resets its connection; the error is an *UndeliveredError if bytes of the request were not acknowledged.
func (p *Pooler) Send(ctx context.Context, address netip.AddrPort, r *Request) (*Answer, Outcome, error) {
	c, err := p.open(ctx, address)
	if err != nil {
		return nil, Unsent, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	if r.Withhold != nil {
		if reason := r.Withhold(); reason != "" {
			p.keep(c)
			return nil, Unsent, &WithheldError{Reason: reason}
		}
	}
	if err := ctx.Err(); err != nil {
		p.keep(c)
		return nil, Unsent, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now().Add(lateReads)) })
	encoded := encode(r)
	p.addPending(c, len(encoded))
	answer, outcome, err := c.roundTrip(r, encoded, &p.buffers)
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
		if time.Now().Before(c.idleUntil) && prober.Idle(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	head := &headReader{Conn: raw}
	c := &conn{Conn: raw, head: head, reader: bufio.NewReaderSize(head, bufferSize), address: address, fresh: true}
	c.answerMemory = cmp.Or(p.AnswerMemory, defaultAnswerMemory)
	return c, nil
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

// put keeps a connection for the next request after an answer.
func (p *Pooler) put(c *conn, a *Answer) {
	c.fresh = false
	c.idleUntil = time.Now().Add(idleTimeout(a.Header))
	p.keep(c)
}

// keep adds a connection to the idle ones. One that was just opened is kept for maxIdleTime.
func (p *Pooler) keep(c *conn) {
	if c.idleUntil.IsZero() {
		c.idleUntil = time.Now().Add(maxIdleTime)
	}
	// The last request's deadline would make the connection look broken to the next request.
	_ = c.SetDeadline(time.Time{})
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

// CloseIdle closes the idle connections to a target. A device on the path that dropped the state of one connection has
// often dropped that of the others as well.
func (p *Pooler) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// Sweep closes the connections that have been idle for too long.
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

// await reads answers until the one to the request.
func (c *conn) await(r *Request, held *buffers) (*Answer, Outcome, error) {
	for range maxUnexpectedAnswers + 1 {
		answer, err := c.read(r, held)
		if err != nil {
			return nil, Broken, err
		}
		if r.Matches(answer.Header) {
			return answer, Answered, nil
		}
	}
	return nil, Broken, &UnexpectedAnswerError{Address: c.address}
}

// encode returns the bytes of a request. A body is sent with its Content-Length, however the caller sent it.
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

// read reads one complete answer. One without a length ends when its connection is closed; if the connection is reset
// instead, the read fails, so that the answer never looks complete.
func (c *conn) read(r *Request, held *buffers) (*Answer, error) {
	response, err := c.readHead(r)
	if err != nil {
		return nil, err
	}
	unbounded := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if c.unsent.Load() && unbounded { // a failed write has taken the reset, and the end would look orderly
		return nil, io.ErrUnexpectedEOF
	}
	body, err := c.readBody(response.Body, response.ContentLength, held)
	if err != nil {
		return nil, err // the body is not closed: that would read the rest of it
	}
	_ = response.Body.Close()
	if response.Close {
		response.Header.Set("Connection", "close")
	}
	return &Answer{response.StatusCode, response.Header, body}, nil
}

// reusable reports whether the next request may use the connection: unexpected bytes would be taken for its answer.
func (c *conn) reusable(a *Answer) bool {
	return !c.unsent.Load() && a.Header.Get("Connection") != "close" && c.reader.Buffered() == 0
}

// WithheldError reports that a request was not sent because of what its Withhold returned.
type WithheldError struct{ Reason string }

// Error implements error.
func (e *WithheldError) Error() string { return "request withheld: " + e.Reason }

// UnexpectedAnswerError reports that only answers to other requests were received on a connection.
type UnexpectedAnswerError struct{ Address netip.AddrPort }

// Error implements error.
func (e *UnexpectedAnswerError) Error() string {
	return "answers to other requests from " + e.Address.String()
}

// DialFailed reports whether an error comes from opening a connection, so that no request was sent on it.
func DialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
