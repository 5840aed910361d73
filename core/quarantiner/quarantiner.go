// Package quarantiner finds requests that crash the targets which run them, and keeps them out for a
// while. Entry instances share what they see. It is safe for concurrent use.
package quarantiner

import (
	"sync"
	"time"
)

const (
	// DefaultThreshold is from how many different dead targets a request counts as the cause, unless set otherwise.
	DefaultThreshold = 2
	// RefusalPeriod is how long a confirmed request is refused.
	RefusalPeriod = 5 * time.Minute
	// memory is how long a loss counts.
	memory = 2 * time.Minute
	// maxTracked bounds the table; a flood of different requests must not fill the memory.
	maxTracked = 65536
	sweepPause = time.Second
)

// Fingerprint identifies a request by what the target would run.
type Fingerprint [16]byte

// Run identifies one run of one target.
type Run struct {
	Target      string
	Incarnation uint64
}

// Quarantiner holds the suspicions. Its zero value holds none.
type Quarantiner struct {
	// Threshold is from how many different dead targets a request counts as the cause; zero means Confirmed.
	Threshold int

	mu    sync.Mutex
	cases map[Fingerprint]*suspicion
	// good and older hold what succeeded lately, in two generations that replace each other.
	good  map[Fingerprint]time.Time
	older map[Fingerprint]time.Time
	// sweepAt is from when a full table may be swept again.
	sweepAt time.Time
}

type suspicion struct {
	runs  map[Run]time.Time
	until time.Time
}

// RecordLoss records that a request was in flight when a target run broke off, and reports whether this is
// news. One run counts once, however often it is told.
func (q *Quarantiner) RecordLoss(now time.Time, f Fingerprint, run Run) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cases == nil {
		q.cases = map[Fingerprint]*suspicion{}
	}
	s, ok := q.cases[f]
	if !ok {
		// Sweeping for each loss while the table is full would cost more than the flood that filled it.
		if len(q.cases) >= maxTracked && !now.Before(q.sweepAt) {
			q.sweepAt = now.Add(sweepPause)
			q.sweep(now)
		}
		if len(q.cases) >= maxTracked {
			return false
		}
		s = &suspicion{runs: map[Run]time.Time{}}
		q.cases[f] = s
	}
	if _, known := s.runs[run]; known {
		return false
	}
	s.runs[run] = now.Add(memory)
	if q.recent(now, s) >= q.confirm() {
		s.until = now.Add(RefusalPeriod)
	}
	return true
}

func (q *Quarantiner) confirm() int {
	if q.Threshold > 0 {
		return q.Threshold
	}
	return DefaultThreshold
}

// Losses returns how many targets died lately while the request was in flight there.
func (q *Quarantiner) Losses(now time.Time, f Fingerprint) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.cases[f]
	if !ok {
		return 0
	}
	return q.recent(now, s)
}

// RecordSuccess clears a suspicion: a request that kills what runs it never succeeds, while one that only
// shared a dead target soon does. It reports whether there was anything to clear.
func (q *Quarantiner) RecordSuccess(now time.Time, f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.praise(now, f)
	if _, ok := q.cases[f]; !ok {
		return false
	}
	delete(q.cases, f)
	return true
}

func (q *Quarantiner) praise(now time.Time, f Fingerprint) {
	if q.good == nil || len(q.good) >= maxTracked/2 {
		q.older = q.good
		q.good = map[Fingerprint]time.Time{}
	}
	q.good[f] = now
}

// Suspect reports whether the request was in flight at a recent loss, so that trying it elsewhere could
// cost a second target. One loss does not count against a request that succeeded lately: a busy page
// is in flight whenever a target dies, and refusing to retry it would punish every bystander.
func (q *Quarantiner) Suspect(now time.Time, f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.cases[f]
	if !ok {
		return false
	}
	losses := q.recent(now, s)
	return losses > 1 || losses == 1 && !q.goodLately(now, f)
}

func (q *Quarantiner) goodLately(now time.Time, f Fingerprint) bool {
	at, ok := q.good[f]
	if !ok {
		at, ok = q.older[f]
	}
	return ok && now.Sub(at) < memory
}

// RefusedUntil returns until when a request is refused; the zero time means it is not.
func (q *Quarantiner) RefusedUntil(now time.Time, f Fingerprint) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.cases[f]
	if !ok || !now.Before(s.until) {
		return time.Time{}
	}
	return s.until
}

func (q *Quarantiner) recent(now time.Time, s *suspicion) int {
	n := 0
	for run, until := range s.runs {
		if !now.Before(until) {
			delete(s.runs, run)
			continue
		}
		n++
	}
	return n
}

func (q *Quarantiner) sweep(now time.Time) {
	for f, s := range q.cases {
		if q.recent(now, s) == 0 && !now.Before(s.until) {
			delete(q.cases, f)
		}
	}
}

// Sweep forgets what no longer counts; call it now and then.
func (q *Quarantiner) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(now)
}
