package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"chervilrail.example/core/balancer"
	"chervilrail.example/core/messenger"
	"chervilrail.example/entry/internal/refuser"
)

const headerForwarded = "X-Forwarded-For"

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// outgoing returns the request to send to one target.
func (f *Forwarder) outgoing(ctx context.Context, j *job, target *balancer.Target) *http.Request {
	out := j.request.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = target.Address.String()
	out.Close = false
	out.GetBody = nil
	out.Body = j.body.open()
	out.ContentLength = j.body.size
	out.TransferEncoding = nil
	messenger.RemoveHopHeaders(out.Header)
	if !j.deadline.IsZero() {
		out.Header.Set(refuser.HeaderDeadline, j.deadline.UTC().Format(time.RFC3339Nano))
	}
	if caller, err := netip.ParseAddrPort(j.request.RemoteAddr); err == nil {
		chain := append(out.Header.Values(headerForwarded), caller.Addr().String())
		out.Header.Set(headerForwarded, strings.Join(chain, ", "))
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		// The HTTP client would fill in an absent header.
		out.Header["User-Agent"] = []string{""}
	}
	return out
}

// relay copies a target's response to the caller and releases the target's slot. It panics with http.ErrAbortHandler if
// the response breaks off or the caller can't be written to.
func (f *Forwarder) relay(w http.ResponseWriter, j *job, out result) {
	defer out.release()
	writeHead(w, j, out.response)
	copied, err := copyBody(w, out.response)
	if err != nil {
		f.ramps.addFailure(out.target.Region)
		f.Metrics.countBroken()
		j.decision = "broken"
		// The status is already sent. Closing the connection without the final chunk or the announced length is the
		// only way to tell the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	copyTrailer(w, out.response)
	f.ramps.addAnswer(out.target.Region, out.took)
	f.Metrics.countBytes(copied)
}

func writeHead(w http.ResponseWriter, j *job, response *http.Response) {
	messenger.RemoveHopHeaders(response.Header)
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for name := range response.Trailer {
		header.Add("Trailer", name)
	}
	j.status = response.StatusCode
	w.WriteHeader(response.StatusCode)
}

func copyTrailer(w http.ResponseWriter, response *http.Response) {
	for name, values := range response.Trailer {
		w.Header()[name] = values
	}
}

// copyBody flushes each part as it arrives if the length is unknown, so that the caller receives a stream without
// delay.
func copyBody(w http.ResponseWriter, response *http.Response) (int64, error) {
	buffer, ok := buffers.Get().(*[]byte)
	if !ok {
		return 0, io.ErrShortBuffer
	}
	defer buffers.Put(buffer)
	controller := http.NewResponseController(w)
	streaming := response.ContentLength < 0
	var copied int64
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return copied, writeErr
			}
			copied += int64(n)
			if streaming {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			_ = controller.SetWriteDeadline(time.Time{})
			return copied, nil
		}
		if err != nil {
			return copied, err
		}
	}
}
