package carrier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startUpload sends the head of a request with a stated length and the first bytes of its body.
func startUpload(t *testing.T, address, method string, length, sent int) net.Conn {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "%s /once/x HTTP/1.1\r\nHost: h.example\r\nX-Chervilrail-Attempt-Id: a\r\n"+
		"Content-Length: %d\r\n\r\n%s", method, length, strings.Repeat("x", sent))
	is.NoErr(err)
	return conn
}

// assertRefused fails unless the answer on a connection has a status and says when to come back, within some time.
func assertRefused(t *testing.T, conn net.Conn, status int, within time.Duration) {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(within)))
	answer, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 "+strconv.Itoa(status)))
	is.True(strings.Contains(string(answer), "Retry-After: "))
}

// Guards against uploads that stop midway and keep their memory from all others for good, past the request's time.
func TestUploadEndsAtItsDeadline(t *testing.T) {
	is := is.New(t)
	c, s := startCarrier(t, signedAnswer(http.StatusOK))
	c.Bodies.Limit = 1 << 20
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	conn := startUpload(t, server.Listener.Addr().String(), http.MethodPost, 500_000, 200_000)
	assertRefused(t, conn, http.StatusRequestTimeout, time.Second) // the route's time is 300 ms
	is.Equal(len(s.sent), 0)
	is.Equal(c.Bodies.Used(), int64(0))
}

// Guards against an upload that is held until its time is over, although it is known that there is no room for it.
func TestUploadWithoutRoomIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	c, s := startCarrier(t, signedAnswer(http.StatusOK))
	c.Bodies.Limit = 100_000
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	conn := startUpload(t, server.Listener.Addr().String(), http.MethodPost, 500_000, 200_000)
	began := time.Now()
	assertRefused(t, conn, http.StatusServiceUnavailable, 2*time.Second)
	is.True(time.Since(began) < 200*time.Millisecond)
	is.Equal(len(s.sent), 0)
	is.Equal(c.Bodies.Used(), int64(0))
}
