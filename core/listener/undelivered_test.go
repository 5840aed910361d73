package listener

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/pipeliner"
	"chervilrail.example/core/securer"
)

const (
	// lostTime is how long packets to a caller are lost: longer than the server's own wait after a refusal, half a second.
	lostTime = 700 * time.Millisecond
	// answerTimeout is how long a caller waits for an answer. The kernel sends lost bytes again after 1.4 s at the latest.
	answerTimeout = 5 * time.Second
	// largeAnswer is the size in bytes of an answer that a small receive buffer does not hold.
	largeAnswer = 60 << 10
	// readPause is the pause of a slow reader before the body of an answer.
	readPause = lostTime
)

// writeLarge is a handler with a large answer.
func writeLarge(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, largeAnswer)) }

// dialSlow opens a connection that reads slowly through a small buffer.
func dialSlow(t *testing.T, l *Listener) *pipeliner.Conn {
	t.Helper()
	is := is.New(t)
	c, err := (&pipeliner.Pipeliner{ReceiveBuffer: 2 << 10, Pause: readPause}).Dial(t.Context(), l.Address.String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetReadDeadline(time.Now().Add(answerTimeout)))
	return c
}

// assertAnswer fails unless the next answer is received completely, with a status and a number of bytes.
func assertAnswer(t *testing.T, c *pipeliner.Conn, status, size int) {
	t.Helper()
	is := is.New(t)
	answer, err := c.Receive()
	is.NoErr(err)
	is.Equal(answer.Status, status)
	is.Equal(len(answer.Body), size)
}

// Guards against an answer that is discarded because its caller sends something behind it that can't be read: the server
// refuses that at once, closes the connection, and unread bytes make the kernel reset it.
func TestAnswerBeforeAnUnreadableRequestIsDelivered(t *testing.T) {
	cases := map[string]string{
		"malformed":                "GET\r\n\r\n",
		"unsupported encoding":     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: br\r\n\r\n",
		"header that is too large": "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*MaxHeader) + "\r\n\r\n",
	}
	for name, behind := range cases {
		t.Run(name, func(t *testing.T) {
			l := start(t, writeLarge)
			defer func() { _ = stop(l) }()
			c := dialSlow(t, l)
			is.New(t).NoErr(c.Get("/", ""))
			_, err := io.WriteString(c, behind+strings.Repeat(" ", 8<<10))
			is.New(t).NoErr(err)
			assertAnswer(t, c, http.StatusOK, largeAnswer)
		})
	}
}

// Guards against whole answers that are discarded because a later one on the connection breaks off, as when its target dies:
// the handler aborts it, and the server closes the connection on which more requests have arrived.
func TestAnswerBeforeAnAbortedOneIsDelivered(t *testing.T) {
	is := is.New(t)
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/aborted" {
			panic(http.ErrAbortHandler)
		}
		writeLarge(w, r)
	})
	defer func() { _ = stop(l) }()
	c := dialSlow(t, l)
	is.NoErr(c.Get("/", ""))
	is.NoErr(c.Get("/aborted", ""))
	is.NoErr(c.Get("/", "X: "+strings.Repeat("x", 8<<10)+"\r\n"))
	assertAnswer(t, c, http.StatusOK, largeAnswer)
	answer, err := c.Receive()
	is.True(err != nil && answer == nil)
}

// Guards against callers that never learn that their header is too large, and repeat the request.
func TestRefusalOfALargeHeaderIsDelivered(t *testing.T) {
	is := is.New(t)
	l := start(t, writeLarge)
	defer func() { _ = stop(l) }()
	c := dialSlow(t, l)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", MaxHeader-1<<10))
	is.NoErr(err)
	time.Sleep(unusedGrace) // the server has read it
	is.NoErr(c.Drop(true))
	_, err = io.WriteString(c, strings.Repeat("x", 32<<10))
	is.NoErr(err)
	time.Sleep(lostTime)
	is.NoErr(c.Drop(false))
	answer, err := c.Receive()
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against an answer that is discarded because its connection is closed as idle while the answer is still on its way,
// and the next request crosses that close.
func TestAnswerBeforeAnIdleCloseIsDelivered(t *testing.T) {
	is := is.New(t)
	l := &Listener{ServiceName: "test", Address: freeAddress(t), Logger: log.NewNopLogger()}
	l.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.server.IdleTimeout = readPause / 6 // read by this goroutine only, as there is one connection
		writeLarge(w, r)
	})
	is.NoErr(l.Start(t.Context(), nil))
	defer func() { _ = stop(l) }()
	c := dialSlow(t, l)
	is.NoErr(c.Get("/", ""))
	time.AfterFunc(readPause/3, func() { _ = c.Get("/", "") })
	assertAnswer(t, c, http.StatusOK, largeAnswer)
}

