package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/reflect/protoreflect"

	"chervilrail.example/core/wire"
)

// cluster is a set of controllers whose messages the test delivers.
type cluster struct {
	now          time.Time
	controllers  []*Gossiper
	disconnected map[string]bool
}

func newCluster(n int) *cluster {
	r := &cluster{now: time.Unix(1000, 0), disconnected: map[string]bool{}}
	for i := range n {
		r.controllers = append(r.controllers, &Gossiper{Self: fmt.Sprintf("c%d", i), Run: uint64(i + 1)})
	}
	return r
}

// exchangeAll advances the clock, lets every connected pair exchange once, and returns how many records were sent.
func (r *cluster) exchangeAll(d time.Duration) int {
	r.now = r.now.Add(d)
	sent := 0
	for _, from := range r.controllers {
		from.Tick(r.now)
		for _, to := range r.controllers {
			if from == to || r.disconnected[from.Self] || r.disconnected[to.Self] {
				continue
			}
			m := from.BuildRequest(r.now, to.Self)
			sent += len(m.GetRecords())
			from.HandleResponse(r.now, to.Self, to.HandleRequest(r.now, m))
		}
	}
	return sent
}

func record(name string, incarnation, sequence uint64, state wire.TargetState) *wire.Record {
	return &wire.Record{
		Name: name, Incarnation: incarnation, Sequence: sequence, Service: "listings", Slots: 3,
		Address: "10.0.0.1:80" + name[len(name)-1:], Zone: "z", State: state,
	}
}

const (
	ready   = wire.TargetState_TARGET_READY
	leaving = wire.TargetState_TARGET_LEAVING
)

func (r *cluster) state(i int, name string) wire.TargetState {
	record, _ := r.controllers[i].Target(name)
	return record.GetState()
}

// A target announces to one controller that it leaves; two others receive it, so it is acknowledged. Then the receiving
// controller is cut off. The remaining controllers must learn of it from those two, or requests still reach a target
// that was assured it receives none.
func TestLeavingSurvivesLossOfTheReceivingController(t *testing.T) {
	is := is.New(t)
	r := newCluster(5)
	r.controllers[0].Announce(r.now, record("t1", 1, 1, ready))
	r.exchangeAll(Period)
	r.disconnected["c3"], r.disconnected["c4"] = true, true
	counter := r.controllers[0].Announce(r.now, record("t1", 1, 2, leaving))
	r.exchangeAll(Period)
	is.True(r.controllers[0].HasAcknowledged("c1", counter) && r.controllers[0].HasAcknowledged("c2", counter))
	is.True(!r.controllers[0].HasAcknowledged("c3", counter))
	r.disconnected = map[string]bool{"c0": true}
	for range 4 {
		r.exchangeAll(Period)
	}
	is.Equal(r.state(3, "t1"), leaving)
	is.Equal(r.state(4, "t1"), leaving)
}

// Guards against a leave that is acknowledged although the others never received it: the target announces it to one
// controller, gets no answer as that one is cut off, and repeats it at another that has received it in between. Requests
// reach the target from all instances whose controllers do not know.
func TestRepeatedLeaveIsAcknowledgedByThoseThatHoldIt(t *testing.T) {
	is := is.New(t)
	r := newCluster(5)
	r.controllers[0].Announce(r.now, record("t1", 1, 1, ready))
	r.exchangeAll(Period)
	r.disconnected["c2"], r.disconnected["c3"], r.disconnected["c4"] = true, true, true
	r.controllers[0].Announce(r.now, record("t1", 1, 2, leaving))
	r.exchangeAll(Period)
	is.Equal(r.state(1, "t1"), leaving)
	r.disconnected = map[string]bool{"c0": true}
	counter := r.controllers[1].Announce(r.now, record("t1", 1, 2, leaving))
	r.exchangeAll(Period)
	for i := 2; i < 5; i++ {
		is.True(r.controllers[1].HasAcknowledged(r.controllers[i].Self, counter))
		is.Equal(r.state(i, "t1"), leaving)
	}
}

// Guards against a leave that some controllers learn of seconds after its acknowledgement: the controller that received
// it has passed it on to a majority and dies. Their instances go on sending requests to the target until the others
// notice that their records differ.
func TestLeaveIsPassedOnByAllThatReceiveIt(t *testing.T) {
	is := is.New(t)
	r := newCluster(5)
	r.controllers[0].Announce(r.now, record("t1", 1, 1, ready))
	r.exchangeAll(Period)
	r.disconnected["c3"], r.disconnected["c4"] = true, true
	counter := r.controllers[0].Announce(r.now, record("t1", 1, 2, leaving))
	r.exchangeAll(Period)
	is.True(r.controllers[0].HasAcknowledged("c1", counter) && r.controllers[0].HasAcknowledged("c2", counter))
	r.disconnected = map[string]bool{"c0": true}
	r.exchangeAll(Period)
	is.Equal(r.state(3, "t1"), leaving)
	is.Equal(r.state(4, "t1"), leaving)
}

