package forwarder

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"chervilrail.example/entry/internal/refuser"
)

// earlyRefusal is the answer of a target that does not run a request, before it has read its body.
const earlyRefusal = "HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"

// startEarlyTarget starts a target that refuses each request once it has its beginning, and closes the connection.
func startEarlyTarget(t *testing.T) string {
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
			_, _ = io.WriteString(c, earlyRefusal)
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
	f := newTestInstance(t, startEarlyTarget(t))
	lost := 0
	for range uploads {
		reader, writer := io.Pipe()
		go func() {
			_, err := writer.Write(make([]byte, 16<<20))
			_ = writer.CloseWithError(err)
		}()
		r, err := http.NewRequest(http.MethodPut, f.URL+"/photos", reader)
		is.NoErr(err)
		r.ContentLength = 16 << 20
		r.Header.Set(refuser.HeaderService, "listings")
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusRequestEntityTooLarge {
			lost++
		}
	}
	is.Equal(lost, 0) // refusals of the target that the caller did not get
}
