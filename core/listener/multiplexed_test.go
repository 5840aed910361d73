package listener

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/stopper"
)

// sendMultiplexed sends a request over a connection of HTTP/2 that stays open, and returns the client.
func sendMultiplexed(t *testing.T, l *Listener) *http.Client {
	t.Helper()
	is := is.New(t)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	t.Cleanup(client.CloseIdleConnections)
	response, err := client.Get("http://" + l.Address.String())
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.ProtoMajor, 2)
	return client
}

// Guards against a planned stop that waits for connections of HTTP/2 without a request, while others in its process wait for
// it, and that counts them as cut if it has less time than the server takes to close them, a second.
func TestUnusedMultiplexedConnectionsDoNotDelayStop(t *testing.T) {
	is := is.New(t)
	l := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	sendMultiplexed(t, l)
	began := time.Now()
	const most = 5 * unusedGrace
	ctx, cancel := stopper.NewContext(t.Context(), stopper.Stopper{Timeout: most}.From(began))
	defer cancel()
	is.NoErr(l.Stop(ctx))
	is.True(time.Since(began) < most)
}

// Guards against a planned stop that ends a connection of HTTP/2 under its last requests, or under their answers.
func TestStopAnswersMultiplexedRequests(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	begun := make(chan bool, 1)
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			begun <- true
			time.Sleep(3 * unusedGrace)
		}
		_, _ = w.Write(make([]byte, size))
	})
	client := sendMultiplexed(t, l)
	received := make(chan int, 1)
	go func() {
		response, err := client.Get("http://" + l.Address.String() + "/late")
		if err != nil {
			received <- 0
			return
		}
		defer func() { _ = response.Body.Close() }()
		time.Sleep(2 * unusedGrace) // most of the answer waits meanwhile
		body, _ := io.ReadAll(response.Body)
		received <- len(body)
	}()
	<-begun
	is.NoErr(stop(l))
	is.Equal(<-received, size)
}

// Guards against a planned stop that reports requests as cut, though all have been answered and their connections of HTTP/2
// closed: the server looks ever more rarely whether that is so.
func TestStopEndsSoonAfterTheLastMultiplexedRequest(t *testing.T) {
	is := is.New(t)
	const work = 550 * time.Millisecond
	begun := make(chan bool, 1)
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/late" {
			begun <- true
			time.Sleep(work)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	client := sendMultiplexed(t, l)
	answered := make(chan error, 1)
	go func() {
		response, err := client.Get("http://" + l.Address.String() + "/late")
		if err == nil {
			_ = response.Body.Close()
		}
		answered <- err
	}()
	<-begun
	began := time.Now()
	ctx, cancel := stopper.NewContext(t.Context(), stopper.Stopper{Timeout: work + 3*unusedGrace}.From(began))
	defer cancel()
	is.NoErr(l.Stop(ctx))
	is.NoErr(<-answered)
	is.True(time.Since(began) < work+2*unusedGrace)
}
