package quoter

import "time"

// Outcome is the result of counting a request against a quota.
type Outcome int

const (
	// Granted means that the request is counted and may run.
	Granted Outcome = iota
	// Lacking means that this holder's part is used up, but the quota may have room: more has been requested, and the
	// caller should wait for the answer.
	Lacking
	// Exceeded means that the quota is used up.
	Exceeded
	// Unknown means that the holder's parts have expired and could not be renewed.
	Unknown
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	switch o {
	case Granted:
		return "granted"
	case Lacking:
		return "lacking"
	case Exceeded:
		return "exceeded"
	case Unknown:
		return "unknown"
	}
	return ""
}

// Verdict is the decision on one request, with the state it was based on.
type Verdict struct {
	Outcome Outcome
	// RetryAt is when the request may succeed, set if the quota is used up or unknown.
	RetryAt time.Time
	// Held is this holder's part and Used how much of it is used. RenewedAt is when the request was sent whose answer
	// renewed the part.
	Held      int64
	Used      int64
	RenewedAt time.Time
	// CountedAt is when the request was counted, zero if it was not.
	CountedAt time.Time
	// Peer is the entry instance that decided, empty for this one.
	Peer string
	// requestedIn is the sequence of the allotment request that covers this request.
	requestedIn uint64
}

// Age returns the age of the part that the decision was based on, zero if there was none.
func (v Verdict) Age(now time.Time) time.Duration {
	if v.RenewedAt.IsZero() {
		return 0
	}
	return now.Sub(v.RenewedAt)
}
