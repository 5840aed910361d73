package trials

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilrail.example/platform/speaker"
	"chervilrail.example/standin/internal/starter"
)

const service = "listings"

// refusedPause is the pause of a caller after a refusal by a quota, so that callers do not spin.
const refusedPause = 10 * time.Millisecond

// fleet is a running system with the protocol of the users' platform, with its targets and an operator.
type fleet struct {
	*starter.PlatformSystem
	operator *speaker.Operator
	targets  []*speaker.Target
	// objects is how many objects the load requests.
	objects int
}

func startFleet(t *testing.T, controllers, entries, targets int) *fleet {
	t.Helper()
	return startFleetWith(t, controllers, entries, targets, func(*speaker.Target) {})
}

// startFleetWith is startFleet with a function that prepares each target.
func startFleetWith(t *testing.T, controllers, entries, targets int, prepareTarget func(o *speaker.Target)) *fleet {
	t.Helper()
	f := &fleet{PlatformSystem: &starter.PlatformSystem{System: prepare(t)}, objects: 7}
	f.start(t, controllers, entries, targets, prepareTarget)
	return f
}

// start starts a fleet whose settings are complete.
func (f *fleet) start(t *testing.T, controllers, entries, targets int, prepareTarget func(o *speaker.Target)) {
	t.Helper()
	is := is.New(t)
	is.NoErr(f.StartPlatformSystem(controllers, entries))
	f.operator = &speaker.Operator{Controllers: f.PlatformURLs()}
	for i := range targets {
		target := &speaker.Target{
			ID: fmt.Sprintf("t%d", i+1), Service: service, Zone: f.Places[i%len(f.Places)].Zone, Slots: 3,
			Work: 10 * time.Millisecond, Controllers: f.PlatformURLs(),
		}
		prepareTarget(target)
		is.NoErr(target.Start("127.0.0.1"))
		t.Cleanup(target.Kill)
		f.targets = append(f.targets, target)
	}
	until(t, "the first plan is in force", func() bool {
		return f.operator.Put(context.Background(), speaker.Plan(1, 0, service)) == http.StatusOK
	})
	until(t, "all entry instances have the plan", func() bool {
		for i := range f.Entries {
			if !speaker.Ready(context.Background(), f.ReadyAddress(i)) {
				return false
			}
		}
		return true
	})
	until(t, "a request is served", func() bool {
		return f.client(0).Send(context.Background(), http.MethodGet, "/safe/1", "k", "").Complete
	})
}

func (f *fleet) client(i int) *speaker.Client {
	place := f.Places[i%len(f.Places)]
	return &speaker.Client{
		Name: fmt.Sprintf("client%d-%d", i, time.Now().UnixNano()), Region: place.Region, Zone: place.Zone,
		Directories: f.PlatformURLs(),
	}
}

// load sends requests from several callers. The returned function stops them and returns all answers.
func (f *fleet) load(callers int) (stop func() []speaker.Answer) {
	return f.loadWith(callers, func(*speaker.Client) {})
}

// loadWith is load with a function that prepares each client.
func (f *fleet) loadWith(callers int, prepare func(c *speaker.Client)) (stop func() []speaker.Answer) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var all []speaker.Answer
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			c := f.client(i)
			prepare(c)
			for n := 0; ctx.Err() == nil; n++ {
				method, path := http.MethodGet, "/safe/"
				if n%2 == 0 {
					method, path = http.MethodPost, "/once/"
				}
				a := c.Send(context.Background(), method, fmt.Sprintf("%s%d?n=%%2F", path, n%f.objects), fmt.Sprint(n%f.objects), "body")
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				if a.Status == http.StatusTooManyRequests {
					time.Sleep(refusedPause)
				}
			}
		})
	}
	return func() []speaker.Answer {
		cancel()
		group.Wait()
		return all
	}
}

// check fails unless every request received a complete answer and none ran twice.
func (f *fleet) check(t *testing.T, answers []speaker.Answer) {
	t.Helper()
	is := is.New(t)
	for _, a := range answers {
		if !a.Complete {
			t.Errorf("%s was answered with %d %q: %v", a.ID, a.Status, a.Body, a.Err)
		}
	}
	f.checkOnce(t)
	is.True(len(answers) > 100)
}

