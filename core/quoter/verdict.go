package quoter

import "time"

// Outcome is what becomes of a request that wants to count against a quota.
type Outcome int

const (
	// Granted lets the request run; it is counted.
	Granted Outcome = iota
	// Lacking says that this holder's part is used up, but more may be had: it is worth asking and waiting a moment.
	Lacking
	// Exceeded says that the quota is used up.
	Exceeded
	// Unknown says that the holder's parts have run out and nobody renews them.
	Unknown
)

// String writes the outcome for logs.
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

// Verdict is the decision on one request, with what decided it.
type Verdict struct {
	Outcome Outcome
	// RetryAt is when there may be room, where the quota is used up.
	RetryAt time.Time
	// Held is this holder's part, Used what of it is used, Since the time of the request that the part was given for.
	Held  int64
	Used  int64
	Since time.Time
	// At is when the request was counted, zero if it was not.
	At time.Time
	// Peer is the entry instance that decided, empty for this one.
	Peer string
	// asking is the sequence of the request that asks for it.
	asking uint64
}

// Age is how old the part was that decided, zero if there was none.
func (v Verdict) Age(now time.Time) time.Duration {
	if v.Since.IsZero() {
		return 0
	}
	return now.Sub(v.Since)
}
