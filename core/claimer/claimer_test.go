package claimer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilrail.example/core/wire"
)

// TestMain sets a fixed seed, so that every run gives the same result; -rapid.seed chooses another.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.UnixMilli(1_000_000_000)

func claimAt(issued time.Time, key, holder string, token uint64) *wire.Claim {
	return &wire.Claim{
		Scope: "bookings/club", Key: key, Issued: issued.UnixMilli(), Fingerprint: []byte("body"),
		Holder: holder, Token: token, Deadline: issued.Add(10 * time.Second).UnixMilli(),
	}
}

func settleOf(c *wire.Claim) *wire.Settle {
	return &wire.Settle{Scope: c.GetScope(), Key: c.GetKey(), Holder: c.GetHolder(), Token: c.GetToken()}
}

func assertState(t *testing.T, r *wire.ClaimResult, want wire.ClaimState) {
	t.Helper()
	is.New(t).Equal(r.GetState(), want)
}

func TestClaims(t *testing.T) {
	var l Ledger
	first := claimAt(start, "k", "e1", 1)
	t.Run("granted once", func(t *testing.T) {
		assertState(t, l.Claim(start, first), wire.ClaimState_CLAIM_GRANTED)
	})
	t.Run("a retry by the holder is granted", func(t *testing.T) {
		assertState(t, l.Claim(start, first), wire.ClaimState_CLAIM_GRANTED)
	})
	t.Run("another attempt gets the state in progress", func(t *testing.T) {
		assertState(t, l.Claim(start, claimAt(start, "k", "e2", 2)), wire.ClaimState_CLAIM_PROGRESS)
	})
	t.Run("another body is refused", func(t *testing.T) {
		other := claimAt(start, "k", "e2", 3)
		other.Fingerprint = []byte("other")
		assertState(t, l.Claim(start, other), wire.ClaimState_CLAIM_MISMATCH)
	})
	t.Run("unknown after the deadline", func(t *testing.T) {
		late := start.Add(11 * time.Second)
		assertState(t, l.Claim(late, claimAt(start, "k", "e2", 4)), wire.ClaimState_CLAIM_UNKNOWN)
	})
	t.Run("only the holder settles", func(t *testing.T) {
		s := settleOf(claimAt(start, "k", "e2", 2))
		assertState(t, l.Settle(start, s), wire.ClaimState_CLAIM_MISMATCH)
	})
	t.Run("a repeat gets the stored outcome", func(t *testing.T) {
		s := settleOf(first)
		s.Outcome = &wire.Outcome{Status: 201, Body: []byte("seat 4")}
		assertState(t, l.Settle(start, s), wire.ClaimState_CLAIM_DONE)
		r := l.Claim(start, claimAt(start, "k", "e2", 5))
		assertState(t, r, wire.ClaimState_CLAIM_DONE)
		is.New(t).Equal(string(r.GetOutcome().GetBody()), "seat 4")
	})
	t.Run("a key from the future is refused", func(t *testing.T) {
		assertState(t, l.Claim(start, claimAt(start.Add(time.Hour), "f", "e1", 1)), wire.ClaimState_CLAIM_FUTURE)
	})
	t.Run("a request that did not run frees the key", func(t *testing.T) {
		c := claimAt(start, "free", "e1", 6)
		l.Claim(start, c)
		s := settleOf(c)
		s.Unrun = true
		assertState(t, l.Settle(start, s), wire.ClaimState_CLAIM_NONE)
		assertState(t, l.Claim(start, claimAt(start, "free", "e2", 7)), wire.ClaimState_CLAIM_GRANTED)
	})
}

// A caller repeats a booking long after the first attempt, when the ledger has evicted its claim. If it ran again, it
// would take a second seat; a key that old must be refused and not be treated as new.
func TestExpiredKeyIsRefused(t *testing.T) {
	var l Ledger
	c := claimAt(start, "k", "e1", 1)
	assertState(t, l.Claim(start, c), wire.ClaimState_CLAIM_GRANTED)
	almost := start.Add(Retention - time.Millisecond)
	assertState(t, l.Claim(almost, claimAt(start, "k", "e2", 2)), wire.ClaimState_CLAIM_UNKNOWN)
	assertState(t, l.Claim(start.Add(Retention), claimAt(start, "k", "e2", 3)), wire.ClaimState_CLAIM_EXPIRED)
	is.New(t).Equal(l.Count(), 0)
}

// Guards against claims that are granted while the ledger has no space for their outcome: a repeat could not get
// the stored response. A full ledger refuses claims before the requests run.
func TestFullLedgerRefusesClaims(t *testing.T) {
	is := is.New(t)
	l := Ledger{MaxBytes: 10 * (MaxBody + recordOverhead)}
	granted := 0
	for i := range 100 {
		r := l.Claim(start, claimAt(start, fmt.Sprint(i), "e1", 1))
		if r.GetState() == wire.ClaimState_CLAIM_GRANTED {
			granted++
		}
	}
	is.True(granted > 5 && granted <= 10)
	is.True(l.bytes <= l.MaxBytes)
}

