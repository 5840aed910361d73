package forwarder

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"chervilrail.example/core/listener"
	"chervilrail.example/core/pipeliner"
	"chervilrail.example/core/stopper"
	"chervilrail.example/entry/internal/refuser"
)

// Guards against a stop at the shortest grace period that leaves no time to answer the requests at work before their
// connections are cut.
func TestShortestStopAnswersManyRequestsAtWork(t *testing.T) {
	is := is.New(t)
	const slots, targets = 4, 50
	target := newLeaveTarget(t, nil)
	f := newTestInstance(t, slices.Repeat([]string{target.address()}, targets)...)
	address, err := pipeliner.FreeAddress()
	is.NoErr(err)
	l := &listener.Listener{ServiceName: "caller", Address: address, Handler: f.forwarder, Logger: log.NewNopLogger()}
	is.NoErr(l.Start(t.Context(), nil))
	var group sync.WaitGroup
	var mu sync.Mutex
	seen := map[int]int{}
	for range slots * targets {
		group.Go(func() {
			status := 0
			if c, err := (&pipeliner.Pipeliner{}).Dial(t.Context(), address.String()); err == nil {
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(2 * requestLimit))
				_ = c.Post("/a", refuser.HeaderService+": listings\r\n", 1, []byte("x"))
				if answer, err := c.Receive(); err == nil {
					status = answer.Status
				}
			}
			mu.Lock()
			defer mu.Unlock()
			seen[status]++
		})
	}
	for until := time.Now().Add(requestLimit / 2); target.runs.Load() < slots*targets && time.Now().Before(until); {
		time.Sleep(expireInterval)
	}
	running := int(target.runs.Load())
	d := stopper.Stopper{Timeout: stopper.TimeoutFor(time.Second), Serve: stopper.ServeFor(time.Second), Reserve: time.Second / 5}.
		From(time.Now())
	ctx, cancel := stopper.NewContext(t.Context(), d)
	defer cancel()
	f.forwarder.Leave(d)
	is.NoErr(l.Stop(ctx))
	group.Wait()
	t.Logf("%d requests at work, answers %v", running, seen)
	is.True(running >= slots*targets/2)
	is.Equal(seen[0], 0) // requests without an answer
	is.Equal(seen[http.StatusGatewayTimeout], running)
}
