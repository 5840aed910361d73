package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// readAheadSize is how much of a streamed body is read ahead for its fingerprint.
	readAheadSize = 4 << 10
	// maxBufferedBody is the largest body that is kept whole, so that it can be sent again.
	maxBufferedBody = 64 << 10
	// maxOnceBody is the largest body of a request that must not repeat; it is read whole before the claim,
	// so that a caller that breaks off never leaves half a booking.
	maxOnceBody = 1 << 20
	// stallTimeout is how long a transfer may make no progress.
	stallTimeout = 30 * time.Second
)

// body is a request body, read ahead in part or whole.
type body struct {
	ahead []byte
	// rest is nil when ahead is the whole body.
	rest io.ReadCloser
	size int64
	// started is set once the rest has been read from: it can't be sent again then.
	started atomic.Bool
}

func readAhead(w http.ResponseWriter, r *http.Request, limit int64, whole bool) (*body, error) {
	b := &body{size: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		b.size = 0
		return b, nil
	}
	if whole {
		limit = min(limit, maxOnceBody)
	}
	source := &stallReader{http.MaxBytesReader(w, r.Body, limit), http.NewResponseController(w)}
	first := int64(readAheadSize)
	if whole || r.ContentLength >= 0 && r.ContentLength <= maxBufferedBody {
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
		return nil, err
	}
	b.rest = source
	return b, nil
}

// replayable reports whether the whole body can still be sent.
func (b *body) replayable() bool { return b.rest == nil || !b.started.Load() }

// open returns the body for one attempt. It has no GetBody, and is never http.NoBody: the HTTP client
// would otherwise send a request again by itself when a kept connection breaks, because it carries an
// Idempotency-Key, and a booking could run twice.
func (b *body) open() io.ReadCloser {
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.ahead))
	}
	return &restReader{io.MultiReader(bytes.NewReader(b.ahead), &markReader{b})}
}

func (b *body) close() {
	if b != nil && b.rest != nil {
		_ = b.rest.Close()
	}
}

type markReader struct{ b *body }

func (m *markReader) Read(p []byte) (int, error) {
	m.b.started.Store(true)
	return m.b.rest.Read(p)
}

// restReader does not close the caller's body when the HTTP client closes an attempt's.
type restReader struct{ io.Reader }

func (*restReader) Close() error { return nil }

// stallReader gives every read a deadline of its own: a caller that stops sending is noticed, one that
// is slow goes on for as long as it takes.
type stallReader struct {
	io.ReadCloser
	controller *http.ResponseController
}

func (s *stallReader) Read(p []byte) (int, error) {
	_ = s.controller.SetReadDeadline(time.Now().Add(stallTimeout))
	return s.ReadCloser.Read(p)
}

func (s *stallReader) Close() error {
	_ = s.controller.SetReadDeadline(time.Time{})
	return s.ReadCloser.Close()
}
