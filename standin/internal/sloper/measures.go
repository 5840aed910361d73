package sloper

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/balancer"
	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/chooser"
	"chervilrail.example/core/claimer"
	"chervilrail.example/core/granter"
	"chervilrail.example/core/keeper"
	"chervilrail.example/core/mapper"
	"chervilrail.example/core/registrar"
	"chervilrail.example/core/storer"
	"chervilrail.example/core/wire"
)

const (
	rounds      = 5
	lookups     = 200_000
	limitCount  = 20
	holderLease = 4 * time.Second
	microsecond = float64(time.Microsecond)
)

func measures() []func() []*Series {
	return []func() []*Series{
		clientBlocks, lookupCost, heartbeats, grantRounds, members, targets,
		changes, claims, snapshots, commits, choices,
	}
}

func blocks(n int) []mapper.Block {
	random := rand.New(rand.NewPCG(1, 21))
	out := make([]mapper.Block, n)
	for i := range out {
		address := netip.AddrFrom4([4]byte{byte(i >> 16), byte(i >> 8), byte(i), 0})
		out[i] = mapper.Block{Prefix: netip.PrefixFrom(address, 24), Site: mapper.Site(random.IntN(930))}
	}
	return out
}

// clientBlocks measures the table of client blocks up to the full size that the system is designed for.
func clientBlocks() []*Series {
	memory := &Series{Name: "client-block table, memory", Unit: "bytes", Per: "block"}
	find := &Series{Name: "client-block look-up", Unit: "ns", Per: "million blocks"}
	build := &Series{Name: "client-block table, build", Unit: "ms", Per: "million blocks"}
	random := rand.New(rand.NewPCG(2, 22))
	for _, n := range []int{100_000, 1_000_000, 2_000_000, 3_100_000} {
		input := blocks(n)
		var table *mapper.Table
		took := minTime(1, 1, func() { table = mapper.Build(input) })
		build.add(n, float64(took)/float64(time.Millisecond))
		table = nil
		memory.add(n, heapGrowth(func() any {
			table = mapper.Build(input)
			return table
		}))
		runtime.KeepAlive(input)
		addresses := make([]netip.Addr, 1<<16)
		for i := range addresses {
			v := random.Uint32() % uint32(n<<8)
			addresses[i] = netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)})
		}
		i := 0
		find.add(n, float64(minTime(rounds, lookups, func() {
			table.Find(addresses[i&(1<<16-1)])
			i++
		})))
	}
	return []*Series{memory, inMillions(find), inMillions(build)}
}

func inMillions(s *Series) *Series {
	for i := range s.Sizes {
		s.Sizes[i] /= 1e6
	}
	return s
}

func lookupCost() []*Series {
	out := &Series{Name: "choice of entry instances", Unit: "ns", Per: "instance in the list"}
	for _, n := range []int{8, 12, 100, 930} {
		var instances []chooser.Instance
		for i := range n {
			instances = append(instances, chooser.Instance{
				Name: fmt.Sprint("e", i), Region: fmt.Sprint("r", i%17), Zone: fmt.Sprint("z", i%47), Spare: 10,
			})
		}
		l := chooser.New(instances, []string{"r0", "r1"}, strings.Compare)
		client := netip.MustParseAddr("10.1.2.3")
		var chosen [chooser.MaxAnswers]*chooser.Instance
		out.add(n, float64(minTime(rounds, 20_000, func() { l.Choose(client, "r0", &chosen) })))
	}
	return []*Series{out}
}

func instance(i int) *wire.Node {
	return &wire.Node{
		Name: fmt.Sprintf("instance-%05d", i), Incarnation: rand.Uint64(), Caller: "127.100.100.100:8000",
		Peer: "127.100.100.100:8002", Region: "valle-central", Zone: "valle-central-a", Number: 100_000, Spare: 100,
	}
}

func holdings(n int) []*wire.Holding {
	var out []*wire.Holding
	for i := range n {
		out = append(out, &wire.Holding{
			Resource: fmt.Sprintf("region:region-%02d", i), Held: 1000, Wanted: 1200, Used: 900,
		})
	}
	return out
}

