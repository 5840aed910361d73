package soaker

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"chervilrail.example/platform/speaker"
)

const (
	// stopTail is how long after a process had to be gone its planned stop still counts, reloadTime how long after SIGHUP
	// a request may be sent that counts as one around a reload.
	stopTail   = time.Second
	reloadTime = 2 * time.Second
	// contactTime is how long after an unplanned fault an instance may lose requests.
	contactTime = 3 * time.Second
	// lossSlack is how long after its last byte was sent a request that is not passed on may lose its connection.
	lossSlack = 200 * time.Millisecond
	// arrivalTime is longer than a request takes to its instance, and the instance to notice that it has to stop.
	arrivalTime = 500 * time.Millisecond
	// maxLosses is how many requests may be passed on and lost in a run beside no planned work.
	maxLosses = 3
	fileMode  = 0o640
)

// checkPipelined checks the whole answer to a request of a pipeline on its own.
func (w *checker) checkPipelined(e *speaker.Exchange, fill string) {
	w.checkAnswer(e.Answer, http.MethodGet, e.Path)
	body := strings.TrimSuffix(e.Signature, "."+e.ID) + " GET " + e.Path + " 0" + speaker.Filling(e.ID, fill)
	if e.Complete && e.Body != body {
		w.fail("%s received as complete %d bytes that are not the target's whole body of %d", e.ID, len(e.Body), len(body))
	}
}

// passage is the arrival of a request at a target.
type passage struct {
	target string
	at     time.Time
	run    bool
}

// passages returns where each attempt was passed on to.
func (s *Soak) passages() map[string][]passage {
	out := map[string][]passage{}
	for _, t := range s.allTargets() {
		runs := t.Runs()
		for _, a := range t.Arrivals() {
			out[a.ID] = append(out[a.ID], passage{t.ID, a.At, runs[a.ID] > 0})
		}
	}
	return out
}

// losses are descriptions of lost requests, by what they were lost around.
type losses struct {
	stops, reloads, besides []string
}

// checkExchanges checks that the requests of pipelines that were passed on got a whole answer around planned work, and
// that no request was passed on that counts as not read.
func (s *Soak) checkExchanges(passages map[string][]passage) {
	var found losses
	for _, e := range s.sessions.exchanges {
		passed := passages[e.ID]
		if e.Unread && len(passed) > 0 {
			s.checker.fail("%s was passed on though it was sent behind an answer that closes the connection", e.ID)
			continue
		}
		if e.Left || !s.lost(e, passed) || s.excused(e, passed) {
			continue
		}
		line := describeLoss(e, passed)
		switch {
		case s.stops.between(e.Instance, e.EndedAt.Add(-s.workload.grace-stopTail), e.EndedAt):
			found.stops = append(found.stops, line)
		case s.reloads.between(e.Instance, e.SentAt.Add(-reloadTime), e.EndedAt):
			found.reloads = append(found.reloads, line)
		case len(passed) > 0:
			found.besides = append(found.besides, line)
		}
	}
	s.report("stops", found.stops, 0)
	s.report("reloads", found.reloads, 0)
	s.report("neither", found.besides, maxLosses)
}

// report records a violation if more requests were lost around something than may be, and writes all of them to a file.
func (s *Soak) report(around string, lost []string, limit int) {
	if len(lost) <= limit {
		return
	}
	path := filepath.Join(s.Folder, "lost-"+strings.ReplaceAll(around, " ", "-")+".log")
	if err := os.WriteFile(path, []byte(strings.Join(lost, "\n")+"\n"), fileMode); err != nil {
		s.checker.fail("%s not written: %v", path, err)
	}
	s.checker.fail("%d requests lost around %s, the first: %s", len(lost), around, lost[0])
}

// lost reports whether a request has no whole answer though it was passed on or, not sent behind another one, was read; whether
// its run was broken off by an answer of the instance's own; or whether a planned stop that began after it had arrived closed
// its connection with the answer to an earlier one.
func (s *Soak) lost(e *speaker.Exchange, passed []passage) bool {
	ran := false
	for _, p := range passed {
		ran = ran || p.run
	}
	switch {
	case e.Unread:
		return s.stops.began(e.Instance, e.SentAt.Add(arrivalTime), e.EndedAt)
	case e.Whole():
		return ran && e.Status >= http.StatusInternalServerError && e.Signature == ""
	case len(passed) > 0:
		return true
	}
	return !e.Behind && e.EndedAt.Sub(e.SentAt) > lossSlack
}

// excused reports whether a request may be lost: its time was over, its instance had an unplanned fault near, or a target
// or its link broke off.
func (s *Soak) excused(e *speaker.Exchange, passed []passage) bool {
	if e.EndedAt.Sub(e.SentAt) >= speaker.LongTimeout ||
		s.unplanned.between(e.Instance, e.SentAt.Add(-contactTime), e.EndedAt) {
		return true
	}
	// A request that was sent over a silent link has reached no target.
	if len(passed) == 0 && s.linkFaults.between(anyTarget, e.SentAt.Add(-lossTime), e.EndedAt) {
		return true
	}
	for _, p := range passed {
		from := p.at.Add(-lossTime)
		if s.linkFaults.between(p.target, from, e.EndedAt) || s.targetKills.between(p.target, from, e.EndedAt) {
			return true
		}
	}
	return false
}

// describeLoss returns a line on a lost request.
func describeLoss(e *speaker.Exchange, passed []passage) string {
	line := fmt.Sprintf("%s of %s, sent %s, ended %s after with status %d (%v)", e.ID, e.Instance,
		e.SentAt.Format(time.TimeOnly+".000"), e.EndedAt.Sub(e.SentAt).Round(time.Millisecond), e.Status, e.Err)
	if e.Status != 0 {
		line += fmt.Sprintf(", %d bytes of the body", len(e.Body))
	}
	for _, p := range passed {
		line += fmt.Sprintf(", passed on to %s after %s", p.target, p.at.Sub(e.SentAt).Round(time.Millisecond))
	}
	return line
}
