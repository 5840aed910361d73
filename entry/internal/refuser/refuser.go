// Package refuser writes the final answers to requests that are refused or failed, as problem details.
package refuser

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Headers of callers' requests and answers.
const (
	HeaderOutcome      = "Chervilrail-Outcome"
	HeaderService      = "Chervilrail-Service"
	HeaderOrganisation = "Chervilrail-Organisation"
	HeaderDeadline     = "Chervilrail-Deadline"
)

// Outcome tells a caller whether its request ran.
type Outcome string

// The outcomes of a request without a target's answer.
const (
	// NotRun is said only when it is certain that no target ran the request.
	NotRun Outcome = "not-run"
	// Unknown is said when it may have run, or may still run.
	Unknown Outcome = "unknown"
)

// Refusal is one final answer.
type Refusal struct {
	Status  int
	Title   string
	Detail  string
	Outcome Outcome
	// Retry is when the caller may come back; zero leaves the header out.
	Retry time.Time
	// Reason is a single word for logs and metrics.
	Reason string
}

// problem is the JSON form of RFC 9457.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Retry   string `json:"retry,omitempty"`
}

// jitterDivisor spreads callers who are told to come back over a quarter of the wait, so that they do not
// return all in the same second.
const jitterDivisor = 4

// Write sends a refusal at once.
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
