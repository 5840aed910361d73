// Package quarantiner detects requests that crash the targets which run them, and refuses them for some time. Entry
// instances share the losses that they observe. It is safe for concurrent use.
package quarantiner

import (
	"sync"
	"time"
)

const (
	// DefaultThreshold is the default of Quarantiner.Threshold.
	DefaultThreshold = 2
	// RefusalPeriod is how long a request that reached the threshold is refused.
	RefusalPeriod = 5 * time.Minute
	// lossRetention is how long a loss counts.
	lossRetention = 2 * time.Minute
	// maxTracked bounds the tables: a flood of different requests must not exhaust the memory.
	maxTracked = 65536
	// sweepInterval is the least time between two sweeps of a full table.
	sweepInterval = time.Second
)

// Fingerprint identifies a request by what a target would run for it.
type Fingerprint [16]byte

// Run identifies one run of a target, from its start to its end.
type Run struct {
	Target      string
	Incarnation uint64
}

// Quarantiner holds the suspected requests. Its zero value holds none.
type Quarantiner struct {
	// Threshold is the number of different target runs that must be lost while a request is in flight there, before the
	// request counts as the cause and is refused; zero means DefaultThreshold.
	Threshold int

	mu         sync.Mutex
	suspicions map[Fingerprint]*suspicion
	// successes and olderSuccesses hold when requests last succeeded, in two generations: a full one replaces the
	// older.
	successes      map[Fingerprint]time.Time
	olderSuccesses map[Fingerprint]time.Time
	// nextSweep is the earliest time at which a full table is swept again.
	nextSweep time.Time
}

// suspicion holds the recent losses of one request: when each run's loss expires, and until when it is refused.
type suspicion struct {
	runs         map[Run]time.Time
	refusedUntil time.Time
}

// RecordLoss records that a request was in flight when a target run was lost, and reports whether the loss is new
// and was counted. One run counts once, however often it is reported. While the table is full, losses of further
// requests are not counted.
func (q *Quarantiner) RecordLoss(now time.Time, f Fingerprint, run Run) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.suspicions == nil {
		q.suspicions = map[Fingerprint]*suspicion{}
	}
	s, ok := q.suspicions[f]
	if !ok {
		// Sweeping at each loss while the table is full would cost more than the flood that filled it.
		if len(q.suspicions) >= maxTracked && !now.Before(q.nextSweep) {
			q.nextSweep = now.Add(sweepInterval)
			q.sweep(now)
		}
		if len(q.suspicions) >= maxTracked {
			return false
		}
		s = &suspicion{runs: map[Run]time.Time{}}
		q.suspicions[f] = s
	}
	if _, counted := s.runs[run]; counted {
		return false
	}
	s.runs[run] = now.Add(lossRetention)
	if q.countLosses(now, s) >= q.threshold() {
		s.refusedUntil = now.Add(RefusalPeriod)
	}
	return true
}

func (q *Quarantiner) threshold() int {
	if q.Threshold > 0 {
		return q.Threshold
	}
	return DefaultThreshold
}

// Losses returns how many target runs were lost recently while the request was in flight there.
func (q *Quarantiner) Losses(now time.Time, f Fingerprint) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspicions[f]
	if !ok {
		return 0
	}
	return q.countLosses(now, s)
}

// RecordSuccess records a success and clears the losses and the refusal of the request: a request that crashes its
// targets never succeeds, while one that was only in flight on the same target soon does. It reports whether there was
// anything to clear.
func (q *Quarantiner) RecordSuccess(now time.Time, f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addSuccess(now, f)
	if _, ok := q.suspicions[f]; !ok {
		return false
	}
	delete(q.suspicions, f)
	return true
}

func (q *Quarantiner) addSuccess(now time.Time, f Fingerprint) {
	if q.successes == nil || len(q.successes) >= maxTracked/2 {
		q.olderSuccesses = q.successes
		q.successes = map[Fingerprint]time.Time{}
	}
	q.successes[f] = now
}

// Suspect reports whether the request was in flight at a recent loss, so that a retry could crash a second target. A
// single loss does not count against a request that succeeded recently: a frequent request is in flight whenever a
// target crashes, and without retries it would fail although it is harmless.
func (q *Quarantiner) Suspect(now time.Time, f Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspicions[f]
	if !ok {
		return false
	}
	losses := q.countLosses(now, s)
	return losses > 1 || losses == 1 && !q.succeededRecently(now, f)
}

func (q *Quarantiner) succeededRecently(now time.Time, f Fingerprint) bool {
	at, ok := q.successes[f]
	if !ok {
		at, ok = q.olderSuccesses[f]
	}
	return ok && now.Sub(at) < lossRetention
}

// RefusedUntil returns until when a request is refused, or the zero time if it is not.
func (q *Quarantiner) RefusedUntil(now time.Time, f Fingerprint) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.suspicions[f]
	if !ok || !now.Before(s.refusedUntil) {
		return time.Time{}
	}
	return s.refusedUntil
}

// countLosses returns how many losses have not expired, and removes those that have.
func (q *Quarantiner) countLosses(now time.Time, s *suspicion) int {
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
	for f, s := range q.suspicions {
		if q.countLosses(now, s) == 0 && !now.Before(s.refusedUntil) {
			delete(q.suspicions, f)
		}
	}
}

// Sweep removes the requests whose losses and refusal have expired. It must be called regularly.
func (q *Quarantiner) Sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(now)
}
