package forwarder

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/listener"
	"chervilrail.example/core/pipeliner"
	"chervilrail.example/entry/internal/refuser"
)

const (
	// lostTime is how long packets to a caller are lost: longer than the server's own wait after a refusal, half a second.
	lostTime = time.Second
	// refusalTimeout is how long a caller waits for an answer. The kernel sends lost bytes again after 1.4 s at the latest.
	refusalTimeout = 3 * time.Second
	// pauseTimeout is how long a caller waits for a refusal while it sends nothing.
	pauseTimeout = time.Second
	// uploadPart is how many bytes of a body are sent before an answer can come, onceLength the length of one that must not
	// repeat, and tooLong a length above all limits.
	uploadPart = 50_000
	onceLength = 900_000
	tooLong    = 200_000_000
)

// refusals are the requests that are refused before their body was read.
var refusals = []struct {
	name, path, header string
	length, status     int
}{
	{"too large", "/photos", "", tooLong, http.StatusRequestEntityTooLarge},
	{"no memory", "/rsvp", headerKey + ": 01890a5d-ac96-774b-bcce-b302099a8057\r\n", onceLength, http.StatusServiceUnavailable},
	{"no key", "/rsvp", "", onceLength, http.StatusBadRequest},
	{"no key, small", "/rsvp", "", 2 * uploadPart, http.StatusBadRequest},
}

// dialInstance serves an instance as the program does, and opens a connection to it.
func dialInstance(t *testing.T) *pipeliner.Conn {
	t.Helper()
	is := is.New(t)
	f := newTestInstance(t)
	f.forwarder.Bodies.Limit = uploadPart / 2
	address, err := pipeliner.FreeAddress()
	is.NoErr(err)
	l := &listener.Listener{ServiceName: "caller", Address: address, Handler: f.forwarder, Logger: log.NewNopLogger()}
	is.NoErr(l.Start(t.Context(), nil))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
		defer cancel()
		_ = l.Stop(ctx)
	})
	c, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), address.String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// assertRefusal fails unless the next answer is a whole refusal that says that the request did not run, within some time.
func assertRefusal(t *testing.T, c *pipeliner.Conn, status int, within time.Duration) {
	t.Helper()
	is := is.New(t)
	is.NoErr(c.SetReadDeadline(time.Now().Add(within)))
	answer, err := c.Receive()
	is.NoErr(err)
	is.Equal(answer.Status, status)
	is.Equal(answer.Header.Get(refuser.HeaderOutcome), string(refuser.NotRun))
	is.Equal(answer.Header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
}

// Guards against uploads that are refused and whose callers never learn that they did not run: the close of the connection
// discards the refusal, which is still on its way.
func TestRefusalOfAnUploadIsDelivered(t *testing.T) {
	for _, r := range refusals {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			c := dialInstance(t)
			is.NoErr(c.Drop(true))
			is.NoErr(c.Post(r.path, refuser.HeaderService+": listings\r\n"+r.header, r.length, make([]byte, uploadPart)))
			time.Sleep(lostTime)
			is.NoErr(c.Drop(false))
			go func() { _, _ = c.Write(make([]byte, min(r.length, onceLength)-uploadPart)) }() // an error shows in the answer
			assertRefusal(t, c, r.status, refusalTimeout)
		})
	}
}

// Guards against refusals that wait until their caller sends the rest of a body that nobody needs.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	for _, r := range refusals {
		t.Run(r.name, func(t *testing.T) {
			c := dialInstance(t)
			is.New(t).NoErr(c.Post(r.path, refuser.HeaderService+": listings\r\n"+r.header, r.length, make([]byte, uploadPart)))
			assertRefusal(t, c, r.status, pauseTimeout)
		})
	}
}
