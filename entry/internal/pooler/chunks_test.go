package pooler

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against attempts that read until their deadline, and take memory or a processor, what a target sends without end
// in a body in chunks.
func TestEndlessChunksAreGivenUp(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ first, rest string }{
		"size":            {head, "0"},
		"extension":       {head + "1;", "x"},
		"extensions":      {head, "1;extension=" + strings.Repeat("x", 100) + "\r\nb\r\n"},
		"trailer":         {head + "0\r\nX-A: ", "x"},
		"trailers":        {head + "0\r\n", "X-A: b\r\n"},
		"chunks":          {head, "4\r\nbody\r\n"},
		"one chunk":       {head + "fffffff\r\n", "x"},
		"largest chunk":   {head + "7fffffffffffffff\r\n", "x"},
		"too large":       {head + "ffffffffffffffffff\r\n", "x"},
		"no size":         {head, "\r\n"},
		"interim, header": {"HTTP/1.1 102 Processing\r\nX-A: ", "x"},
		"answers":         {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nbody"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := startTarget(t, func(conn net.Conn, _ int) {
				write(conn, c.first)
				pour(conn, []byte(strings.Repeat(c.rest, 4096)))
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			p := &Pooler{}
			began := time.Now()
			_, outcome, err := p.Send(ctx, target.address, request("x"))
			t.Logf("%v after %v", err, time.Since(began))
			is.Equal(outcome, Broken)
			is.NoErr(ctx.Err()) // not at the deadline
			is.True(!errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, os.ErrDeadlineExceeded))
			is.Equal(p.buffers.total, int64(0))
		})
	}
}
