package trials

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/standin/internal/loader"
)

// A caller repeats its booking through another entry instance while the first attempt still runs, and again after it
// has finished. The booking must run once, and a repeat after that must get the first answer.
func TestRepeatedBookingRunsOnce(t *testing.T) {
	s := start(t, 3, 2)
	startTargets(t, s, "bookings", 2, time.Millisecond)
	t.Run("while it runs", func(t *testing.T) {
		is := is.New(t)
		key := newID(t)
		var first loader.Answer
		var group sync.WaitGroup
		group.Go(func() { first = book(s, 0, key, "/rsvp?work=1s", "seat") })
		time.Sleep(300 * time.Millisecond)
		second := book(s, 1, key, "/rsvp?work=1s", "seat")
		group.Wait()
		is.Equal(first.Status, http.StatusOK)
		is.Equal(second.Status, http.StatusConflict)
		is.Equal(second.Outcome, "unknown")
		third := book(s, 1, key, "/rsvp?work=1s", "seat")
		is.Equal(third.Body, first.Body)
		is.Equal(runs(s, key), 1)
	})
	t.Run("with another body", func(t *testing.T) {
		is := is.New(t)
		key := newID(t)
		is.Equal(book(s, 0, key, "/rsvp", "one seat").Status, http.StatusOK)
		is.Equal(book(s, 1, key, "/rsvp", "two seats").Status, http.StatusUnprocessableEntity)
		is.Equal(runs(s, key), 1)
	})
	t.Run("without a key", func(t *testing.T) {
		is := is.New(t)
		a := book(s, 0, "", "/rsvp", "seat")
		is.Equal(a.Status, http.StatusBadRequest)
		is.Equal(a.Outcome, "not-run")
	})
	t.Run("while its entry instance freezes", func(t *testing.T) {
		is := is.New(t)
		key := newID(t)
		var group sync.WaitGroup
		group.Go(func() { book(s, 0, key, "/rsvp?work=500ms", "seat") })
		time.Sleep(200 * time.Millisecond)
		s.Entries[0].Freeze()
		for range 5 {
			a := book(s, 1, key, "/rsvp?work=500ms", "seat")
			is.Equal(a.Outcome, "unknown") // neither "not-run" nor a second run
		}
		s.Entries[0].Thaw()
		group.Wait()
		is.Equal(runs(s, key), 1)
	})
	t.Run("when its entry instance is killed", func(t *testing.T) {
		is := is.New(t)
		key := newID(t)
		var group sync.WaitGroup
		group.Go(func() { book(s, 0, key, "/rsvp?work=1s", "seat") })
		time.Sleep(200 * time.Millisecond)
		s.Entries[0].Kill()
		group.Wait()
		a := book(s, 1, key, "/rsvp?work=1s", "seat")
		is.Equal(a.Outcome, "unknown")
		is.True(runs(s, key) <= 1)
	})
}

// Guards against the loss of the whole pool: a request crashes every target that runs it, and its caller resends it
// through every entry instance. At most two targets may crash.
func TestPoisonRequestCostsTwoTargetsAtMost(t *testing.T) {
	is := is.New(t)
	s := start(t, 3, 2)
	startTargets(t, s, "listings", 5, time.Millisecond)
	refused := 0
	for i := range 10 {
		a := get(s, "listings", i%2, "/crash")
		is.True(a.Status >= http.StatusInternalServerError)
		if a.Outcome == "not-run" {
			refused++
		}
		time.Sleep(50 * time.Millisecond)
	}
	crashed := 0
	for _, b := range s.Targets {
		if b.Ended() {
			crashed++
		}
	}
	is.True(crashed <= 2)
	is.True(refused >= 8)
	is.Equal(get(s, "listings", 0, "/events").Status, http.StatusOK) // other requests are still served
}

// A target closes the connection in the middle of its answer. The caller must receive an error, because it would take a
// truncated answer that looks complete for the whole one.
func TestTruncatedAnswerIsReceivedAsError(t *testing.T) {
	is := is.New(t)
	s := start(t, 1, 1)
	startTargets(t, s, "listings", 1, time.Millisecond)
	a := get(s, "listings", 0, "/half")
	is.True(a.Err != nil)
}

// slowBody is a request body of 1 KiB parts with a pause before each.
type slowBody struct {
	remaining int
	pause     time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.remaining--
	return copy(p, strings.Repeat("x", 1024)), nil
}

