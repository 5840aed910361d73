package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/entry/internal/refuser"
)

// startEndlessTarget starts a target that sends the first bytes of an answer, and then others until its connection is
// closed.
func startEndlessTarget(t *testing.T, first, rest string) *rawTarget {
	t.Helper()
	return startRawTarget(t, func(c net.Conn) {
		_, err := io.WriteString(c, first)
		for b := []byte(strings.Repeat(rest, 4096)); err == nil; {
			_, err = c.Write(b)
		}
	})
}

// Guards against instances that are killed for their memory, or hold requests without end, by targets that send bytes
// without end in place of a head.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ first, rest string }{
		"no answer":       {"", "\x00"},
		"status line":     {"HTTP/1.1 200 OK ", "x"},
		"one header":      {"HTTP/1.1 200 OK\r\n", "a"},
		"many headers":    {"HTTP/1.1 200 OK\r\n", "X-Some-Header: some text\r\n"},
		"interim answers": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim headers": {"", "HTTP/1.1 103 Early Hints\r\nLink: some text\r\n\r\n"},
		"interim, header": {"HTTP/1.1 102 Processing\r\nX-A: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestInstance(t, startEndlessTarget(t, c.first, c.rest).address)
			for path, header := range map[string]http.Header{"/a": nil, "/rsvp": keyHeader(t), "/photos": nil} {
				status, outcome, _ := f.sendWithin(t, atOnce, http.MethodPost, path, header)
				is.Equal(status, http.StatusBadGateway)
				is.Equal(outcome, string(refuser.Unknown))
			}
		})
	}
}

// endlessBodies are answers whose ends never come. Those that end by themselves do so for what is no body.
var endlessBodies = map[string]struct {
	first, rest string
	ends        bool
}{
	"without a length": {"HTTP/1.1 200 OK\r\n\r\n", "x", false},
	"false length":     {"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x", false},
	"chunks":           {chunkedHead, "4\r\nbody\r\n", false},
	"one chunk":        {chunkedHead + "7fffffffffffffff\r\n", "x", false},
	"size":             {chunkedHead, "0", true},
	"extension":        {chunkedHead + "1;", "x", true},
	"extensions":       {chunkedHead, "1;extension=" + strings.Repeat("x", 100) + "\r\nb\r\n", true},
	"trailer":          {chunkedHead + "0\r\nX-A: ", "x", true},
	"trailers":         {chunkedHead + "0\r\n", "X-A: b\r\n", true},
	"no size":          {chunkedHead, "\r\n", true},
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against bodies without end that are relayed past the request's time, that look complete, or whose target goes on
// after their callers have left.
func TestEndlessBodyEndsWithItsRequest(t *testing.T) {
	for name, c := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := startEndlessTarget(t, c.first, c.rest)
			f := newTestInstance(t, target.address)
			ctx, cancel := context.WithTimeout(t.Context(), atOnce/2)
			defer cancel()
			err := f.discard(ctx, "/a", nil)
			is.True(err != nil) // it never looks complete
			is.Equal(ctx.Err() == nil, c.ends)
			select {
			case <-target.closed:
			case <-time.After(atOnce):
				t.Error("the target's connection stays open")
			}
		})
	}
}

// Guards against the same by requests whose callers stay: they end at their deadline, and those that must not repeat are
// held in memory only up to what the ledger stores.
func TestEndlessBodyIsCutAtTheDeadline(t *testing.T) {
	const callers = 8
	for name, c := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestInstance(t, startEndlessTarget(t, c.first, c.rest).address)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ended := make(chan error, callers)
			for range callers / 2 {
				for path, header := range map[string]http.Header{"/a": nil, "/rsvp": keyHeader(t)} {
					go func() { ended <- f.discard(t.Context(), path, header) }()
				}
			}
			for range callers {
				select {
				case err := <-ended:
					is.True(err != nil)
				case <-time.After(8 * time.Second):
					t.Fatal("an answer goes on after the deadline")
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			is.True(after.HeapAlloc < before.HeapAlloc+16<<20)
		})
	}
}

// discard sends a request, reads its answer to its end, and returns the error with which it ends. A refusal is an error,
// too.
func (f *testInstance) discard(ctx context.Context, path string, header http.Header) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL+path, strings.NewReader("x"))
	if err != nil {
		return err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set(refuser.HeaderService, "listings")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
