package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/entry/internal/refuser"
)

// atOnce is how long an attempt may take that does not wait for its deadline, which is after 2 s.
const atOnce = time.Second

// hiddenAnswer is the text of an answer in the body of another message.
const hiddenAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"

// rawTarget is a target that answers each request with bytes and leaves the connection open.
type rawTarget struct {
	address string
	// closed receives a value when the instance closes a connection.
	closed chan struct{}
}

func startRawTarget(t *testing.T, answer func(c net.Conn)) *rawTarget {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	out := &rawTarget{address: socket.Addr().String(), closed: make(chan struct{}, 16)}
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			go out.serve(c, answer)
		}
	}()
	return out
}

func (r *rawTarget) serve(c net.Conn, answer func(c net.Conn)) {
	defer func() {
		_ = c.Close()
		r.closed <- struct{}{}
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer(c)
	}
}

func startTargetOf(t *testing.T, bytes string) *rawTarget {
	t.Helper()
	return startRawTarget(t, func(c net.Conn) { _, _ = io.WriteString(c, bytes) })
}

// sendWithin sends a request and returns the status, the outcome and the body of its answer, which is due within some
// time.
func (f *testInstance) sendWithin(
	t *testing.T, within time.Duration, method, path string, header http.Header,
) (status int, outcome, body string) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, f.URL+path, strings.NewReader("x"))
	is.NoErr(err)
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set(refuser.HeaderService, "listings")
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, response.Header.Get(refuser.HeaderOutcome), string(text)
}

// invalid are messages that are no answers.
func invalid() map[string]string {
	const rest = "Content-Length: 2\r\n\r\nok"
	hidden := "Content-Length: 42\r\n\r\n" + hiddenAnswer
	return map[string]string{
		"000":                      "HTTP/1.1 000 Zero\r\n" + rest,
		"000 without a body":       "HTTP/1.1 000 Zero\r\nContent-Length: 0\r\n\r\n",
		"000 with an answer":       "HTTP/1.1 000 Zero\r\n" + hidden,
		"000 without a length":     "HTTP/1.1 000 Zero\r\n\r\n" + hiddenAnswer,
		"099":                      "HTTP/1.1 099 Low\r\n" + rest,
		"+20":                      "HTTP/1.1 +20 Sign\r\n" + rest,
		"-20":                      "HTTP/1.1 -20 Sign\r\n" + rest,
		"20":                       "HTTP/1.1 20 Short\r\n" + rest,
		"2000":                     "HTTP/1.1 2000 Long\r\n" + rest,
		"600":                      "HTTP/1.1 600 High\r\n" + rest,
		"999 without a body":       "HTTP/1.1 999 High\r\nContent-Length: 0\r\n\r\n",
		"100 with an answer":       "HTTP/1.1 100 Continue\r\n" + hidden,
		"103 with chunks":          "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n2a\r\n" + hiddenAnswer + "\r\n0\r\n\r\n",
		"101 that nobody asked":    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + hiddenAnswer,
		"101 without a protocol":   "HTTP/1.1 101 Switching Protocols\r\n\r\n" + hiddenAnswer,
		"204 with a body":          "HTTP/1.1 204 No Content\r\n" + rest,
		"204 with chunks":          "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"negative length":          "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
		"two lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\noka",
		"HTTP/2.0":                 "HTTP/2.0 200 OK\r\n" + rest,
		"interim heads and a zero": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 3) + "HTTP/1.1 000 Zero\r\n" + rest,
		"too many interim heads":   strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 3000) + hiddenAnswer,
		"no answer":                "rubbish rubbish rubbish\r\n\r\n",
	}
}

// Guards against messages that are no answer and are passed on, end the request's handler, or hold it until the deadline.
func TestMessagesThatAreNoAnswerAreBrokenAtOnce(t *testing.T) {
	for name, bytes := range invalid() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := startTargetOf(t, bytes)
			f := newTestInstance(t, target.address)
			for path, header := range map[string]http.Header{"/a": nil, "/rsvp": keyHeader(t), "/photos": nil} {
				status, outcome, body := f.sendWithin(t, atOnce, http.MethodPost, path, header)
				is.Equal(status, http.StatusBadGateway)
				is.Equal(outcome, string(refuser.Unknown))
				is.True(!strings.Contains(body, "fake"))
				select {
				case <-target.closed:
				case <-time.After(atOnce):
					t.Error("the connection stays open")
				}
			}
		})
	}
}

// Guards against callers that get no answer of a sound target, because another one sends messages that are no answers.
func TestRequestIsRepeatedAfterAMessageThatIsNoAnswer(t *testing.T) {
	for name, bytes := range invalid() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
			var served atomic.Int32
			faulty := startRawTarget(t, func(c net.Conn) {
				if served.Add(1) == 1 { // a request is repeated only if it has succeeded before
					_, _ = io.WriteString(c, answer)
					return
				}
				_, _ = io.WriteString(c, bytes)
			})
			f := newTestInstance(t, faulty.address, startTargetOf(t, answer).address)
			for served.Load() < 2 {
				status, _, body := f.sendWithin(t, atOnce, http.MethodGet, "/a", nil)
				is.Equal(status, http.StatusOK)
				is.Equal(body, "body")
			}
		})
	}
}

// Guards against answers that are discarded, because the check that discards others is too strict.
func TestSoundStatusesAreRelayed(t *testing.T) {
	const rest = "Content-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		bytes  string
		status int
		body   string
	}{
		"200":                   {"HTTP/1.1 200 OK\r\n" + rest, 200, "ok"},
		"HTTP/1.0":              {"HTTP/1.0 200 OK\r\n" + rest, 200, "ok"},
		"599":                   {"HTTP/1.1 599 Unnamed\r\n" + rest, 599, "ok"},
		"204":                   {"HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		"204 of length 0":       {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, ""},
		"304 with the length":   {"HTTP/1.1 304 Not Modified\r\nContent-Length: 42\r\n\r\n", 304, ""},
		"after interim heads":   {strings.Repeat("HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\n" + rest, 200, "ok"},
		"interim head, no body": {"HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200, "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestInstance(t, startTargetOf(t, c.bytes).address)
			status, _, body := f.sendWithin(t, atOnce, http.MethodPost, "/a", nil)
			is.Equal(status, c.status)
			is.Equal(body, c.body)
		})
	}
}
