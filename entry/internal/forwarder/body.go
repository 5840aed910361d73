package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"chervilrail.example/core/bounder"
)

const (
	// readAheadSize is the number of bytes of a streamed body that are read ahead for its fingerprint.
	readAheadSize = 4 << 10
	// maxBufferedBody is the largest body that is buffered completely, so that it can be sent again.
	maxBufferedBody = 64 << 10
	// maxOnceBody is the largest body of a request that must not repeat. The body is read completely before the claim,
	// so that a caller that disconnects midway never causes a truncated request to run.
	maxOnceBody = 1 << 20
	// stallTimeout is how long a transfer may make no progress.
	stallTimeout = 30 * time.Second
)

// body is a request body that is buffered completely or in part.
type body struct {
	ahead []byte
	// rest is nil if ahead is the whole body.
	rest io.ReadCloser
	size int64
	// started is set once the rest has been read from; the body can't be sent again then.
	started atomic.Bool
	// held is the memory of a body that is buffered completely, whatever its size.
	held *bounder.Body
}

// readAhead reads the first part of a body, or all of it if whole is set, until ctx ends. Release the body with close in any
// case.
func (f *Forwarder) readAhead(
	ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64, whole bool,
) (*body, error) {
	b := &body{size: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		b.size = 0
		return b, nil
	}
	if whole {
		limit = min(limit, maxOnceBody)
	}
	source := &stallReader{http.MaxBytesReader(w, r.Body, limit), http.NewResponseController(w), ctx}
	defer source.endWith(ctx)()
	if whole {
		held, err := f.Bodies.Read(source, r.ContentLength, limit)
		b.held, b.ahead, b.size = held, held.Bytes, int64(len(held.Bytes))
		return b, err
	}
	first := int64(readAheadSize)
	if r.ContentLength >= 0 && r.ContentLength <= maxBufferedBody {
		first = max(limit, maxBufferedBody) + 1
	}
	var buffer bytes.Buffer
	n, err := io.CopyN(&buffer, source, first)
	b.ahead = buffer.Bytes()
	if errors.Is(err, io.EOF) {
		b.size = n
		return b, nil
	}
	if err != nil {
		return b, err
	}
	b.rest = source
	return b, nil
}

// replayable reports whether the whole body can still be sent.
func (b *body) replayable() bool { return b.rest == nil || !b.started.Load() }

// open returns the body for one attempt. It has no GetBody, and is never http.NoBody: otherwise the HTTP client would
// resend a request with an Idempotency-Key on its own when a kept-alive connection breaks, and a request that must not
// repeat could run twice.
func (b *body) open() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.ahead))
	}
	return &restReader{io.MultiReader(bytes.NewReader(b.ahead), &markReader{b})}
}

func (b *body) close() {
	if b == nil {
		return
	}
	if b.rest != nil {
		_ = b.rest.Close()
	}
	if b.held != nil {
		b.held.Release()
	}
}

type markReader struct{ b *body }

func (m *markReader) Read(p []byte) (int, error) {
	m.b.started.Store(true)
	return m.b.rest.Read(p)
}

// restReader keeps the caller's body open when the HTTP client closes the body of an attempt.
type restReader struct{ io.Reader }

func (*restReader) Close() error { return nil }

// stallReader sets a new deadline for every read: a caller that stops sending is detected, a slow one may take as long
// as it needs.
type stallReader struct {
	io.ReadCloser
	controller *http.ResponseController
	// ctx is that of reading ahead; no read begins once it has ended.
	ctx context.Context
}

// endWith ends reads when ctx ends, until the function that it returns is called.
func (s *stallReader) endWith(ctx context.Context) func() {
	stop := context.AfterFunc(ctx, func() { _ = s.controller.SetReadDeadline(time.Unix(1, 0)) })
	return func() {
		stop()
		s.ctx = context.Background()
	}
}

func (s *stallReader) Read(p []byte) (int, error) {
	_ = s.controller.SetReadDeadline(time.Now().Add(stallTimeout))
	if s.ctx.Err() != nil {
		return 0, context.Cause(s.ctx)
	}
	return s.ReadCloser.Read(p)
}

func (s *stallReader) Close() error {
	_ = s.controller.SetReadDeadline(time.Time{})
	return s.ReadCloser.Close()
}
