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