// Hundreds of targets announce themselves every second. Forwarding each announcement would overload the small
// controllers, so only changes are sent, and only by the controller that received them.
func TestUnchangedAnnouncementsAreNotForwarded(t *testing.T) {
	is := is.New(t)
	r := newCluster(5)
	for seq := uint64(1); seq < 6; seq++ {
		for i := range 9 {
			r.controllers[i%5].Announce(r.now, record(fmt.Sprintf("t%d", i), 1, seq, ready))
		}
		sent := r.exchangeAll(Period)
		if seq == 1 {
			is.Equal(sent, 9*4)
			continue
		}
		is.Equal(sent, 0)
	}
}

// A restarted controller has lost its state. Unless all records are sent to it again, entry instances that turn to it
// never learn of the targets.
func TestRestartedControllerReceivesAllRecords(t *testing.T) {
	is := is.New(t)
	r := newCluster(3)
	r.controllers[0].Announce(r.now, record("t1", 1, 1, ready))
	r.controllers[1].Announce(r.now, record("t2", 1, 1, leaving))
	r.exchangeAll(Period)
	r.controllers[2] = &Gossiper{Self: "c2", Run: 99}
	r.exchangeAll(Period)
	r.exchangeAll(Period)
	_, first := r.controllers[2].Target("t1")
	is.True(first)
	is.Equal(r.state(2, "t2"), leaving)
}

// A target that stops announcing itself goes out of use within seconds on all controllers. When all targets stop at
// once, the controller has lost its own connections, and traffic must go on.
func TestSilentTargets(t *testing.T) {
	announce := func(r *cluster, names []string, seq uint64) {
		for _, name := range names {
			r.controllers[0].Announce(r.now, record(name, 1, seq, ready))
		}
	}
	t.Run("one", func(t *testing.T) {
		is := is.New(t)
		r := newCluster(3)
		announce(r, []string{"t1", "t2", "t3"}, 1)
		for seq := uint64(2); seq < 30; seq++ {
			r.exchangeAll(Period)
			announce(r, []string{"t1", "t2"}, seq)
		}
		for _, g := range r.controllers {
			got, _ := g.Target("t3")
			is.True(got.GetSilent())
			got, _ = g.Target("t1")
			is.True(!got.GetSilent())
		}
		announce(r, []string{"t3"}, 2)
		r.exchangeAll(Period)
		got, _ := r.controllers[2].Target("t3")
		is.True(!got.GetSilent())
	})
	t.Run("all", func(t *testing.T) {
		is := is.New(t)
		r := newCluster(3)
		announce(r, []string{"t1", "t2", "t3"}, 1)
		for range 40 {
			r.exchangeAll(Period)
		}
		got, _ := r.controllers[1].Target("t3")
		is.True(!got.GetSilent())
	})
}

// A target that announces itself to another controller must not be marked silent by the former one.
func TestTargetThatMovesIsNotSilent(t *testing.T) {
	is := is.New(t)
	r := newCluster(3)
	r.controllers[0].Announce(r.now, record("t1", 1, 1, ready))
	r.exchangeAll(Period)
	for seq := uint64(2); seq < 30; seq++ {
		r.controllers[1].Announce(r.now, record("t1", 1, seq, ready))
		r.controllers[0].Announce(r.now, record("t2", 1, seq, ready))
		r.controllers[0].Announce(r.now, record("t3", 1, seq, ready))
		r.exchangeAll(Period)
	}
	for _, g := range r.controllers {
		got, _ := g.Target("t1")
		is.True(!got.GetSilent())
	}
}

// Callers must not be sent to a stopped entry instance for longer than a few seconds, whichever controller they ask.
func TestStoppedEntryInstanceExpires(t *testing.T) {
	is := is.New(t)
	r := newCluster(3)
	n := &wire.Node{Name: "e1", Caller: "10.0.0.9:80"}
	r.controllers[0].ObserveInstance(r.now, n)
	r.exchangeAll(Period)
	is.Equal(len(r.controllers[2].Instances(r.now)), 1)
	for range int(instanceTimeout/Period) + 1 {
		r.exchangeAll(Period)
	}
	for _, g := range r.controllers {
		is.Equal(len(g.Instances(r.now)), 0)
	}
}

func TestWatcherReceivesOnlyChanges(t *testing.T) {
	is := is.New(t)
	r := newCluster(1)
	g := r.controllers[0]
	g.Announce(r.now, record("t1", 1, 1, ready))
	g.ObserveInstance(r.now, &wire.Node{Name: "e1"})
	changes := g.ChangesSince(r.now, Position{0, 0}, g.Counter(), 0)
	is.Equal(len(changes.Records), 1)
	is.Equal(len(changes.Seen), 1)
	at := g.Counter()
	g.Announce(r.now, record("t1", 1, 2, ready))
	g.ObserveInstance(r.now.Add(time.Second), &wire.Node{Name: "e1"})
	is.Equal(g.Counter(), at)
	g.ReportLosses(r.now, []*wire.Loss{{Fingerprint: []byte("x"), Target: "t1"}}, true)
	changes = g.ChangesSince(r.now, Position{at, at}, g.Counter(), 0)
	is.Equal(len(changes.Records)+len(changes.Seen), 0)
	is.Equal(len(changes.Losses), 1)
}

