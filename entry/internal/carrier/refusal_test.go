package carrier

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/listener"
	"chervilrail.example/core/pipeliner"
	"chervilrail.example/core/wire"
)

const (
	// lostTime is how long packets to a caller are lost: longer than the server's own wait after a refusal, half a second.
	lostTime = time.Second
	// refusalTimeout is how long a caller waits for an answer. The kernel sends lost bytes again after 1.4 s at the latest.
	refusalTimeout = 3 * time.Second
	// pauseTimeout is how long a caller waits for a refusal while it sends nothing. A request is timed out after 0.3 s.
	pauseTimeout = time.Second
	// bodyLimit is the largest body of a request in bytes, or of all together, in these tests.
	bodyLimit = 20_000
	// uploadLength is the length of a body, of which its caller sends uploadPart before an answer can come.
	uploadLength = 600_000
	uploadPart   = 50_000
)

// listen serves a carrier as the program does, and returns its address.
func listen(t *testing.T, c *Carrier) string {
	t.Helper()
	is := is.New(t)
	address, err := pipeliner.FreeAddress()
	is.NoErr(err)
	l := &listener.Listener{ServiceName: "caller", Address: address, Handler: c, Logger: log.NewNopLogger()}
	is.NoErr(l.Start(t.Context(), nil))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
		defer cancel()
		_ = l.Stop(ctx)
	})
	return address.String()
}

// dial opens a connection that is closed when the test ends.
func dial(t *testing.T, address string) *pipeliner.Conn {
	t.Helper()
	c, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// assertRefusal fails unless the next answer on a connection is a whole refusal, with a Retry-After if later is set.
func assertRefusal(t *testing.T, c *pipeliner.Conn, status int, later bool) {
	t.Helper()
	is := is.New(t)
	answer, err := c.Receive()
	is.NoErr(err)
	is.Equal(answer.Status, status)
	is.True(len(answer.Body) > 0)
	is.Equal(answer.Header.Get("Retry-After") != "", later)
}

// refusals are the reasons for which a request is refused before its body was read.
var refusals = []struct {
	name    string
	status  int
	later   bool
	path    string
	prepare func(c *Carrier)
}{
	{"too large", http.StatusRequestEntityTooLarge, false, "/once/x", func(c *Carrier) {
		c.Views.View().Table.Plan.Limits = &wire.CallerLimits{Body: bodyLimit}
	}},
	{"no memory", http.StatusServiceUnavailable, true, "/once/x", func(c *Carrier) { c.Bodies.Limit = bodyLimit }},
	{"too slow", http.StatusRequestTimeout, true, "/once/x", func(*Carrier) {}},
	{"no route", http.StatusNotFound, false, "/none/x", func(*Carrier) {}},
	{"no plan", http.StatusServiceUnavailable, true, "/once/x", func(c *Carrier) { c.Views = &fakeViews{} }},
}

// Guards against uploads that are refused and whose callers never learn it, nor when to come back: they go on sending, and
// the close of the connection discards the refusal, which is still on its way.
func TestRefusalOfAnUploadIsDelivered(t *testing.T) {
	for _, r := range refusals {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			c, s := startCarrier(t, signedAnswer(http.StatusOK))
			r.prepare(c)
			conn := dial(t, listen(t, c))
			is.NoErr(conn.Drop(true))
			is.NoErr(conn.Post(r.path, "X-Chervilrail-Attempt-Id: a\r\n", uploadLength, make([]byte, uploadPart)))
			time.Sleep(lostTime)
			is.NoErr(conn.Drop(false))
			go func() { _, _ = conn.Write(make([]byte, uploadLength-uploadPart)) }() // an error shows in the answer
			is.NoErr(conn.SetReadDeadline(time.Now().Add(refusalTimeout)))
			assertRefusal(t, conn, r.status, r.later)
			is.Equal(len(s.sent), 0)
		})
	}
}

// Guards against refusals that wait until their caller sends the rest of a body that nobody needs: one that pauses never
// learns that it was refused, and one that is too slow keeps its connection for good.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	for _, r := range refusals {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			c, _ := startCarrier(t, signedAnswer(http.StatusOK))
			r.prepare(c)
			conn := dial(t, listen(t, c))
			is.NoErr(conn.Post(r.path, "X-Chervilrail-Attempt-Id: a\r\n", 2*uploadPart, make([]byte, uploadPart)))
			is.NoErr(conn.SetReadDeadline(time.Now().Add(pauseTimeout)))
			assertRefusal(t, conn, r.status, r.later)
		})
	}
}

// Guards against an answer that is discarded with the connection on which a refused upload follows.
func TestAnswerBeforeARefusedUploadIsDelivered(t *testing.T) {
	is := is.New(t)
	c, s := startCarrier(t, signedAnswer(http.StatusOK))
	c.Views.View().Table.Plan.Limits = &wire.CallerLimits{Body: bodyLimit}
	conn := dial(t, listen(t, c))
	is.NoErr(conn.Drop(true))
	is.NoErr(conn.Get("/safe/x", "X-Chervilrail-Attempt-Id: a\r\n"))
	is.NoErr(conn.Post("/once/x", "X-Chervilrail-Attempt-Id: b\r\n", uploadLength, make([]byte, uploadPart)))
	time.Sleep(lostTime)
	is.NoErr(conn.Drop(false))
	go func() { _, _ = conn.Write(make([]byte, uploadLength-uploadPart)) }() // an error shows in the answer
	is.NoErr(conn.SetReadDeadline(time.Now().Add(refusalTimeout)))
	answer, err := conn.Receive()
	is.NoErr(err)
	is.True(bytes.Equal(answer.Body, []byte("body")))
	assertRefusal(t, conn, http.StatusRequestEntityTooLarge, false)
	is.Equal(len(s.sent), 1)
}
