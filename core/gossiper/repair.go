package gossiper

import (
	"time"

	"chervilrail.example/core/wire"
)

// maxRepairPause is the longest pause between two repairs of one controller.
const maxRepairPause = 8 * repairAfter

// repair is the state of sending all records to a controller whose digest differs, a part with each request.
type repair struct {
	active bool
	// sentTo is the counter up to which the last request reached, ackedTo that of the last answered one; last is set if
	// the last request held the last part.
	sentTo  uint64
	ackedTo uint64
	last    bool
	// notBefore is when the next repair may begin. pause doubles with each repair that was in vain: while changes never
	// end, digests differ although nothing is lost.
	notBefore time.Time
	pause     time.Duration
}

// acknowledge processes the answer to a request that was sent at a given time.
func (r *repair) acknowledge(sent time.Time) {
	if !r.active {
		return
	}
	r.ackedTo = r.sentTo
	if r.last {
		r.active = false
		r.notBefore = sent.Add(r.pause)
	}
}

// repairRecords returns the next part of all records for a controller whose digest has differed for too long. It begins
// a repair if one is due.
func (g *Gossiper) repairRecords(now time.Time, p *peer) []*wire.Record {
	r := &p.repair
	if !r.active {
		if !p.differs || now.Sub(p.differsSince) <= repairAfter || now.Before(r.notBefore) {
			return nil
		}
		*r = repair{active: true, pause: min(maxRepairPause, max(repairAfter, 2*r.pause))}
	}
	changed := g.changeLog.part(r.ackedTo, g.counter, maxRecords, g.LastChange)
	r.sentTo, r.last = changed.reached, !changed.left
	var out []*wire.Record
	for _, name := range changed.names {
		out = g.appendRecord(out, now, name)
	}
	return out
}
