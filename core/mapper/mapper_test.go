package mapper

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// longestMatch is a naive look-up that compares every block.
func longestMatch(blocks []Block, a netip.Addr) Site {
	best, bits := None, -1
	for _, b := range blocks {
		if b.Prefix.Contains(a) && b.Prefix.Bits() >= bits {
			best, bits = b.Site, b.Prefix.Bits()
		}
	}
	return best
}

func randomBlocks(random *rand.Rand, n int) []Block {
	seen := map[netip.Prefix]bool{}
	var out []Block
	for range n {
		bytes := [4]byte{10, byte(random.IntN(4)), byte(random.IntN(256)), byte(random.IntN(256))}
		p := netip.PrefixFrom(netip.AddrFrom4(bytes), 8+random.IntN(25)).Masked()
		if random.IntN(4) == 0 {
			bytes6 := [16]byte{0x20, 1, byte(random.IntN(2)), byte(random.IntN(4)), 0, 0, byte(random.IntN(2))}
			p = netip.PrefixFrom(netip.AddrFrom16(bytes6), 16+random.IntN(49)).Masked()
		}
		if !seen[p] {
			seen[p] = true
			out = append(out, Block{p, Site(random.IntN(20))})
		}
	}
	return out
}

func randomAddress(random *rand.Rand) netip.Addr {
	if random.IntN(4) == 0 {
		return netip.AddrFrom16([16]byte{0x20, 1, byte(random.IntN(2)), byte(random.IntN(4)), 0, 0, byte(random.IntN(2)), byte(random.IntN(256))})
	}
	return netip.AddrFrom4([4]byte{10, byte(random.IntN(5)), byte(random.IntN(256)), byte(random.IntN(256))})
}

func TestFindEqualsNaiveLookup(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		blocks := randomBlocks(random, 1+random.IntN(60))
		table := Build(blocks)
		for range 200 {
			a := randomAddress(random)
			is.Equal(table.Find(a), longestMatch(blocks, a)) // the seed and the address identify a failure
		}
	}
}

// Guards against a table that wraps around where a block ends with the last address of the address space: clients at
// both ends of the address space were sent to the wrong region.
func TestEndsOfAddressSpace(t *testing.T) {
	is := is.New(t)
	table := Build([]Block{
		{netip.MustParsePrefix("0.0.0.0/0"), 1},
		{netip.MustParsePrefix("255.255.255.0/24"), 2},
		{netip.MustParsePrefix("::/0"), 3},
	})
	is.Equal(table.Find(netip.MustParseAddr("0.0.0.0")), Site(1))
	is.Equal(table.Find(netip.MustParseAddr("255.255.255.255")), Site(2))
	is.Equal(table.Find(netip.MustParseAddr("ffff::1")), Site(3))
	is.Equal(Build(nil).Find(netip.MustParseAddr("1.2.3.4")), None)
}

// largeTable builds a table of n /24 blocks. The benchmark uses as many as the system must support.
func largeTable(n int) *Table {
	random := rand.New(rand.NewPCG(1, 8))
	blocks := make([]Block, n)
	for i := range blocks {
		address := netip.AddrFrom4([4]byte{byte(i >> 16), byte(i >> 8), byte(i), 0})
		blocks[i] = Block{netip.PrefixFrom(address, 24), Site(random.IntN(930))}
	}
	return Build(blocks)
}

func BenchmarkFind(b *testing.B) {
	table := largeTable(3_100_000)
	random := rand.New(rand.NewPCG(2, 9))
	b.ReportAllocs()
	for b.Loop() {
		v := random.Uint32() % (3_100_000 << 8)
		table.Find(netip.AddrFrom4([4]byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)}))
	}
}
