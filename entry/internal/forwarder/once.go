package forwarder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"chervilrail.example/core/claimer"
	"chervilrail.example/core/leaver"
	"chervilrail.example/core/messenger"
	"chervilrail.example/core/retrier"
	"chervilrail.example/core/wire"
	"chervilrail.example/entry/internal/refuser"
)

const (
	// claimTimeout bounds the wait for a claim; it is long enough for the controllers to elect a new leader.
	claimTimeout = 4 * time.Second
	// settleTimeout bounds the wait for the ledger; after it the caller gets the answer even if it is not stored.
	settleTimeout = 4 * time.Second
	// backgroundSettleTimeout bounds the attempts to settle that the caller does not wait for.
	backgroundSettleTimeout = time.Minute
	headerReplayed          = "Idempotency-Replayed"
)

// forwardOnce runs a request that must not repeat: it is claimed before it is sent, sent again only if an earlier
// attempt certainly did not run it, and settled before it is answered.
func (f *Forwarder) forwardOnce(w http.ResponseWriter, j *job, d *admission) *refuser.Refusal {
	claim := f.newClaim(j)
	admitted, release := f.leaving.Admission(j.ctx, j.deadline)
	defer release()
	ctx, cancel := context.WithDeadline(admitted, earliest(time.Now().Add(claimTimeout), j.deadline))
	granted, err := f.Ledger.Claim(ctx, claim)
	cancel()
	if err != nil {
		// The claim may have been granted and its answer lost. Nothing was sent and nothing will be, so the request
		// certainly did not run. The key is released so that the caller's repeat can run.
		f.settleLater(&wire.Settle{Unrun: true}, claim)
		if leaver.Ends(admitted) {
			return f.refuseLeaving(time.Now())
		}
		return refuse(http.StatusServiceUnavailable, "ledger", "the ledger can't be reached", d.retryAt(time.Now(), j))
	}
	if granted.GetState() != wire.ClaimState_CLAIM_GRANTED {
		return f.answerRepeat(w, j, granted)
	}
	out := f.attempts(j, d)
	switch out.ending {
	case retrier.Unrun:
		f.settleLater(&wire.Settle{Unrun: true}, claim)
		return out.refusal
	case retrier.Unknown:
		f.settleLater(&wire.Settle{Unknown: true}, claim)
		return out.refusal
	case retrier.Answered:
	}
	return f.settleAndRelay(w, j, out, claim)
}

func (f *Forwarder) newClaim(j *job) *wire.Claim {
	sum := sha256.New()
	for _, part := range []string{j.request.Method, j.request.URL.RequestURI()} {
		_, _ = io.WriteString(sum, part+"\x00")
	}
	_, _ = sum.Write(j.body.ahead)
	seconds, nanos := j.key.Time().UnixTime()
	return &wire.Claim{
		Scope:       j.entry.Service + "/" + j.entry.Organisation,
		Key:         j.key.String(),
		Issued:      time.Unix(seconds, nanos).UnixMilli(),
		Fingerprint: sum.Sum(nil),
		Holder:      f.Instance,
		Token:       rand.Uint64(),
		Deadline:    j.deadline.UnixMilli(),
	}
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// settleLater settles a claim that its caller does not wait for.
func (f *Forwarder) settleLater(s *wire.Settle, c *wire.Claim) {
	f.settling.Add(1)
	go func() {
		defer f.settling.Add(-1)
		f.settle(backgroundSettleTimeout, s, c)
	}()
}

func (f *Forwarder) settle(timeout time.Duration, s *wire.Settle, c *wire.Claim) {
	s.Scope, s.Key, s.Holder, s.Token = c.GetScope(), c.GetKey(), c.GetHolder(), c.GetToken()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := f.Ledger.Settle(ctx, s); err != nil {
		_ = level.Warn(f.Logger).Log("msg", "outcome not stored", "key", c.GetKey(), "err", err)
	}
}

// settleAndRelay stores the outcome before it relays the response, so that a repeat finds the outcome even if this
// instance fails. If the ledger can't be reached, the caller still gets the response, and a repeat gets the outcome
// unknown.
func (f *Forwarder) settleAndRelay(w http.ResponseWriter, j *job, out result, c *wire.Claim) *refuser.Refusal {
	head, err := io.ReadAll(io.LimitReader(out.response.Body, claimer.MaxBody+1))
	if err != nil {
		f.settleLater(&wire.Settle{Unknown: true}, c)
		out.release()
		if refusal := f.leavingRefusal(time.Now(), j, retrier.Unknown); refusal != nil {
			return refusal
		}
		return &refuser.Refusal{
			Status:  http.StatusBadGateway,
			Title:   "answer broken off",
			Detail:  "the target ran the request and broke off its answer",
			Outcome: refuser.Unknown,
			Reason:  "broken",
		}
	}
	outcome := &wire.Outcome{Status: int32(out.response.StatusCode), Header: storedHeader(out.response.Header)}
	outcome.Body = head[:min(len(head), claimer.MaxBody)]
	outcome.Partial = len(head) > claimer.MaxBody
	stored := make(chan struct{})
	f.settling.Add(1)
	go func() {
		defer f.settling.Add(-1)
		defer close(stored)
		f.settle(settleTimeout, &wire.Settle{Outcome: outcome}, c)
	}()
	f.awaitStored(stored)
	rest := out.response.Body
	out.response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), rest), rest}
	f.relay(w, j, out)
	return nil
}

