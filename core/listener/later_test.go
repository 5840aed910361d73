package listener

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/core/closer"
	"chervilrail.example/core/prober"
)

// Guards against a planned stop that reads and drops a request which was sent later than the last answer was, since the
// request before it had a body, though all of that had been read.
func TestRequestsBehindTheLastAnswerToABodyAreNotRead(t *testing.T) {
	for _, length := range []int{0, 4} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			is := is.New(t)
			conns := make(chan *closer.Conn, 1)
			l := start(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				accepted, _ := connection(r.Context()).(*closer.Conn)
				conns <- accepted
			})
			l.Leave()
			c := dial(t, l)
			is.NoErr(c.Post("/0", "", length, make([]byte, length)))
			assertTurn(t, c, "", true)
			is.NoErr(c.Get("/1", ""))
			time.Sleep(unusedGrace / 2) // it has arrived
			unread, open := prober.Unread((<-conns).TCPConn)
			is.True(open)
			is.True(unread > 0)
			_ = c.Close()
			is.NoErr(stop(l))
		})
	}
}

// Guards against a request that goes on at its target though a planned stop has cut its connection, since its caller had
// sent another one behind it: the handler waits for what ends later and leaves no time to deliver the last answers.
func TestCutEndsRequestsWithOthersBehind(t *testing.T) {
	for _, requests := range []int{1, 2} {
		t.Run(strconv.Itoa(requests), func(t *testing.T) {
			is := is.New(t)
			begun, ended := make(chan bool, requests), make(chan bool, requests)
			l := start(t, func(_ http.ResponseWriter, r *http.Request) {
				begun <- true
				select {
				case <-r.Context().Done():
					ended <- true
				case <-t.Context().Done():
				}
			})
			c := dial(t, l)
			for i := range requests {
				is.NoErr(c.Get("/"+strconv.Itoa(i), ""))
			}
			<-begun
			time.Sleep(unusedGrace / 2) // the others have arrived
			is.True(stop(l) != nil)
			select {
			case <-ended:
			case <-time.After(unusedGrace):
				t.Fatal("it goes on after the cut")
			}
		})
	}
}
