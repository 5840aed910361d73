package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"chervilrail.example/platform/speaker"
)

const (
	// workers is the number of targets whose requests take long, workerSlots how many requests run there at a time: more than
	// there are callers, so that no request has to wait for another one.
	workers     = 3
	workerSlots = 24
	// instanceCallers is the number of callers with long requests that keep sending to one entry instance.
	instanceCallers = 8
)

// attempts are the requests that take long, and what their callers saw of them.
type attempts struct {
	mu   sync.Mutex
	list []*speaker.Attempt
}

func (a *attempts) add(list []*speaker.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, list...)
}

// keepSending sends requests that take long to entry instance i until ctx is done, in each of its processes until that is
// gone.
func (s *Soak) keepSending(ctx context.Context, i, caller int) {
	random := rand.New(rand.NewPCG(s.Seed, uploadStream<<32+uint64(i*instanceCallers+caller)))
	c := &speaker.Persistent{
		Name: fmt.Sprintf("s%d-w%d-%d", s.Seed, i, caller), Instance: s.callerAddress(i),
		Next: func(int) speaker.Upload { return s.workload.upload(random) },
	}
	for ctx.Err() == nil {
		s.awaitUp(ctx)
		list := c.Run(ctx)
		for _, a := range list {
			s.checker.checkAttempt(a)
			a.Body = ""
		}
		s.attempts.add(list)
		time.Sleep(callerPause)
	}
}

// checkAttempt checks the answer to a request that takes long on its own, and records what it promises.
func (w *checker) checkAttempt(a *speaker.Attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordPromise(a.Answer, workRoutes[routeOf(a)].kind == "unsafe")
	if expected := fmt.Sprintf(" POST %s %d", a.Path, a.Size); a.Complete && !strings.HasSuffix(a.Body, expected) {
		w.note("%s requested%s and received %.200q", a.ID, expected, a.Body)
	}
	if a.Complete && !strings.HasSuffix(a.Signature, "."+a.ID) {
		w.note("%s received the answer with the signature %q", a.ID, a.Signature)
	}
	if a.Status == http.StatusOK && a.Err == nil && !a.Complete {
		w.note("%s received status 200 without the signature of a target", a.ID)
	}
}

// routeOf returns the index of the route of a request in workRoutes.
func routeOf(a *speaker.Attempt) int {
	return slices.IndexFunc(workRoutes, func(r workRoute) bool { return strings.HasPrefix(a.Path, "/"+r.name+"/") })
}

// injectWorkerFault resets the connections of a target whose requests take long, or kills it or makes it leave, and then
// starts another one in its place.
func (s *Soak) injectWorkerFault(ctx context.Context, f fault) {
	if f.kind == workerReset {
		t := s.pickOf(workService, f.index, false)
		s.linkFaults.record(t.ID)
		t.relay.Reset()
		return
	}
	t := s.pickOf(workService, f.index, true)
	s.checkStarted("target", s.startTarget(workService))
	if f.kind == workerKill {
		s.killTarget(t)
		return
	}
	leaveCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	_, _ = t.Leave(leaveCtx)
}
