// Package claimer keeps the ledger of requests that must run at most once. It is a deterministic state
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
	// Retention is how long after its key was issued a claim is remembered. An older key is refused.
	Retention = 24 * time.Hour
	// Skew is how far a key's issue time may lie in the future.
	Skew = 5 * time.Minute
	// MaxBody is the largest answer body that is stored whole.
	MaxBody = 16 << 10
	// DefaultBound is the most bytes the ledger may hold by default.
	DefaultBound = 64 << 20

	recordOverhead = 256
)

type recordKey struct {
	scope string
	key   string
}

// Ledger holds the claims. Set Bound, or leave it zero for DefaultBound.
type Ledger struct {
	MaxBytes int

	records map[recordKey]*wire.ClaimRecord
	// order lists the keys by issue time, so that forgetting looks only at the oldest.
	order []recordKey
	bytes int
}

// Count returns how many claims are remembered.
func (l *Ledger) Count() int { return len(l.records) }

// Claim decides one claim at the given time. Exactly one claim of a key is ever granted.
func (l *Ledger) Claim(at time.Time, c *wire.Claim) *wire.ClaimResult {
	l.forget(at)
	issued := time.UnixMilli(c.GetIssued())
	// A key whose record may already be forgotten can't be told from a new one. Running it could run
	// a booking twice, so it is refused.
	if !issued.After(at.Add(-Retention)) {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_EXPIRED}
	}
	if issued.After(at.Add(Skew)) {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_FUTURE}
	}
	id := recordKey{c.GetScope(), c.GetKey()}
	if found, ok := l.records[id]; ok {
		return repeat(at, found, c)
	}
	return l.grant(id, c)
}

func (l *Ledger) grant(id recordKey, c *wire.Claim) *wire.ClaimResult {
	// Room for the whole answer is set aside first: a full ledger must refuse before a request runs,
	// not lose its outcome after.
	bound := l.MaxBytes
	if bound == 0 {
		bound = DefaultBound
	}
	if l.bytes+recordOverhead+MaxBody > bound {
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

// insert keeps the order by issue time; keys mostly come nearly sorted.
func (l *Ledger) insert(id recordKey, issued int64) {
	at := sort.Search(len(l.order), func(i int) bool {
		return l.records[l.order[i]].GetClaim().GetIssued() > issued
	})
	l.order = append(l.order, recordKey{})
	copy(l.order[at+1:], l.order[at:])
	l.order[at] = id
}

func repeat(at time.Time, found *wire.ClaimRecord, c *wire.Claim) *wire.ClaimResult {
	first := found.GetClaim()
	if !bytes.Equal(first.GetFingerprint(), c.GetFingerprint()) || first.GetIssued() != c.GetIssued() {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_MISMATCH}
	}
	// The holder's own resend after a lost answer: its token proves that it is the same attempt, which
	// has not sent a byte yet.
	same := first.GetHolder() == c.GetHolder() && first.GetToken() == c.GetToken()
	if same && found.GetState() == wire.ClaimState_CLAIM_PROGRESS {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_GRANTED}
	}
	// The holder may have died, or may be frozen and still send. Nobody can tell, so it is unknown.
	if found.GetState() == wire.ClaimState_CLAIM_PROGRESS && at.UnixMilli() > first.GetDeadline() {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_UNKNOWN}
	}
	return &wire.ClaimResult{State: found.GetState(), Outcome: found.GetOutcome()}
}

// Settle records how a claimed request ended. Only the holder of the claim can settle it.
func (l *Ledger) Settle(at time.Time, s *wire.Settle) *wire.ClaimResult {
	l.forget(at)
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
		// The holder is certain that no byte went out, so the key is free again.
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

// forget drops the claims whose keys would be refused as expired anyway.
func (l *Ledger) forget(at time.Time) {
	limit := at.Add(-Retention).UnixMilli()
	dropped := 0
	for _, id := range l.order {
		r := l.records[id]
		if r.GetClaim().GetIssued() > limit {
			break
		}
		l.bytes -= size(r)
		delete(l.records, id)
		dropped++
	}
	l.order = l.order[dropped:]
}

func size(r *wire.ClaimRecord) int {
	body := len(r.GetOutcome().GetBody())
	if r.GetState() == wire.ClaimState_CLAIM_PROGRESS {
		body = MaxBody
	}
	head := 0
	for _, f := range r.GetOutcome().GetHeader() {
		head += len(f.GetName()) + len(f.GetValue())
	}
	c := r.GetClaim()
	return recordOverhead + len(c.GetScope()) + len(c.GetKey()) + len(c.GetHolder()) + head + body
}

// Snapshot returns copies of all claims, ordered by issue time.
func (l *Ledger) Snapshot() []*wire.ClaimRecord {
	out := make([]*wire.ClaimRecord, 0, len(l.order))
	for _, id := range l.order {
		out = append(out, proto.CloneOf(l.records[id]))
	}
	return out
}

// Restore replaces the ledger by a snapshot's claims.
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
