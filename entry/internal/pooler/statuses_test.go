package pooler

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// statusDeadline is the deadline of a request in these tests, and atOnce how long an attempt may take that does not wait
	// for it.
	statusDeadline = 3 * time.Second
	atOnce         = time.Second
)

// hiddenAnswer is the text of an answer in the body of another message.
const hiddenAnswer = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nfake"

// sendTo sends a request to a target that answers with bytes and leaves the connection open.
func sendTo(t *testing.T, bytes string) (*Answer, Outcome, time.Duration, *Pooler) {
	t.Helper()
	closed := make(chan struct{})
	target := startTarget(t, func(c net.Conn, _ int) {
		write(c, bytes)
		_, _ = c.Read(make([]byte, 1)) // returns when the instance closes the connection
		close(closed)
	})
	p := &Pooler{}
	t.Cleanup(p.Close)
	ctx, cancel := context.WithTimeout(t.Context(), statusDeadline)
	defer cancel()
	began := time.Now()
	answer, outcome, _ := p.Send(ctx, target.address, request("x"))
	took := time.Since(began)
	if outcome == Broken {
		select {
		case <-closed:
		case <-time.After(atOnce):
			t.Error("the connection stays open")
		}
	}
	return answer, outcome, took, p
}

// Guards against bytes that are no answer and hold the connection and the target's slot until the deadline, or whose body
// is delivered as the answer.
func TestMessagesThatAreNoAnswerAreBrokenAtOnce(t *testing.T) {
	const rest = "Id: mine\r\nContent-Length: 2\r\n\r\nok"
	hidden := "Id: mine\r\nContent-Length: 52\r\n\r\n" + hiddenAnswer
	for name, bytes := range map[string]string{
		"000":                      "HTTP/1.1 000 Zero\r\n" + rest,
		"000 without a body":       "HTTP/1.1 000 Zero\r\nId: mine\r\nContent-Length: 0\r\n\r\n",
		"000 with an answer":       "HTTP/1.1 000 Zero\r\n" + hidden,
		"000 without a length":     "HTTP/1.1 000 Zero\r\nId: mine\r\n\r\n" + hiddenAnswer,
		"001":                      "HTTP/1.1 001 One\r\n" + rest,
		"099":                      "HTTP/1.1 099 Low\r\n" + rest,
		"+20":                      "HTTP/1.1 +20 Sign\r\n" + rest,
		"-20":                      "HTTP/1.1 -20 Sign\r\n" + rest,
		"20":                       "HTTP/1.1 20 Short\r\n" + rest,
		"2000":                     "HTTP/1.1 2000 Long\r\n" + rest,
		"2e2":                      "HTTP/1.1 2e2 Number\r\n" + rest,
		"no status":                "HTTP/1.1 \r\n" + rest,
		"600":                      "HTTP/1.1 600 High\r\n" + rest,
		"999":                      "HTTP/1.1 999 High\r\n" + rest,
		"100 with an answer":       "HTTP/1.1 100 Continue\r\n" + hidden,
		"103 with chunks":          "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + hiddenAnswer,
		"101 that nobody asked":    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + hiddenAnswer,
		"101 without a protocol":   "HTTP/1.1 101 Switching Protocols\r\n\r\n" + hiddenAnswer,
		"204 with a body":          "HTTP/1.1 204 No Content\r\n" + rest,
		"204 with chunks":          "HTTP/1.1 204 No Content\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"negative length":          "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: -2\r\n\r\nok",
		"two lengths":              "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\noka",
		"HTTP/2.0":                 "HTTP/2.0 200 OK\r\n" + rest,
		"HTTP/0.9":                 "HTTP/0.9 200 OK\r\n" + rest,
		"interim heads and a zero": strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 3) + "HTTP/1.1 000 Zero\r\n" + rest,
		"too many interim heads":   strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 3000) + hiddenAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, outcome, took, p := sendTo(t, bytes)
			is.Equal(outcome, Broken)
			is.True(took < atOnce)
			is.Equal(len(p.idle), 0)
		})
	}
}

// Guards against answers that are discarded, because the check that discards others is too strict.
func TestSoundStatusesAreAnswers(t *testing.T) {
	const rest = "Id: mine\r\nContent-Length: 2\r\n\r\nok"
	for name, c := range map[string]struct {
		bytes  string
		status int
		body   string
	}{
		"200":                     {"HTTP/1.1 200 OK\r\n" + rest, 200, "ok"},
		"two spaces":              {"HTTP/1.1  200 OK\r\n" + rest, 200, "ok"},
		"no reason":               {"HTTP/1.1 200\r\n" + rest, 200, "ok"},
		"HTTP/1.0":                {"HTTP/1.0 200 OK\r\n" + rest, 200, "ok"},
		"299":                     {"HTTP/1.1 299 Unnamed\r\n" + rest, 299, "ok"},
		"599":                     {"HTTP/1.1 599 Unnamed\r\n" + rest, 599, "ok"},
		"204":                     {"HTTP/1.1 204 No Content\r\nId: mine\r\n\r\n", 204, ""},
		"204 of length 0":         {"HTTP/1.1 204 No Content\r\nId: mine\r\nContent-Length: 0\r\n\r\n", 204, ""},
		"304 with the length":     {"HTTP/1.1 304 Not Modified\r\nId: mine\r\nContent-Length: 52\r\n\r\n", 304, ""},
		"after an interim head":   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200, "ok"},
		"after interim heads":     {strings.Repeat("HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\n" + rest, 200, "ok"},
		"interim head, length 0":  {"HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200, "ok"},
		"interim without a name":  {"HTTP/1.1 199 Unnamed\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, 200, "ok"},
		"205 without a body":      {"HTTP/1.1 205 Reset Content\r\nId: mine\r\nContent-Length: 0\r\n\r\n", 205, ""},
		"body with other answers": {"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 52\r\n\r\n" + hiddenAnswer, 200, hiddenAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer, outcome, took, _ := sendTo(t, c.bytes)
			is.Equal(outcome, Answered)
			is.True(took < atOnce)
			is.Equal(answer.Status, c.status)
			is.Equal(string(answer.Body), c.body)
		})
	}
}

// Guards against a body where none may be, whose bytes arrive after the answer and are taken for the next one.
func TestConnectionIsNotReusedAfterABodyWhereNoneMayBe(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(c net.Conn, _ int) {
		write(c, "HTTP/1.1 304 Not Modified\r\nId: mine\r\nContent-Length: 4\r\n\r\n")
	})
	p := &Pooler{}
	defer p.Close()
	for range 2 {
		_, outcome := send(t, p, target)
		is.Equal(outcome, Answered)
	}
	is.Equal(target.accepted.Load(), int32(2))
}