// heartbeats measures the size of a lease renewal and its answer by the number of limits, and the size of the roster by
// the number of instances.
func heartbeats() []*Series {
	request := &Series{Name: "heartbeat, there and back", Unit: "bytes", Per: "shared limit"}
	roster := &Series{Name: "roster in an answer", Unit: "bytes", Per: "instance"}
	for _, n := range []int{5, 20, 80} {
		r := &wire.RenewRequest{
			Node: instance(1), Sequence: 1 << 30, Holdings: holdings(n), Group: rand.Uint64(), Roster: rand.Uint64(),
		}
		a := &wire.RenewResponse{
			Sequence: 1 << 30, Group: r.GetGroup(), Number: 100_000, Roster: r.GetRoster(), Lease: int64(holderLease),
		}
		for _, h := range r.GetHoldings() {
			a.Grants = append(a.Grants, &wire.Grant{Resource: h.GetResource(), Share: 1000})
		}
		request.add(n, float64(proto.Size(r)+proto.Size(a)))
	}
	for _, n := range []int{12, 100, 1000} {
		a := &wire.RenewResponse{}
		for i := range n {
			a.Nodes = append(a.Nodes, instance(i))
		}
		roster.add(n, float64(proto.Size(a)))
	}
	return []*Series{request, roster}
}

func limits(n int) []cataloguer.Limit {
	var out []cataloguer.Limit
	for i := range n {
		out = append(out, cataloguer.Limit{Resource: fmt.Sprintf("region:region-%02d", i), Cap: 1_000_000, Floor: 10})
	}
	return out
}

// grantRounds measures one renewal by the number of holders, because a renewal iterates over all other holders.
func grantRounds() []*Series {
	out := &Series{Name: "one renewal of 20 limits at the leader", Unit: "µs", Per: "holder"}
	for _, n := range []int{12, 48, 200, 800} {
		g := &granter.Granter{Lease: holderLease}
		g.SetLimits(limits(limitCount))
		now := time.Now()
		var sequence uint64
		renew := func(i int) {
			sequence++
			_, _ = g.Renew(now, granter.HolderID{Name: fmt.Sprint(i), Incarnation: 1}, sequence, holdings(limitCount))
		}
		for i := range n {
			renew(i)
		}
		i := 0
		out.add(n, float64(minTime(rounds, 50, func() { renew(i % n); i++ }))/microsecond)
	}
	return []*Series{out}
}

func members() []*Series {
	out := &Series{Name: "leader's memory with 20 limits", Unit: "bytes", Per: "member"}
	for _, n := range []int{100, 500, 1000} {
		out.add(n, heapGrowth(func() any {
			g := &granter.Granter{Lease: holderLease}
			g.SetLimits(limits(limitCount))
			var instances []*wire.Node
			for i := range n {
				instances = append(instances, instance(i))
				_, _ = g.Renew(time.Now(), granter.HolderID{Name: instances[i].GetName(), Incarnation: 1}, 1, holdings(limitCount))
			}
			return []any{g, instances}
		}))
	}
	return []*Series{out}
}

func record(i int) *wire.Record {
	return &wire.Record{
		Name: fmt.Sprintf("target-%05d", i), Incarnation: rand.Uint64(), Sequence: 1, Service: "inscripciones",
		Address: "127.100.100.100:9000", Region: "valle-central", Zone: "valle-central-a", Slots: 6, Load: 3,
	}
}

func targets() []*Series {
	memory := &Series{Name: "register of targets", Unit: "bytes", Per: "target"}
	forwarded := &Series{Name: "announcements passed on", Unit: "bytes", Per: "target"}
	for _, n := range []int{64, 1000, 10_000} {
		memory.add(n, heapGrowth(func() any {
			g := &registrar.Registrar{}
			for i := range n {
				g.Merge(time.Now(), record(i))
			}
			return g
		}))
		r := &wire.ShareRequest{}
		for i := range n {
			r.Records = append(r.Records, record(i))
		}
		forwarded.add(n, float64(proto.Size(r)))
	}
	return []*Series{memory, forwarded}
}

// catalogue returns a catalogue with the given number of entries, spread over 17 regions.
func catalogue(entries int) []byte {
	var b strings.Builder
	for i := range 17 {
		fmt.Fprintf(&b, "[region region-%02d]\nzones = z-%02d-a, z-%02d-b, z-%02d-c\ncap = 100000\nfloor = 10\n\n", i, i, i, i)
	}
	for i := range entries {
		fmt.Fprintf(&b, "[service service-%04d]\nregions = region-%02d, region-%02d\n\n", i, i%17, (i+1)%17)
		fmt.Fprintf(&b, "[entry entry-%04d]\nservice = service-%04d\nowner = owner-%04d\nclass = browse\nrate = 1000\n\n", i, i, i)
	}
	return []byte(b.String())
}

