package carrier

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/listener"
	"chervilrail.example/core/pipeliner"
	"chervilrail.example/core/prober"
)

// Guards against requests that get no answer, though they arrived whole before their instance began to leave: they are
// behind an upload that it refuses.
func TestRequestsBehindARefusedUploadAreAnswered(t *testing.T) {
	for _, size := range []int{1_200, 70_000, 100_000} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			is := is.New(t)
			c, _ := startCarrier(t, scriptedAttempt{hang: true})
			address, err := pipeliner.FreeAddress()
			is.NoErr(err)
			l := &listener.Listener{ServiceName: "caller", Address: address, Handler: c, Logger: log.NewNopLogger()}
			is.NoErr(l.Start(t.Context(), nil))
			conn := dial(t, address.String())
			is.NoErr(conn.Get("/once/a", "X-Chervilrail-Attempt-Id: a\r\n"))
			is.NoErr(conn.Post("/once/b", "X-Chervilrail-Attempt-Id: b\r\n", size, make([]byte, size)))
			is.NoErr(conn.Get("/once/c", "X-Chervilrail-Attempt-Id: c\r\n"))
			time.Sleep(promptly / 2)
			left, known := prober.Unacknowledged(conn.Conn)
			is.True(known && left == 0) // everything has arrived
			l.Leave()
			c.Leave(stopIn(promptly))
			is.NoErr(conn.SetReadDeadline(time.Now().Add(refusalTimeout)))
			assertRefusal(t, conn, http.StatusGatewayTimeout, false)
			assertRefusal(t, conn, http.StatusServiceUnavailable, true)
			assertRefusal(t, conn, http.StatusServiceUnavailable, true)
		})
	}
}
