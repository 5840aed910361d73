package pipeliner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// dial opens a connection to a server that answers with its path, repeated.
func dial(t *testing.T, p *Pipeliner) *Conn {
	t.Helper()
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat(r.URL.Path, 10_000)))
	}))
	t.Cleanup(server.Close)
	c, err := p.Dial(t.Context(), server.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	return c
}

func TestAnswersComeInTheOrderOfRequests(t *testing.T) {
	is := is.New(t)
	c := dial(t, &Pipeliner{ReceiveBuffer: 2 << 10, Pause: time.Millisecond})
	paths := []string{"/a", "/b", "/c"}
	for _, path := range paths {
		is.NoErr(c.Get(path, ""))
	}
	for _, path := range paths {
		answer, err := c.Receive()
		is.NoErr(err)
		is.Equal(answer.Status, http.StatusOK)
		is.Equal(string(answer.Body), strings.Repeat(path, 10_000))
		is.True(!answer.Last)
	}
}

// Guards against tests of lost packets that pass since nothing was lost.
func TestDroppedPacketsArriveLater(t *testing.T) {
	is := is.New(t)
	c := dial(t, &Pipeliner{})
	is.NoErr(c.Drop(true))
	is.NoErr(c.Get("/a", ""))
	is.NoErr(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err := c.Receive()
	is.True(err != nil)
	is.NoErr(c.Drop(false))
	is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
	answer, err := c.Receive()
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusOK)
}
