package dialer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"chervilrail.example/core/wire"
	"chervilrail.example/core/wire/wireconnect"
)

// startFlood starts a server that answers each call with bytes without end: as many as this test can hold. It counts them.
func startFlood(t *testing.T, status int, header http.Header) (*httptest.Server, *atomic.Int64) {
	t.Helper()
	const most = 4 * MaxResponse
	var sent atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		for b := make([]byte, 1<<20); sent.Load() < most; {
			n, err := w.Write(b)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	s.Config.Protocols = &http.Protocols{}
	s.Config.Protocols.SetHTTP1(true)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)
	return s, &sent
}

// Guards against processes that are killed for their memory by one that is at the address of another and answers with bytes
// without end.
func TestEndlessResponseIsGivenUp(t *testing.T) {
	proto := http.Header{"Content-Type": {"application/proto"}}
	for name, c := range map[string]struct {
		status int
		header http.Header
	}{
		"response":      {http.StatusOK, proto},
		"error":         {http.StatusServiceUnavailable, http.Header{"Content-Type": {"application/json"}}},
		"no message":    {http.StatusOK, http.Header{"Content-Type": {"text/plain"}}},
		"refused":       {http.StatusNotFound, http.Header{"Content-Type": {"text/plain"}}},
		"unknown codec": {http.StatusOK, http.Header{"Content-Type": {"application/proto"}, "Content-Encoding": {"br"}}},
	} {
		for kind, d := range map[string]*Dialer{"http1": {HTTP1Only: true}, "http2": {}} {
			t.Run(name+" "+kind, func(t *testing.T) {
				is := is.New(t)
				server, sent := startFlood(t, c.status, c.header)
				client, err := d.Client()
				is.NoErr(err)
				defer client.CloseIdleConnections()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				address := netip.MustParseAddrPort(server.Listener.Addr().String())
				caller := wireconnect.NewExchangeClient(client, d.URL(address))
				_, err = caller.Watch(ctx, connect.NewRequest(&wire.WatchRequest{}))
				is.True(err != nil)
				is.NoErr(ctx.Err())
				is.True(sent.Load() < 2*MaxResponse)
			})
		}
	}
}

// Guards against large responses that are refused, because the bound is too strict or counts more than one response.
func TestLargeResponsesAreRead(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, MaxResponse/2))
	}))
	defer server.Close()
	client, err := (&Dialer{HTTP1Only: true}).Client()
	is.NoErr(err)
	defer client.CloseIdleConnections()
	for range 3 {
		response, err := client.Get(server.URL)
		is.NoErr(err)
		n, err := io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.Equal(n, int64(MaxResponse/2))
		is.NoErr(response.Body.Close())
	}
}
