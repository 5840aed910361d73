package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"chervilrail.example/platform/speaker"
)

// lookUps is the number of callers that pipeline look-ups on a connection to a controller and read the answers slowly.
// Reads of the plan would not do: they are entries of the log and take the commits of changes to the controllers' disks.
const lookUps = 2 * controllers

var lookUpHabit = speaker.Habit{Depth: 6, Buffer: 1 << 10, Part: 128, Pause: 20 * time.Millisecond}

// lookUp sends look-ups to one controller until ctx is done.
func (s *Soak) lookUp(ctx context.Context, i int) {
	p := &speaker.Pipeline{Client: s.client(i), Habit: lookUpHabit, Received: func(e *speaker.Exchange) {
		if e.Status == http.StatusOK && !json.Valid([]byte(e.Body)) {
			s.checker.fail("%s received the look-up answer %.200q as complete", e.ID, e.Body)
		}
		e.Body = ""
	}}
	p.Name = fmt.Sprintf("s%d-l%d", s.Seed, i)
	for ctx.Err() == nil {
		s.awaitUp(ctx)
		session := p.OpenAt(context.WithoutCancel(ctx), s.system.PlatformAddress(i%controllers))
		if session != nil {
			p.Use(ctx, session, func(int) (path, key string) { return p.LookUpPath(), "" })
			_ = session.Close()
			s.checkLookUps(session)
		}
		time.Sleep(callerPause)
	}
}

// checkLookUps checks that a controller that was stopped cut none of its answers, and answered what it had read.
func (s *Soak) checkLookUps(session *speaker.Session) {
	var lost []string
	for _, e := range session.Exchanges {
		cut := e.Status != 0 && e.Err != nil || e.Status == 0 && !e.Behind && e.EndedAt.Sub(e.SentAt) > lossSlack
		if cut && !e.Left && !e.Unread && !s.excused(e, nil) &&
			s.stops.between(e.Instance, e.EndedAt.Add(-s.workload.grace-stopTail), e.EndedAt) {
			lost = append(lost, describeLoss(e, nil))
		}
	}
	if len(lost) > 0 {
		s.checker.fail("%d look-ups lost around a stop: %s", len(lost), strings.Join(lost, "; "))
	}
}
