// Package packer compresses parts of watch responses that many entry instances receive alike, so that a controller
// encodes them once for all of them.
package packer

import (
	"bytes"
	"compress/gzip"
	"io"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// MaxSize is the largest part in bytes, before compression, that Unpack accepts.
const MaxSize = 64 << 20

// Packer encodes parts. Its zero value is ready; it is not safe for concurrent use. It keeps the compressor, which takes
// longer to set up than to use.
type Packer struct {
	writer *gzip.Writer
}

// Pack returns the compressed encoding of a part.
func (p *Packer) Pack(part *wire.WatchResponse) ([]byte, error) {
	data, err := proto.Marshal(part)
	if err != nil {
		return nil, &Error{Action: "encode", Cause: err}
	}
	var out bytes.Buffer
	if p.writer == nil {
		writer, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
		if err != nil {
			return nil, &Error{Action: "compress", Cause: err}
		}
		p.writer = writer
	}
	p.writer.Reset(&out)
	if _, err := p.writer.Write(data); err != nil {
		return nil, &Error{Action: "compress", Cause: err}
	}
	if err := p.writer.Close(); err != nil {
		return nil, &Error{Action: "compress", Cause: err}
	}
	return out.Bytes(), nil
}

// Unpack adds the fields of all packed parts of a response to it, and removes the parts. After an error, the response
// must not be used.
func Unpack(r *wire.WatchResponse) error {
	for _, data := range r.GetPacked() {
		reader, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return &Error{Action: "decompress", Cause: err}
		}
		plain, err := io.ReadAll(io.LimitReader(reader, MaxSize+1))
		if err != nil {
			return &Error{Action: "decompress", Cause: err}
		}
		if len(plain) > MaxSize {
			return &Error{Action: "decompress", Cause: &SizeError{}}
		}
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(plain, r); err != nil {
			return &Error{Action: "decode", Cause: err}
		}
	}
	r.Packed = nil
	return nil
}

// Error reports that a part could not be packed or unpacked.
type Error struct {
	Action string
	Cause  error
}

// Error implements error.
func (e *Error) Error() string { return e.Action + " a packed response: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// SizeError reports a part above MaxSize.
type SizeError struct{}

// Error implements error.
func (*SizeError) Error() string { return "it is too large" }
