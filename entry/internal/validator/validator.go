// Package validator tells which messages of targets are answers. HTTP/1.1 answers have a status of 100 to 599 (RFC 9110,
// 15; RFC 9112, 4); the library that reads them takes any three characters that are a number.
package validator

import (
	"net/http"
	"strconv"
)

// lastStatus is the highest status of an answer.
const lastStatus = 599

// Answer returns an *AnswerError if a message that was read is not the final answer to a request that asked for no other
// protocol.
func Answer(r *http.Response) error {
	if r.ProtoMajor != 1 || r.StatusCode < http.StatusOK || r.StatusCode > lastStatus {
		return &AnswerError{Proto: r.Proto, Status: r.StatusCode, Reason: "status"}
	}
	if r.StatusCode == http.StatusNoContent && StatesBody(r) {
		return &AnswerError{Proto: r.Proto, Status: r.StatusCode, Reason: "body where none may be"}
	}
	return nil
}

// StatesBody reports whether a head states a body, though none follows by its status. If one follows all the same, it
// looks like the next message.
func StatesBody(r *http.Response) bool {
	length := r.Header.Get("Content-Length")
	return len(r.TransferEncoding) > 0 || length != "" && length != "0"
}

// Interim returns an *AnswerError if an interim head states a body, or switches to another protocol.
func Interim(r *http.Response) error {
	if r.StatusCode == http.StatusSwitchingProtocols {
		return &AnswerError{Proto: r.Proto, Status: r.StatusCode, Reason: "other protocol"}
	}
	if StatesBody(r) {
		return &AnswerError{Proto: r.Proto, Status: r.StatusCode, Reason: "body where none may be"}
	}
	return nil
}

// AnswerError reports a message of a target that is no answer.
type AnswerError struct {
	// Proto is the version of the protocol in its first line, if it is known.
	Proto  string
	Status int
	Reason string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return "no answer: " + e.Proto + " " + strconv.Itoa(e.Status) + ": " + e.Reason
}