// stopDuring stops a listener while the handler of a request runs, and returns when the listener has stopped. A handler
// sends to begun and then waits for release.
func stopDuring(t *testing.T, l *Listener, begun <-chan bool, release chan<- bool) <-chan error {
	t.Helper()
	<-begun
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		stopped <- l.Stop(ctx)
	}()
	time.Sleep(unusedGrace / 2)
	release <- true
	return stopped
}

// startHeld starts a listener whose handler tells that it has begun and waits before its large answer.
func startHeld(t *testing.T, prepare func(l *Listener)) (l *Listener, begun, release chan bool) {
	t.Helper()
	begun, release = make(chan bool, 1), make(chan bool)
	l = &Listener{ServiceName: "test", Address: freeAddress(t), Logger: log.NewNopLogger()}
	l.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun <- true
		<-release
		writeLarge(w, r)
	})
	prepare(l)
	is.New(t).NoErr(l.Start(t.Context(), nil))
	return l, begun, release
}

// writeKeys writes the certificate of package httptest and its key to files.
func writeKeys(t *testing.T) *securer.Keys {
	t.Helper()
	is := is.New(t)
	server := httptest.NewTLSServer(http.NotFoundHandler())
	server.Close()
	certificate := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	is.NoErr(err)
	files := securer.Files{Certificate: filepath.Join(t.TempDir(), "c.pem"), Key: filepath.Join(t.TempDir(), "k.pem")}
	encoded := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate.Certificate[0]})
	is.NoErr(os.WriteFile(files.Certificate, encoded, 0o600))
	is.NoErr(os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}), 0o600))
	return &securer.Keys{Files: files}
}

// Guards against answers over TLS that a planned stop discards since further requests have arrived.
func TestStopDeliversAnswersOverTLS(t *testing.T) {
	is := is.New(t)
	keys := writeKeys(t)
	l, begun, release := startHeld(t, func(l *Listener) { l.Keys = keys })
	raw := dialSlow(t, l)
	encrypted := tls.Client(raw.Conn, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // any certificate will do
	is.NoErr(encrypted.Handshake())
	c := (&pipeliner.Pipeliner{Pause: readPause}).Wrap(encrypted)
	is.NoErr(c.Get("/", ""))
	is.NoErr(c.Get("/", "X: "+strings.Repeat("x", 8<<10)+"\r\n"))
	stopped := stopDuring(t, l, begun, release)
	assertAnswer(t, c, http.StatusOK, largeAnswer)
	_ = c.Close()
	is.NoErr(<-stopped)
}

// slowRead is the pause of a slowConn before each read: a large answer takes longer than the second that the server leaves
// an HTTP/2 connection when it stops.
const slowRead = 12 * time.Millisecond

// slowConn reads slowly.
type slowConn struct{ net.Conn }

func (c *slowConn) Read(b []byte) (int, error) {
	time.Sleep(slowRead)
	return c.Conn.Read(b[:min(len(b), 512)])
}

// Guards against answers over HTTP/2 that a planned stop discards: callers send there all the time, such as news of what
// they have read, so each close before their last word resets the connection.
func TestStopDeliversAnswersOverHTTP2(t *testing.T) {
	is := is.New(t)
	l, begun, release := startHeld(t, func(*Listener) {})
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := (&pipeliner.Pipeliner{ReceiveBuffer: 2 << 10}).Dial(ctx, address)
		return &slowConn{c}, err
	}
	type result struct {
		size int64
		err  error
	}
	results := make(chan result, 1)
	go func() {
		response, err := (&http.Client{Transport: transport, Timeout: answerTimeout}).Get("http://" + l.Address.String())
		if err != nil {
			results <- result{err: err}
			return
		}
		defer func() { _ = response.Body.Close() }()
		size, err := io.Copy(io.Discard, response.Body)
		results <- result{size, err}
	}()
	stopped := stopDuring(t, l, begun, release)
	got := <-results
	is.NoErr(got.err)
	is.Equal(got.size, int64(largeAnswer))
	transport.CloseIdleConnections()
	is.NoErr(<-stopped)
}
