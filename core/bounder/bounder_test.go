package bounder

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against processes that are killed for their memory by bodies that are allowed each but not together.
func TestBodiesTogetherAreBounded(t *testing.T) {
	const limit = 8 << 20
	is := is.New(t)
	b := &Bounder{Limit: limit}
	var group sync.WaitGroup
	var mu sync.Mutex
	var kept []*Body
	for range 40 {
		group.Go(func() {
			body, err := b.Read(bytes.NewReader(make([]byte, 1<<20)), 1<<20, 1<<20)
			var full *FullError
			if errors.As(err, &full) {
				body.Release()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			kept = append(kept, body)
			if b.Used() > limit {
				t.Errorf("%d bytes used", b.Used())
			}
		})
	}
	group.Wait()
	is.True(len(kept) > 0)
	is.True(len(kept) <= 8)
	is.Equal(b.Refused(), int64(40-len(kept)))

	body, err := b.Read(bytes.NewReader(make([]byte, freeSize-1)), -1, 1<<20) // small ones are read all the same
	is.NoErr(err)
	is.Equal(len(body.Bytes), freeSize-1)
	body.Release()
	for _, k := range kept {
		k.Release()
	}
	is.Equal(b.Used(), int64(0))
}

func TestBodyIsReadWhole(t *testing.T) {
	text := bytes.Repeat([]byte("text"), 50_000)
	for name, source := range map[string]func() io.Reader{
		"whole":  func() io.Reader { return bytes.NewReader(text) },
		"pieces": func() io.Reader { return iotest.HalfReader(bytes.NewReader(text)) },
		"end with the last bytes": func() io.Reader {
			return iotest.DataErrReader(bytes.NewReader(text))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, length := range []int64{-1, int64(len(text))} {
				b := &Bounder{}
				body, err := b.Read(source(), length, int64(len(text)))
				is.NoErr(err)
				is.True(bytes.Equal(body.Bytes, text))
				body.Release()
				is.Equal(b.Used(), int64(0))
				body, err = b.Read(source(), length, int64(len(text))-1)
				var tooLarge *TooLargeError
				is.True(errors.As(err, &tooLarge))
				body.Release()
			}
		})
	}
}

// Guards against memory that is set aside for a length that a caller states and never sends, and against a body that is
// taken for complete when its caller breaks off.
func TestStatedLengthTakesNoMemory(t *testing.T) {
	is := is.New(t)
	b := &Bounder{Limit: 1 << 20}
	body, err := b.Read(io.MultiReader(bytes.NewReader([]byte("x")), iotest.ErrReader(io.ErrUnexpectedEOF)), 16<<20, 16<<20)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.True(cap(body.Bytes) <= firstSize)
	is.Equal(b.Used(), int64(0))
	body.Release()
	body, err = b.Read(endless{}, -1, 16<<20)
	var full *FullError
	is.True(errors.As(err, &full))
	body.Release()
	is.Equal(b.Used(), int64(0))
}
