package listener

import (
	"net/http"

	"chervilrail.example/core/closer"
)

// answer is an http.ResponseWriter that closes its connection if the process leaves and no other request is to be
// answered on it.
type answer struct {
	http.ResponseWriter
	conn  *closer.Conn
	begun bool
}

// begin decides on the connection when the header of the answer is due.
func (a *answer) begin() {
	if a.begun {
		return
	}
	a.begun = true
	if a.conn.Last() {
		a.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if status >= http.StatusOK {
		a.begin()
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(b []byte) (int, error) {
	a.begin()
	return a.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (a *answer) Flush() { _ = a.FlushError() }

// FlushError is called by http.ResponseController.
func (a *answer) FlushError() error {
	a.begin()
	return http.NewResponseController(a.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
