package listener

import (
	"errors"
	"io"
	"net/http"
	"time"

	"chervilrail.example/core/closer"
)

const (
	// bodyWait is how long an answer waits for the rest of a body that nobody reads. What was sent together with the head
	// has mostly arrived by then, and its connection can be kept.
	bodyWait = 20 * time.Millisecond
	// maxRest is how many bytes of it are read at most: more than mostly arrives before anything of it is read.
	maxRest = 1 << 20
)

// SkipBody prepares a refusal of an HTTP/1 request whose body may not have been read; call it before the header is
// written. The server would read the rest first, so that a caller that pauses while it sends would wait for its refusal.
// Where the rest is not there at once, the answer closes the connection instead.
func SkipBody(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 || r.ContentLength == 0 || r.Header.Get("Expect") != "" {
		return
	}
	if _, err := r.Body.Read(nil); hasEnded(err) {
		return // the server already waits for the next request, which no deadline may end
	}
	connection := http.NewResponseController(w)
	deadline := time.Now().Add(bodyWait)
	if err := connection.SetReadDeadline(deadline); err != nil {
		return // not a server's connection
	}
	_, err := io.CopyN(io.Discard, r.Body, maxRest)
	if hasEnded(err) {
		_ = connection.SetReadDeadline(time.Time{})
	}
	if hasEnded(err) && time.Now().Before(deadline) {
		return
	}
	w.Header().Set("Connection", "close")
	// The server goes on reading once the answer is sent.
	_ = connection.SetReadDeadline(time.Now().Add(closer.Timeout))
}

// hasEnded reports whether an error of reading a body tells that nothing is left of it.
func hasEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, http.ErrBodyReadAfterClose)
}
