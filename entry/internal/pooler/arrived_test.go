package pooler

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an answer that is discarded though it had arrived before its attempt ended, as the process was too busy to
// read it.
func TestAnswerThatHasArrivedWhenAnAttemptEndsIsDelivered(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	target := startTarget(t, func(c net.Conn, _ int) {
		write(c, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(20 * time.Millisecond) // so that it is not read together with the first
		write(c, completeAnswer)
		close(arrived)
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	r := request("hello")
	r.Matches = func(h http.Header) bool {
		if h.Get("Id") == "mine" {
			return true
		}
		<-arrived
		cancel()
		time.Sleep(time.Millisecond) // until the attempt has learnt of it
		return false
	}
	answer, outcome, err := (&Pooler{}).Send(ctx, target.address, r)
	is.NoErr(err)
	is.Equal(outcome, Answered)
	is.Equal(string(answer.Body), "body")
}