// An entry instance receives SIGTERM while a slow upload is in flight. The upload must finish, look-ups must no longer
// return the instance, and requests from callers with an older look-up answer must still be served.
func TestPlannedStopFinishesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	s := start(t, 3, 2)
	startTargets(t, s, "listings", 2, time.Millisecond)
	const parts = 80
	var upload loader.Answer
	var group sync.WaitGroup
	group.Go(func() {
		c := &loader.Caller{Service: "listings"}
		upload = c.SendTo(context.Background(), s.CallerURL(0), loader.Request{
			Method: http.MethodPost, Path: "/photos", Body: &slowBody{parts, 100 * time.Millisecond},
		})
	})
	time.Sleep(500 * time.Millisecond)
	s.Entries[0].Terminate()
	until(t, "look-ups return only the other instance", func() bool {
		c := &loader.Caller{Service: "listings", LookupURLs: []string{s.CallerURL(1)}}
		entries, err := c.Entries(context.Background())
		return err == nil && len(entries) == 1 && entries[0] == s.CallerURL(1)
	})
	is.Equal(get(s, "listings", 0, "/events").Status, http.StatusOK) // callers with an older answer are still served
	group.Wait()
	is.NoErr(upload.Err)
	is.Equal(upload.Status, http.StatusOK)
	is.True(strings.Contains(upload.Body, `"received":81920`))
	is.NoErr(s.Entries[0].Wait(timeout))
}

// A target announces that it leaves, and exits a few seconds later. Requests sent to it after that time would fail, and
// running requests must finish.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	s := start(t, 3, 2)
	startTargets(t, s, "listings", 3, time.Millisecond)
	var group sync.WaitGroup
	failed := make(chan loader.Answer, 1000)
	stop := make(chan struct{})
	for entry := range 2 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if a := get(s, "listings", entry, "/events?work=20ms"); a.Status != http.StatusOK {
					failed <- a
				}
			}
		})
	}
	is.NoErr(s.Targets[0].Stop(timeout))
	time.Sleep(200 * time.Millisecond)
	close(stop)
	group.Wait()
	close(failed)
	for a := range failed {
		t.Errorf("a request failed: %+v", a)
	}
}

// All controllers are frozen. An entry instance cannot know whether its catalogue has changed since, so it must refuse
// requests as not run when its lease expires, and serve them again when the controllers resume.
func TestEntryWithoutControllersRefuses(t *testing.T) {
	s := start(t, 3, 1)
	startTargets(t, s, "listings", 1, time.Millisecond)
	for _, c := range s.Controllers {
		c.Freeze()
	}
	until(t, "the entry instance refuses", func() bool {
		a := get(s, "listings", 0, "/events")
		return a.Status == http.StatusServiceUnavailable && a.Outcome == "not-run" && a.RetryAfter != ""
	})
	for _, c := range s.Controllers {
		c.Thaw()
	}
	awaitService(t, s, "listings", 0)
}

// A whole region fails: its controller, its entry instance and its targets. Callers must be served by the other
// regions.
func TestRegionLost(t *testing.T) {
	is := is.New(t)
	s := start(t, 3, 3)
	startTargets(t, s, "listings", 6, time.Millisecond)
	s.Controllers[0].Kill()
	s.Entries[0].Kill()
	s.Targets[0].Kill()
	s.Targets[3].Kill()
	c := &loader.Caller{Service: "listings", LookupURLs: []string{s.CallerURL(0), s.CallerURL(1), s.CallerURL(2)}}
	until(t, "callers are answered", func() bool {
		return c.Send(context.Background(), loader.Request{Method: http.MethodGet, Path: "/events"}).Status == http.StatusOK
	})
	answered := 0
	for range 50 {
		a := c.Send(context.Background(), loader.Request{Method: http.MethodGet, Path: "/events"})
		if a.Status == http.StatusOK {
			answered++
		}
	}
	is.Equal(answered, 50)
}

// All connections between an entry instance and a target stop passing data without being closed, while new connections
// work. Requests must be served over new connections, well before the timeout of their caller.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	is := is.New(t)
	s := start(t, 1, 1)
	startTargets(t, s, "listings", 1, time.Millisecond)
	r := newRelay(t, s)
	is.NoErr(s.Targets[0].Stop(timeout))
	until(t, "the entry instance uses the relay", func() bool {
		return get(s, "listings", 0, "/events").Status == http.StatusOK && r.Count() > 0
	})
	r.DropAll()
	started := time.Now()
	a := get(s, "listings", 0, "/events")
	is.Equal(a.Status, http.StatusOK)
	is.True(time.Since(started) < 5*time.Second) // the timeout of the entry instance is 10 s
	is.Equal(get(s, "listings", 0, "/events").Status, http.StatusOK)
}