func changes() []*Series {
	size := &Series{Name: "catalogue text, sent whole with a change", Unit: "bytes", Per: "entry"}
	parse := &Series{Name: "reading a catalogue", Unit: "µs", Per: "entry"}
	for _, n := range []int{50, 200, 1000} {
		text := catalogue(n)
		size.add(n, float64(len(text)))
		parse.add(n, float64(minTime(3, 1, func() {
			if _, err := cataloguer.Parse("slope", text); err != nil {
				panic(err)
			}
		}))/microsecond)
	}
	return []*Series{size, parse}
}

func claim(i int, now time.Time) *wire.Claim {
	return &wire.Claim{
		Scope: "bookings/dumpling-club", Key: fmt.Sprintf("0190a0b0-0000-7000-8000-%012d", i), Issued: now.UnixMilli(),
		Fingerprint: make([]byte, 32), Holder: "entry-1", Token: uint64(i), Deadline: now.UnixMilli(),
	}
}

func fillLedger(l *claimer.Ledger, from, to int, now time.Time) {
	for i := from; i < to; i++ {
		c := claim(i, now)
		l.Claim(now, c)
		l.Settle(now, &wire.Settle{
			Scope: c.GetScope(), Key: c.GetKey(), Holder: c.GetHolder(), Token: c.GetToken(),
			Outcome: &wire.Outcome{Status: 200, Body: make([]byte, 200)},
		})
	}
}

func claims() []*Series {
	memory := &Series{Name: "ledger with answers of 200 bytes", Unit: "bytes", Per: "claim"}
	cost := &Series{Name: "claim and settle in the ledger", Unit: "ns", Per: "thousand claims held"}
	now := time.Now()
	for _, n := range []int{1000, 10_000, 50_000} {
		l := &claimer.Ledger{MaxBytes: 1 << 40}
		memory.add(n, heapGrowth(func() any {
			fillLedger(l, 0, n, now)
			return l
		}))
		start := time.Now()
		fillLedger(l, n, n+1000, now)
		cost.add(n, float64(time.Since(start))/1000)
	}
	for i := range cost.Sizes {
		cost.Sizes[i] /= 1000
	}
	return []*Series{memory, cost}
}

func snapshots() []*Series {
	size := &Series{Name: "snapshot", Unit: "bytes", Per: "claim"}
	write := &Series{Name: "snapshot, encode", Unit: "µs", Per: "claim"}
	read := &Series{Name: "snapshot, restore", Unit: "µs", Per: "claim"}
	now := time.Now()
	for _, n := range []int{1000, 10_000, 50_000} {
		k := &keeper.Keeper{}
		k.Ledger.MaxBytes = 1 << 40
		fillLedger(&k.Ledger, 0, n, now)
		var data []byte
		write.add(n, float64(minTime(3, 1, func() { data, _ = k.Snapshot() }))/microsecond)
		size.add(n, float64(len(data)))
		read.add(n, float64(minTime(3, 1, func() { _ = (&keeper.Keeper{}).Restore(data) }))/microsecond)
	}
	return []*Series{size, write, read}
}

// commits measures a synced write to disk by the number of commands in it.
func commits() []*Series {
	out := &Series{Name: "synced write of a batch", Unit: "µs", Per: "command of 200 bytes"}
	folder, err := os.MkdirTemp("", "slope")
	if err != nil {
		return nil
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s := &storer.Storer{Folder: folder}
	if _, err := s.Open(); err != nil {
		return nil
	}
	defer func() { _ = s.Close() }()
	var index uint64
	for _, n := range []int{1, 16, 64, 256} {
		out.add(n, float64(minTime(rounds, 20, func() {
			var batch []*wire.Entry
			for range n {
				index++
				batch = append(batch, &wire.Entry{Index: index, Term: 1, Data: make([]byte, 200)})
			}
			_ = s.Save(nil, batch)
		}))/microsecond)
	}
	return []*Series{out}
}

func choices() []*Series {
	out := &Series{Name: "choice of a target", Unit: "ns", Per: "target in the tier"}
	for _, n := range []int{12, 32, 200, 1000} {
		p := &balancer.Pool{Tiers: []balancer.Tier{{Region: "r"}}}
		for i := range n {
			u := &balancer.Target{Name: fmt.Sprint(i), Region: "r", Slots: 3}
			u.SetOwnSlots(u.Slots)
			p.Tiers[0].Targets = append(p.Tiers[0].Targets, u)
		}
		b := &balancer.Balancer{Random: rand.New(rand.NewPCG(1, 23)).Uint64}
		now := time.Now()
		out.add(n, float64(minTime(rounds, lookups, func() { b.Choose(now, p, "r", nil).Release() })))
	}
	return []*Series{out}
}
