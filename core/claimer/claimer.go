// Package claimer keeps the ledger of claims on requests that must run at most once. It is a deterministic state
// machine: every replica applies the same commands and reaches the same ledger.
package claimer

import (
	"bytes"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

const (
	// Retention is how long after its key was issued a claim is kept. An older key is refused.
	Retention = 24 * time.Hour
	// MaxSkew is how far a key's issue time may lie in the future.
	MaxSkew = 5 * time.Minute
	// MaxBody is the largest response body, in bytes, that is stored whole.
	MaxBody = 16 << 10
	// DefaultMaxBytes is the default of Ledger.MaxBytes.
	DefaultMaxBytes = 64 << 20

	recordOverhead = 256
)

type recordKey struct {
	scope string
	key   string
}

// Ledger holds the claims. Its zero value is empty and ready to use.
type Ledger struct {
	// MaxBytes is the most bytes the ledger may hold; zero means DefaultMaxBytes.
	MaxBytes int

	records map[recordKey]*wire.ClaimRecord
	// order lists the keys by issue time, so that eviction looks only at the oldest.
	order []recordKey
	bytes int
}

// Count returns the number of claims in the ledger.
func (l *Ledger) Count() int { return len(l.records) }

// Claim applies a claim at the given time and returns its result. At most one attempt is granted a key, unless the
// holder settles it as not run.
func (l *Ledger) Claim(at time.Time, c *wire.Claim) *wire.ClaimResult {
	l.evictExpired(at)
	issued := time.UnixMilli(c.GetIssued())
	// A key whose record may already be evicted can't be distinguished from a new one. Running it could run
	// a booking twice, so it is refused.
	if !issued.After(at.Add(-Retention)) {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_EXPIRED}
	}
	if issued.After(at.Add(MaxSkew)) {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_FUTURE}
	}
	id := recordKey{c.GetScope(), c.GetKey()}
	if found, ok := l.records[id]; ok {
		return resolveRepeat(at, found, c)
	}
	return l.grant(id, c)
}

func (l *Ledger) grant(id recordKey, c *wire.Claim) *wire.ClaimResult {
	// Space for the largest response body is reserved first: a full ledger must refuse the claim before the request
	// runs, rather than lose its outcome afterwards.
	maxBytes := l.MaxBytes
	if maxBytes == 0 {
		maxBytes = DefaultMaxBytes
	}
	if l.bytes+recordOverhead+MaxBody > maxBytes {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_FULL}
	}
	if l.records == nil {
		l.records = map[recordKey]*wire.ClaimRecord{}
	}
	r := &wire.ClaimRecord{Claim: c, State: wire.ClaimState_CLAIM_PROGRESS}
	l.records[id] = r
	l.bytes += size(r)
	l.insert(id, c.GetIssued())
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_GRANTED}
}

// insert adds a key to the order by issue time. Keys mostly arrive nearly sorted.
func (l *Ledger) insert(id recordKey, issued int64) {
	index := sort.Search(len(l.order), func(i int) bool {
		return l.records[l.order[i]].GetClaim().GetIssued() > issued
	})
	l.order = append(l.order, recordKey{})
	copy(l.order[index+1:], l.order[index:])
	l.order[index] = id
}

// resolveRepeat returns the result of a claim on a key that is already in the ledger.
func resolveRepeat(at time.Time, found *wire.ClaimRecord, c *wire.Claim) *wire.ClaimResult {
	first := found.GetClaim()
	if !bytes.Equal(first.GetFingerprint(), c.GetFingerprint()) || first.GetIssued() != c.GetIssued() {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_MISMATCH}
	}
	// The holder retries its claim after the result was lost: its token proves that it is the same attempt, which
	// has not sent a byte of the request yet.
	sameAttempt := first.GetHolder() == c.GetHolder() && first.GetToken() == c.GetToken()
	if sameAttempt && found.GetState() == wire.ClaimState_CLAIM_PROGRESS {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_GRANTED}
	}
	// The holder may have crashed, or may be suspended and still send the request later. The ledger can't distinguish
	// the two, so the outcome is unknown.
	if found.GetState() == wire.ClaimState_CLAIM_PROGRESS && at.UnixMilli() > first.GetDeadline() {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_UNKNOWN}
	}
	return &wire.ClaimResult{State: found.GetState(), Outcome: found.GetOutcome()}
}