// announceMany has targets announce themselves to a controller, each at an address of its own.
func announceMany(r *cluster, controller, from, to int, sequence uint64) {
	for i := from; i < to; i++ {
		m := record(fmt.Sprintf("t%d", i), 1, sequence, ready)
		m.Address = fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		r.controllers[controller].Announce(r.now, m)
	}
}

// Guards against targets that turn to another controller, as all do that an overloaded one has not answered in time, and
// make all controllers tell all entry instances of it although nothing has changed for them.
func TestMovedTargetsAreSentToControllersOnly(t *testing.T) {
	is := is.New(t)
	r := newCluster(3)
	announceMany(r, 0, 0, 10, 1)
	r.exchangeAll(Period)
	before := []Marks{r.controllers[0].Marks(), r.controllers[1].Marks(), r.controllers[2].Marks()}
	announceMany(r, 1, 0, 10, 2)
	is.Equal(r.exchangeAll(Period), 20) // ten records to each of the two others
	for i, g := range r.controllers {
		is.Equal(g.Marks().Watched, before[i].Watched)
		is.Equal(g.Announces("t3"), i == 1)
	}
}

// Guards against a request with thousands of records, which an overloaded controller does not answer in time, so that it
// is sent again, whole, and the overload never ends.
func TestRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	r := newCluster(2)
	const targets = 3000
	announceMany(r, 0, 0, targets, 1)
	requests := 0
	for r.controllers[0].Pending("c1") {
		m := r.controllers[0].BuildRequest(r.now, "c1")
		is.True(len(m.GetRecords()) <= maxRecords)
		is.Equal(m.GetPartial(), requests < targets/maxRecords)
		r.controllers[0].HandleResponse(r.now, "c1", r.controllers[1].HandleRequest(r.now, m))
		requests++
	}
	is.Equal(requests, targets/maxRecords+1)
	is.True(requests > 2)
	is.Equal(len(r.controllers[1].ChangesSince(r.now, Position{}, r.controllers[1].Counter(), 0).Records), targets)
	is.Equal(r.controllers[0].digest, r.controllers[1].digest)
	is.Equal(r.exchangeAll(Period), 0)
}

// Guards against controllers that send each other all records again and again while targets change all the time: the
// digests differ then although nothing is lost.
func TestRepairsInVainAreSpacedOut(t *testing.T) {
	is := is.New(t)
	r := newCluster(2)
	announceMany(r, 0, 0, 100, 1)
	r.exchangeAll(Period)
	sent := 0
	for i := range 100 {
		announceMany(r, 0, 100+i, 101+i, 1)
		m := r.controllers[1].BuildRequest(r.now, "c0") // before c1 has the new target
		sent += len(m.GetRecords())
		r.controllers[1].HandleResponse(r.now, "c0", r.controllers[0].HandleRequest(r.now, m))
		request := r.controllers[0].BuildRequest(r.now, "c1")
		sent += len(request.GetRecords())
		r.controllers[0].HandleResponse(r.now, "c1", r.controllers[1].HandleRequest(r.now, request))
		r.now = r.now.Add(Period)
	}
	is.True(sent < 12*150) // forty seconds: a repair every 5.6 s, of 150 records on average, and each new target
}

// Guards against a field of the announcement whose change nobody learns of.
func TestDifferComparesAllFields(t *testing.T) {
	changing := map[string]bool{"sequence": true, "load": true, "cold": true}
	fields := (&wire.Record{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		t.Run(string(field.Name()), func(t *testing.T) {
			changed := record("t1", 1, 1, ready)
			m := changed.ProtoReflect()
			switch field.Kind() {
			case protoreflect.StringKind:
				m.Set(field, protoreflect.ValueOfString("other"))
			case protoreflect.BoolKind:
				m.Set(field, protoreflect.ValueOfBool(true))
			case protoreflect.EnumKind:
				m.Set(field, protoreflect.ValueOfEnum(leaving.Number()))
			case protoreflect.Uint64Kind:
				m.Set(field, protoreflect.ValueOfUint64(99))
			case protoreflect.Int32Kind:
				m.Set(field, protoreflect.ValueOfInt32(99))
			case protoreflect.Int64Kind:
				m.Set(field, protoreflect.ValueOfInt64(99))
			default:
				t.Fatal("a kind of field that this test does not set")
			}
			is.New(t).Equal(differ(record("t1", 1, 1, ready), changed), !changing[string(field.Name())])
		})
	}
}