// timeoutLedger is a naive ledger: a claim expires after a fixed time and is granted again.
type timeoutLedger struct{ expiry map[string]time.Time }

func (f *timeoutLedger) Claim(at time.Time, c *wire.Claim) *wire.ClaimResult {
	if until, ok := f.expiry[c.GetKey()]; ok && at.Before(until) {
		return &wire.ClaimResult{State: wire.ClaimState_CLAIM_PROGRESS}
	}
	f.expiry[c.GetKey()] = at.Add(30 * time.Second)
	return &wire.ClaimResult{State: wire.ClaimState_CLAIM_GRANTED}
}

func (f *timeoutLedger) Settle(time.Time, *wire.Settle) *wire.ClaimResult { return &wire.ClaimResult{} }

type ledger interface {
	Claim(at time.Time, c *wire.Claim) *wire.ClaimResult
	Settle(at time.Time, s *wire.Settle) *wire.ClaimResult
}

// attempt is a granted claim of an entry instance, which may be suspended before it sends the request.
type attempt struct {
	claim *wire.Claim
	// sendAt is when the request is sent; a suspension may delay it.
	sendAt time.Time
}

// simulate repeats bookings through several instances and returns how often each key ran.
func simulate(seed uint64, l ledger) map[string]int {
	random := rand.New(rand.NewPCG(seed, 3))
	runs := map[string]int{}
	issued := map[string]time.Time{}
	var pending []attempt
	now := start
	for step := range 300 {
		now = now.Add(time.Duration(random.IntN(20)) * time.Second)
		if random.IntN(50) == 0 {
			now = now.Add(time.Duration(random.IntN(30)) * time.Hour)
		}
		key := fmt.Sprint(random.IntN(12))
		if _, ok := issued[key]; !ok {
			issued[key] = now
		}
		c := claimAt(issued[key], key, fmt.Sprint("e", random.IntN(3)), uint64(step))
		for range 1 + random.IntN(2) {
			if l.Claim(now, c).GetState() == wire.ClaimState_CLAIM_GRANTED {
				pending = append(pending, attempt{c, now.Add(time.Duration(random.IntN(90)) * time.Second)})
			}
		}
		pending = sendDue(now, random, l, pending, runs)
	}
	return runs
}

// sendDue sends the attempts that are due and settles most of them. An attempt that was granted twice sends once. It
// returns the attempts that are not due.
func sendDue(now time.Time, random *rand.Rand, l ledger, pending []attempt, runs map[string]int) []attempt {
	var notDue []attempt
	sent := map[uint64]bool{}
	for _, a := range pending {
		if sent[a.claim.GetToken()] {
			continue
		}
		if now.Before(a.sendAt) {
			notDue = append(notDue, a)
			continue
		}
		sent[a.claim.GetToken()] = true
		s := settleOf(a.claim)
		switch random.IntN(4) {
		case 0:
			s.Unrun = true
		case 1:
			runs[a.claim.GetKey()]++
			s.Unknown = true
		case 2:
			runs[a.claim.GetKey()]++
			continue
		default:
			runs[a.claim.GetKey()]++
			s.Outcome = &wire.Outcome{Status: 200}
		}
		l.Settle(now, s)
	}
	var out []attempt
	for _, a := range notDue {
		if !sent[a.claim.GetToken()] {
			out = append(out, a)
		}
	}
	return out
}

// maxRuns returns the runs of the key that ran most often.
func maxRuns(runs map[string]int) int {
	most := 0
	for _, n := range runs {
		most = max(most, n)
	}
	return most
}

// Callers repeat bookings through other entry instances for hours; instances are suspended between claim and
// request, lose outcomes, or find that nothing was sent. A booking that runs twice takes two seats.
func TestAtMostOnce(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		runs := simulate(rapid.Uint64().Draw(rt, "seed"), &Ledger{})
		if n := maxRuns(runs); n > 1 {
			rt.Fatalf("a request ran %d times", n)
		}
		total += len(runs)
	})
	is.New(t).True(total > 100) // the ledger must let requests run
}

// A claim that is granted again after a timeout runs twice if its first holder was only suspended.
func TestNaiveTimeoutRunsTwice(t *testing.T) {
	ranTwice := false
	for seed := range uint64(100) {
		ranTwice = ranTwice || maxRuns(simulate(seed, &timeoutLedger{map[string]time.Time{}})) > 1
	}
	is.New(t).True(ranTwice)
}

func TestRestoredSnapshotIsComplete(t *testing.T) {
	is := is.New(t)
	var l, copied Ledger
	for i := range 20 {
		l.Claim(start, claimAt(start.Add(time.Duration(i)*time.Second), fmt.Sprint(i), "e1", 1))
	}
	copied.Restore(l.Snapshot())
	is.Equal(copied.Count(), l.Count())
	is.Equal(copied.bytes, l.bytes)
	assertState(t, copied.Claim(start, claimAt(start, "0", "e2", 2)), wire.ClaimState_CLAIM_PROGRESS)
}