// Settle records how a claimed request ended. Only the holder of the claim can settle it. Settling a completed claim
// again returns its recorded outcome.
func (l *Ledger) Settle(at time.Time, s *wire.Settle) *wire.ClaimResult {
	l.evictExpired(at)
	id := recordKey{s.GetScope(), s.GetKey()}
	found, ok := l.records[id]
	if !ok {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_NONE}
	}
	first := found.GetClaim()
	if first.GetHolder() != s.GetHolder() || first.GetToken() != s.GetToken() {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_MISMATCH}
	}
	if found.GetState() == wire.ClaimState_CLAIM_DONE {
		return &wire.ClaimResult{State: found.GetState(), Outcome: found.GetOutcome()}
	}
	l.settle(id, found, s)
	return &wire.ClaimResult{State: found.GetState(), Outcome: found.GetOutcome()}
}

func (l *Ledger) settle(id recordKey, found *wire.ClaimRecord, s *wire.Settle) {
	l.bytes -= size(found)
	switch {
	case s.GetUnrun():
		// The holder is certain that no byte of the request was sent, so the key may be claimed again.
		delete(l.records, id)
		l.remove(id)
		found.State = wire.ClaimState_CLAIM_NONE
		return
	case s.GetUnknown():
		found.State = wire.ClaimState_CLAIM_UNKNOWN
	default:
		found.State = wire.ClaimState_CLAIM_DONE
		found.Outcome = s.GetOutcome()
	}
	l.bytes += size(found)
}

func (l *Ledger) remove(id recordKey) {
	for i, o := range l.order {
		if o == id {
			l.order = append(l.order[:i], l.order[i+1:]...)
			return
		}
	}
}

// evictExpired drops the claims whose keys would be refused as expired anyway.
func (l *Ledger) evictExpired(at time.Time) {
	cutoff := at.Add(-Retention).UnixMilli()
	evicted := 0
	for _, id := range l.order {
		r := l.records[id]
		if r.GetClaim().GetIssued() > cutoff {
			break
		}
		l.bytes -= size(r)
		delete(l.records, id)
		evicted++
	}
	l.order = l.order[evicted:]
}

// size returns the bytes that a claim counts for. A claim in progress counts as if its response body were the largest.
func size(r *wire.ClaimRecord) int {
	body := len(r.GetOutcome().GetBody())
	if r.GetState() == wire.ClaimState_CLAIM_PROGRESS {
		body = MaxBody
	}
	header := 0
	for _, f := range r.GetOutcome().GetHeader() {
		header += len(f.GetName()) + len(f.GetValue())
	}
	c := r.GetClaim()
	return recordOverhead + len(c.GetScope()) + len(c.GetKey()) + len(c.GetHolder()) + header + body
}

// Snapshot returns copies of all claims, ordered by issue time.
func (l *Ledger) Snapshot() []*wire.ClaimRecord {
	out := make([]*wire.ClaimRecord, 0, len(l.order))
	for _, id := range l.order {
		out = append(out, proto.CloneOf(l.records[id]))
	}
	return out
}

// Restore replaces the claims by those of a snapshot, which must be ordered by issue time.
func (l *Ledger) Restore(records []*wire.ClaimRecord) {
	l.records = map[recordKey]*wire.ClaimRecord{}
	l.order = nil
	l.bytes = 0
	for _, r := range records {
		id := recordKey{r.GetClaim().GetScope(), r.GetClaim().GetKey()}
		l.records[id] = r
		l.order = append(l.order, id)
		l.bytes += size(r)
	}
}
