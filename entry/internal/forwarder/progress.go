package forwarder

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"chervilrail.example/core/listener"
	"chervilrail.example/core/retrier"
	"chervilrail.example/entry/internal/validator"
)

// statusLineSize is about the size of the first line of an interim head with its end, in bytes.
const statusLineSize = 32

// progress is how far an attempt has come.
type progress struct {
	sent atomic.Bool
	// interim is the size of the interim heads in bytes. Only the transport's reading goroutine uses it.
	interim int
}

// trace returns the trace of one attempt that records its progress.
func (p *progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:        func(httptrace.GotConnInfo) { p.sent.Store(true) },
		Got1xxResponse: p.checkInterim,
	}
}

// ending returns how a failed attempt ended. Once a connection is obtained, bytes may have been sent: a request that
// fails before that certainly did not run; the outcome of one that fails afterwards is unknown.
func (p *progress) ending() retrier.Ending {
	if p.sent.Load() {
		return retrier.Unknown
	}
	return retrier.Unrun
}

// checkInterim returns an error, which ends the attempt, for an interim head that is none, and once all together are
// larger than a head may be: the transport bounds each alone if they are traced.
func (p *progress) checkInterim(status int, h textproto.MIMEHeader) error {
	p.interim += statusLineSize
	for name, values := range h {
		for _, v := range values {
			p.interim += len(name) + len(v) + len(": \r\n")
		}
	}
	if p.interim > listener.MaxHeader {
		return &validator.AnswerError{Status: status, Reason: "interim heads too large"}
	}
	return validator.Interim(&http.Response{StatusCode: status, Header: http.Header(h)})
}
