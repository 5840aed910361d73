// Package bounder bounds the memory that the bodies of requests take together. Each body alone is limited elsewhere; many at
// once could still use up the memory of a process, which is then killed with all its requests.
package bounder

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// freeSize is the size in bytes up to which a body does not count: small requests go on when large ones are refused.
	freeSize = 16 << 10
	// firstSize is the size in bytes of the buffer in which a body is begun.
	firstSize = 4 << 10
	// growth is the factor by which buffers grow.
	growth = 2
)

// Bounder holds the number of bytes that bodies take. Set Limit before use. It is safe for concurrent use. A nil Bounder
// sets no limit.
type Bounder struct {
	// Limit is the most bytes that bodies take together; zero stands for no limit.
	Limit int64

	used    atomic.Int64
	refused atomic.Int64
}

// Used returns the number of bytes that bodies take now.
func (b *Bounder) Used() int64 { return b.used.Load() }

// Refused returns how many bodies were refused because of Limit.
func (b *Bounder) Refused() int64 { return b.refused.Load() }

// reserve counts further bytes and reports whether there is room for them.
func (b *Bounder) reserve(size int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(size) > b.Limit && b.Limit > 0 {
		b.used.Add(-size)
		return false
	}
	return true
}

// FullError reports that a body was not read to its end, because all bodies together would exceed the limit. The
// request can be tried again later.
type FullError struct{}

// Error implements error.
func (*FullError) Error() string { return "bodies of requests take too much memory together" }

// TooLargeError reports that a body alone is larger than allowed.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (*TooLargeError) Error() string { return "body too large" }

// Body is the body of a request, and the memory that it takes until Release. The zero value is empty.
type Body struct {
	Bytes []byte

	bounder *Bounder
	held    int64
}

// Read reads a body to its end. The length is -1 if it is not known. The buffer grows with what has arrived, whatever
// length the request states. It returns a TooLargeError beyond limit bytes, a FullError if all bodies together would
// take too much, or the error of reading. Release the body in any case.
func (b *Bounder) Read(source io.Reader, length, limit int64) (*Body, error) {
	out := &Body{bounder: b}
	if length == 0 {
		return out, nil
	}
	most := limit + 1 // one byte more, to see that there is none
	if length > 0 {
		most = min(most, length+1)
	}
	out.Bytes = make([]byte, 0, min(firstSize, most))
	for {
		if err := out.grow(most); err != nil {
			return out, err
		}
		n, err := source.Read(out.Bytes[len(out.Bytes):cap(out.Bytes)])
		out.Bytes = out.Bytes[:len(out.Bytes)+n]
		if int64(len(out.Bytes)) > limit {
			return out, &TooLargeError{limit}
		}
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
	}
}

// grow makes room for more bytes, most in all.
func (o *Body) grow(most int64) error {
	if len(o.Bytes) < cap(o.Bytes) {
		return nil
	}
	size := min(most, growth*int64(cap(o.Bytes)))
	if size > freeSize {
		if !o.bounder.reserve(size - o.held) {
			o.bounder.refused.Add(1)
			return &FullError{}
		}
		o.held = size
	}
	o.Bytes = append(make([]byte, 0, size), o.Bytes...)
	return nil
}

// Release gives the memory back. Bytes must not be used any more.
func (o *Body) Release() {
	if o.bounder != nil {
		o.bounder.used.Add(-o.held)
	}
	o.Bytes, o.held = nil, 0
}