func storedHeader(h http.Header) []*wire.Field {
	kept := h.Clone()
	messenger.RemoveHopHeaders(kept)
	var out []*wire.Field
	for name, values := range kept {
		for _, v := range values {
			out = append(out, &wire.Field{Name: name, Value: v})
		}
	}
	slices.SortFunc(out, func(a, b *wire.Field) int { return bytes.Compare([]byte(a.GetName()), []byte(b.GetName())) })
	return out
}

// answerRepeat answers a request whose claim was not granted, mostly because its key was claimed before. The request is
// not run again.
func (f *Forwarder) answerRepeat(w http.ResponseWriter, j *job, c *wire.ClaimResult) *refuser.Refusal {
	now := time.Now()
	unknown := func(status int, reason, detail string, retry time.Time) *refuser.Refusal {
		out := refuse(status, reason, detail, retry)
		out.Outcome = refuser.Unknown
		return out
	}
	switch c.GetState() {
	case wire.ClaimState_CLAIM_DONE:
		return f.replay(w, j, c.GetOutcome())
	case wire.ClaimState_CLAIM_PROGRESS:
		return unknown(http.StatusConflict, "progress", "the first request with this key is in progress", now.Add(time.Second))
	case wire.ClaimState_CLAIM_MISMATCH:
		return refuse(http.StatusUnprocessableEntity, "mismatch", "the key was used for another request", time.Time{})
	case wire.ClaimState_CLAIM_EXPIRED:
		return unknown(http.StatusGone, "expired", "the key is too old to tell whether it ran; it is not run now", time.Time{})
	case wire.ClaimState_CLAIM_FUTURE:
		return refuse(http.StatusBadRequest, "future", "the key's issue time lies in the future", time.Time{})
	case wire.ClaimState_CLAIM_FULL:
		return refuse(http.StatusServiceUnavailable, "full", "the ledger is full", now.Add(time.Minute))
	case wire.ClaimState_CLAIM_NONE, wire.ClaimState_CLAIM_GRANTED, wire.ClaimState_CLAIM_UNKNOWN:
	}
	return unknown(http.StatusConflict, "unknown", "the first request with this key may have run", time.Time{})
}

// replay sends the stored outcome. A response that was too large to store completely is refused, because a caller could
// take the stored part for the whole.
func (f *Forwarder) replay(w http.ResponseWriter, j *job, o *wire.Outcome) *refuser.Refusal {
	if o.GetPartial() {
		return &refuser.Refusal{
			Status:  http.StatusConflict,
			Title:   "answer not kept",
			Detail:  "the request ran; its answer was too large to keep",
			Outcome: "ran",
			Reason:  "partial",
		}
	}
	header := w.Header()
	for _, h := range o.GetHeader() {
		header.Add(h.GetName(), h.GetValue())
	}
	header.Set(headerReplayed, "true")
	j.status = int(o.GetStatus())
	j.decision = "replayed"
	w.WriteHeader(j.status)
	_, _ = w.Write(o.GetBody())
	return nil
}
