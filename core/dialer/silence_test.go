package dialer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/pipeliner"
)

// connections holds the connections that a test server has accepted.
type connections struct {
	mu   sync.Mutex
	list []net.Conn
}

// silence drops all that arrives on the connections accepted up to now, and returns their number.
func (c *connections) silence(t *testing.T) int {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, accepted := range c.list {
		is.New(t).NoErr(pipeliner.DropPackets(accepted, true))
	}
	return len(c.list)
}

// startServer starts a server for HTTP/1.1 and HTTP/2 that answers every call at once.
func startServer(t *testing.T) (*httptest.Server, *connections) {
	t.Helper()
	c := &connections{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.Protocols = &http.Protocols{}
	s.Config.Protocols.SetHTTP1(true)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Config.ConnState = func(accepted net.Conn, state http.ConnState) {
		if state != http.StateNew {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.list = append(c.list, accepted)
	}
	s.Start()
	t.Cleanup(s.Close)
	return s, c
}

// call makes one call and returns how long it took.
func call(t *testing.T, client *http.Client, url string, timeout time.Duration) (time.Duration, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	is.New(t).NoErr(err)
	began := time.Now()
	response, err := client.Do(r)
	if err == nil {
		is.New(t).NoErr(response.Body.Close())
	}
	return time.Since(began), err
}

// Guards against calls that wait in vain on connections kept from earlier calls, one after the other, because these have
// gone silent since.
func TestSilentIdleConnectionIsNotUsed(t *testing.T) {
	for name, d := range map[string]*Dialer{"http1": {HTTP1Only: true}, "http2": {}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, accepted := startServer(t)
			client, err := d.Client()
			is.NoErr(err)
			defer client.CloseIdleConnections()
			_, err = call(t, client, server.URL, time.Second)
			is.NoErr(err)
			is.Equal(accepted.silence(t), 1)
			time.Sleep(SilenceTimeout + 100*time.Millisecond)
			took, err := call(t, client, server.URL, time.Second)
			is.NoErr(err)
			is.True(took < SilenceTimeout/2)
		})
	}
}

// Guards against calls that share a connection which has gone silent, and all wait for their own deadlines.
func TestCallsOnASilentSharedConnectionFailTogether(t *testing.T) {
	is := is.New(t)
	server, accepted := startServer(t)
	client, err := (&Dialer{}).Client()
	is.NoErr(err)
	defer client.CloseIdleConnections()
	_, err = call(t, client, server.URL, time.Second)
	is.NoErr(err)
	is.Equal(accepted.silence(t), 1)
	took, err := call(t, client, server.URL, 10*time.Second)
	is.True(err != nil || took >= SilenceTimeout/2) // a call that has not run may have been sent again
	is.True(took < SilenceTimeout+300*time.Millisecond)
}
