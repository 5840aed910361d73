package forwarder

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/entry/internal/refuser"
)

// earlyRefusal is the answer of a target that does not run a request, before it has read its body.
const earlyRefusal = "HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"

// resetDelay is the time in which more of a body arrives than its target has read. Closing the connection resets it then.
const resetDelay = 50 * time.Millisecond

// startEarlyTarget starts a target that answers each request once it has its beginning, and closes the connection after a
// while.
func startEarlyTarget(t *testing.T, answer string, after time.Duration) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, uploadPart/10))
			_, _ = io.WriteString(c, answer)
			time.Sleep(after)
			_ = c.Close()
		}
	}()
	return socket.Addr().String()
}

// Guards against a target's refusal that has arrived and is discarded, because the target closed the connection while the
// body was being sent: the caller is told that its request may have run.
func TestAnswerBeforeTheEndOfAnUploadIsRelayed(t *testing.T) {
	const uploads = 20
	is := is.New(t)
	f := newTestInstance(t, startEarlyTarget(t, earlyRefusal, 0))
	lost := 0
	for range uploads {
		response, err := upload(t, f)
		is.NoErr(err)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusRequestEntityTooLarge {
			lost++
		}
	}
	is.Equal(lost, 0) // refusals of the target that the caller did not get
}

// upload sends a long body.
func upload(t *testing.T, f *testInstance) (*http.Response, error) {
	t.Helper()
	reader, writer := io.Pipe()
	go func() {
		_, err := writer.Write(make([]byte, 16<<20))
		_ = writer.CloseWithError(err)
	}()
	r, err := http.NewRequest(http.MethodPut, f.URL+"/photos", reader)
	is.New(t).NoErr(err)
	r.ContentLength = 16 << 20
	r.Header.Set(refuser.HeaderService, "listings")
	return http.DefaultClient.Do(r)
}

// Guards against a truncated answer that is taken for complete: it has no length, and the failed write of the request hides
// that the connection was reset.
func TestAnswerWithoutLengthBeforeTheEndOfAnUploadIsBroken(t *testing.T) {
	const uploads = 20
	is := is.New(t)
	f := newTestInstance(t, startEarlyTarget(t, "HTTP/1.1 200 OK\r\n\r\nhalf of the bo", resetDelay))
	for range uploads {
		response, err := upload(t, f)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(response.Body)
		is.True(err != nil || response.StatusCode != http.StatusOK)
		_ = response.Body.Close()
	}
}

// Guards against connections and goroutines that are kept for good, because a write that has failed waits for an answer
// that does not come.
func TestUploadWithoutAnAnswerEndsAtOnce(t *testing.T) {
	is := is.New(t)
	f := newTestInstance(t, startEarlyTarget(t, "", 0))
	before := runtime.NumGoroutine()
	for range 20 {
		began := time.Now()
		response, err := upload(t, f)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusBadGateway)
		is.True(time.Since(began) < atOnce)
		_ = response.Body.Close()
	}
	http.DefaultClient.CloseIdleConnections()
	for end := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before+5 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(runtime.NumGoroutine() <= before+5)
}
