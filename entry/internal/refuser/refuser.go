// Package refuser writes the final answers to requests that are refused or failed, as problem details.
package refuser

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Headers of callers' requests and of the answers to them.
const (
	HeaderOutcome      = "Chervilrail-Outcome"
	HeaderService      = "Chervilrail-Service"
	HeaderOrganisation = "Chervilrail-Organisation"
	HeaderDeadline     = "Chervilrail-Deadline"
)

// Outcome states whether a request ran.
type Outcome string

// The outcomes of a request without a target's answer.
const (
	// NotRun is used only if it is certain that no target ran the request.
	NotRun Outcome = "not-run"
	// Unknown is used if the request may have run, or may still run.
	Unknown Outcome = "unknown"
)

// Refusal is one final answer.
type Refusal struct {
	Status  int
	Title   string
	Detail  string
	Outcome Outcome
	// Retry is when the caller may try again; the zero time omits the Retry-After header.
	Retry time.Time
	// Reason is a single word for logs and metrics.
	Reason string
}

// problem is the JSON form of problem details (RFC 9457).
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Retry   string `json:"retry,omitempty"`
}

// jitterDivisor spreads the retries of callers over an additional quarter of the wait, so that they do not all return
// in the same second.
const jitterDivisor = 4

// Write sends a refusal. If r.Retry is set, the answer asks the caller to wait at least one second, plus jitter.
func Write(w http.ResponseWriter, now time.Time, r Refusal) {
	p := problem{
		Type:    "about:blank",
		Title:   r.Title,
		Status:  r.Status,
		Detail:  r.Detail,
		Outcome: string(r.Outcome),
	}
	header := w.Header()
	if !r.Retry.IsZero() {
		wait := max(r.Retry.Sub(now), time.Second)
		wait += rand.N(wait/jitterDivisor + 1)
		seconds := int64((wait + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
		p.Retry = now.Add(wait).UTC().Format(time.RFC3339Nano)
	}
	header.Set(HeaderOutcome, string(r.Outcome))
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(p)
}
