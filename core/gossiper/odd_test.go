package gossiper

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// oddRecord returns a record with random values that no check at the edge has seen.
func oddRecord(random *rand.Rand) *wire.Record {
	numbers := []uint64{0, 1, 1 << 62, 1 << 63, math.MaxUint64, random.Uint64()}
	number := func() uint64 { return numbers[random.IntN(len(numbers))] }
	texts := []string{"", "odd", "t\xff", "\x00", "10.0.0.9:0", "[fe80::1%x]:80", "listings", "z"}
	text := func() string { return texts[random.IntN(len(texts))] }
	return &wire.Record{
		Name: "odd" + text(), Incarnation: number(), Sequence: number(), Service: text(), Address: text(), Region: text(),
		Zone: text(), Slots: int32(number()), Load: int32(number()), State: wire.TargetState(int32(random.IntN(8) - 2)),
		Cold: int64(number()), Overrides: number(), Silent: number() == 0, Displaced: number() == 0,
	}
}

// Guards against controllers that end, or stop passing on what sound targets say, because another controller has passed on
// odd entries.
func TestOddRecordsStopNoOthers(t *testing.T) {
	const rounds = 2000
	is := is.New(t)
	random := rand.New(rand.NewPCG(60, 3))
	c := newCluster(3)
	for i := range rounds {
		odd := &wire.ExchangeRequest{From: "c1", Seen: []*wire.Seen{
			{}, {Age: math.MinInt64}, {Age: math.MaxInt64, Node: &wire.Node{Name: fmt.Sprint("e", i%5)}},
		}}
		for range 3 {
			odd.Records = append(odd.Records, oddRecord(random))
		}
		c.controllers[0].HandleRequest(c.now, odd)
		c.controllers[0].Announce(c.now, record("sound1", 5, uint64(i+1), ready))
		c.exchangeAll(100 * time.Millisecond)
		m := c.controllers[0].BuildRequest(c.now, "c2")
		_, err := proto.Marshal(m)
		is.NoErr(err)
	}
	c.controllers[0].Announce(c.now, record("sound1", 5, rounds+1, leaving))
	for range 20 { // what is repaired again and again is spaced out
		c.exchangeAll(time.Second)
	}
	for i := range c.controllers {
		is.Equal(c.state(i, "sound1"), leaving)
	}
}