// checkOnce fails if an attempt ran twice, on the same target or on two targets.
func (f *fleet) checkOnce(t *testing.T) {
	t.Helper()
	runs := map[string]int{}
	for _, target := range f.targets {
		for id, n := range target.Runs() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// Guards against requests that fail or run twice because of planned operations: changes of the plan, departures of
// targets, evacuations, and restarts and reloads of entry instances.
func TestPlannedOperationsOnThePlatform(t *testing.T) {
	f := startFleet(t, 5, 3, 6)
	ctx := context.Background()
	t.Run("changes", func(t *testing.T) {
		is := is.New(t)
		stop := f.load(4)
		for v := 2; v < 12; v++ {
			is.Equal(f.operator.Put(ctx, speaker.Plan(v, v-1, service)), http.StatusOK)
			is.Equal(f.operator.Put(ctx, speaker.Plan(v, v-1, service)), http.StatusOK) // resent, as after a lost answer
			is.Equal(f.operator.Put(ctx, speaker.Plan(v, v-1, "nope")), http.StatusBadRequest)
		}
		is.Equal(f.operator.Put(ctx, speaker.Plan(30, 5, service)), http.StatusPreconditionFailed)
		is.Equal(f.operator.Version(ctx), "r11")
		time.Sleep(time.Second)
		f.check(t, stop())
	})
	t.Run("a target leaves", func(t *testing.T) {
		is := is.New(t)
		stop := f.load(4)
		acked, err := f.targets[0].Leave(ctx)
		is.NoErr(err)
		time.Sleep(3 * time.Second)
		f.check(t, stop())
		is.True(f.targets[0].LastRequest().Sub(acked) < 2500*time.Millisecond)
	})
	t.Run("a zone is evacuated and used again", func(t *testing.T) {
		is := is.New(t)
		stop := f.load(4)
		zone := f.targets[1].Zone
		is.Equal(f.operator.Evacuate(ctx, zone, true), http.StatusOK)
		acked := time.Now()
		time.Sleep(2 * time.Second)
		is.True(f.targets[1].LastRequest().Sub(acked) < time.Second)
		is.Equal(f.operator.Evacuate(ctx, zone, false), http.StatusOK)
		until(t, "the evacuated zone is used again", func() bool {
			return f.targets[1].LastRequest().After(acked.Add(2 * time.Second))
		})
		f.check(t, stop())
	})
	t.Run("entry instances are stopped and reloaded in turn", func(t *testing.T) {
		is := is.New(t)
		stop := f.load(4)
		for i, e := range f.Entries {
			is.NoErr(syscall.Kill(e.PID(), syscall.SIGHUP))
			time.Sleep(200 * time.Millisecond)
			is.NoErr(e.Stop(timeout))
			is.NoErr(f.StartPlatformEntry(i))
			until(t, "the entry instance is ready", func() bool {
				return speaker.Ready(context.Background(), f.ReadyAddress(i))
			})
		}
		f.check(t, stop())
	})
}

// All controllers are killed at the same time, and one of them loses its disk. Acknowledged changes must be there after
// the restart, requests must be served meanwhile, and the controller with the empty disk must become a voter again.
func TestControllersFailOnThePlatform(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 5, 2, 4)
	ctx := context.Background()
	is.Equal(f.operator.Put(ctx, speaker.Plan(7, 1, service)), http.StatusOK)
	stop := f.load(3)
	time.Sleep(time.Second) // until callers have looked up their entry instances
	for _, c := range f.Controllers {
		c.Kill()
	}
	is.NoErr(os.RemoveAll(f.DataFolder(0)))
	time.Sleep(time.Second)
	for i := range f.Controllers {
		is.NoErr(f.StartPlatformController(i, false))
	}
	until(t, "the plan is read back", func() bool { return f.operator.Version(ctx) == "r7" })
	f.check(t, stop())
	// After two more losses three of five voters remain, a majority, only if the controller with the empty disk votes
	// again.
	time.Sleep(5 * time.Second)
	f.Controllers[1].Kill()
	f.Controllers[2].Kill()
	until(t, "a change is accepted by the remaining controllers", func() bool {
		return f.operator.Put(ctx, speaker.Plan(8, 7, service)) == http.StatusOK
	})
	is.Equal(f.operator.Version(ctx), "r8")
}

// Entry instances and targets are killed under load. Some requests may fail, but no request may run twice, and a
// request that is answered as not run must not have run.
func TestKillsOnThePlatform(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, 3, 6)
	stop := f.load(6)
	for i := range f.Entries {
		time.Sleep(300 * time.Millisecond)
		f.Entries[i].Kill()
		is.NoErr(f.StartPlatformEntry(i))
		f.targets[i].Kill()
		until(t, "the entry instance is ready", func() bool { return speaker.Ready(context.Background(), f.ReadyAddress(i)) })
	}
	time.Sleep(time.Second)
	answers := stop()
	f.checkOnce(t)
	complete := 0
	for _, a := range answers {
		if a.Complete {
			complete++
		}
		if a.Status == http.StatusServiceUnavailable {
			for _, target := range f.targets {
				is.Equal(target.Runs()[a.ID], 0)
			}
		}
	}
	is.True(complete > len(answers)*8/10)
}

// Guards against controllers whose planned stop fails while callers are served: the process ends with an error, and its
// log may not be closed.
func TestPlannedStopsOfControllersUnderLoad(t *testing.T) {
	f := startFleet(t, 3, 4, 6)
	stop := f.load(8)
	for round := range 2 {
		for i := range 3 {
			is := is.New(t)
			is.NoErr(f.Controllers[i].Stop(10 * time.Second))
			is.NoErr(f.StartPlatformController(i, false))
			until(t, fmt.Sprintf("a plan is accepted in round %d without controller %d", round, i), func() bool {
				v := 2 + 3*round + i
				return f.operator.Put(context.Background(), speaker.Plan(v, v-1, service)) == http.StatusOK
			})
		}
	}
	f.check(t, stop())
}
