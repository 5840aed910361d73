package pooler

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"chervilrail.example/entry/internal/validator"
)

const (
	// maxHeadSize is the size of the largest head of an answer in bytes, with those of the interim answers before it.
	maxHeadSize = 64 << 10
	// maxAnswerSize is the size of the largest answer body, in bytes: an answer is buffered until it is complete.
	maxAnswerSize = 8 << 20
	// firstBuffer is the size of the buffer in which a body of unknown length is begun, and freeBuffer that up to which
	// buffers do not count towards AnswerMemory, in bytes.
	firstBuffer = 4 << 10
	freeBuffer  = 64 << 10
	// defaultAnswerMemory is AnswerMemory if it is not set, in bytes.
	defaultAnswerMemory = 64 << 20
)

// headReader reads from a connection, and only a limited number of bytes while a head is read.
type headReader struct {
	net.Conn
	// left is how many bytes of the head may still be read; it counts while limited is set.
	left    int
	limited bool
}

// Read implements io.Reader. It returns errHeadTooLarge once the limit is reached.
func (h *headReader) Read(b []byte) (int, error) {
	if !h.limited {
		return h.Conn.Read(b)
	}
	if h.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.Conn.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}

var errHeadTooLarge = errors.New("head too large")

// readHead reads the head of an answer. It skips interim ones. The error is a *validator.AnswerError if a message is no
// answer.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	c.head.left, c.head.limited = maxHeadSize, true
	defer func() { c.head.limited = false }()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if errors.Is(err, errHeadTooLarge) {
			return nil, &AnswerTooLargeError{Address: c.address, Part: "head"}
		}
		if err != nil {
			return nil, err
		}
		if status := response.StatusCode; status < http.StatusContinue || status >= http.StatusOK {
			return response, validator.Answer(response)
		}
		if err := validator.Interim(response); err != nil {
			return nil, err
		}
	}
}

// readBody reads the body of an answer to its end. The length is -1 if it is not known. The buffer grows with what has
// arrived, whatever length the answer states.
func (c *conn) readBody(body io.Reader, length int64, held *buffers) ([]byte, error) {
	defer held.release(c)
	size, most := firstBuffer, maxAnswerSize+1
	if length >= 0 {
		most = int(min(length+1, maxAnswerSize+1)) // one byte more, to read the end
		size = min(most, freeBuffer)
	}
	out := make([]byte, 0, size)
	for {
		if len(out) == cap(out) {
			size = min(2*cap(out), most)
			if len(out) > maxAnswerSize || !held.grow(c, size) {
				return nil, &AnswerTooLargeError{Address: c.address, Part: "body"}
			}
			out = append(make([]byte, 0, size), out...)
		}
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil && c.evicted.Load() {
			return nil, &AnswerTooLargeError{Address: c.address, Part: "body"}
		}
		if err != nil {
			return nil, err
		}
	}
}

// buffers accounts for the memory of the answers that are being read. Each alone is bounded, but faulty targets can send
// many without end at the same moment, and an instance that exceeds its memory is killed with all its requests.
type buffers struct {
	mu    sync.Mutex
	total int64
	sizes map[*conn]int64
}

// grow records the size to which a connection's buffer grows, and reports whether it may. If all together exceed the
// limit, the largest of the target with the most is given up: a target that sends without end has more than others.
func (b *buffers) grow(c *conn, size int) bool {
	if size <= freeBuffer {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sizes == nil {
		b.sizes = map[*conn]int64{}
	}
	b.total += int64(size) - b.sizes[c]
	b.sizes[c] = int64(size)
	for b.total > c.answerMemory {
		largest := b.largest()
		b.remove(largest)
		if largest == c {
			return false
		}
		largest.evicted.Store(true)
		_ = largest.SetDeadline(time.Unix(1, 0))
	}
	return true
}

// largest returns the connection with the largest buffer, among those to the target whose buffers are the largest
// together.
func (b *buffers) largest() *conn {
	totals := map[netip.AddrPort]int64{}
	for c, size := range b.sizes {
		totals[c.address] += size
	}
	var out *conn
	for c, size := range b.sizes {
		if out == nil || totals[c.address] > totals[out.address] || c.address == out.address && size > b.sizes[out] {
			out = c
		}
	}
	return out
}

// release records that a connection's buffer is not growing any more.
func (b *buffers) release(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(c)
}

func (b *buffers) remove(c *conn) {
	b.total -= b.sizes[c]
	delete(b.sizes, c)
}

// AnswerTooLargeError reports that the head or the body of an answer is larger than the instance takes, alone or with
// the other answers that it reads.
type AnswerTooLargeError struct {
	Address netip.AddrPort
	// Part is "head" or "body".
	Part string
}

// Error implements error.
func (e *AnswerTooLargeError) Error() string {
	return "answer too large from " + e.Address.String() + ": " + e.Part
}

// evictable is the state of a connection whose answer may be given up for the memory of others.
type evictable struct {
	answerMemory int64
	evicted      atomic.Bool
}
