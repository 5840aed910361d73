// Package mapper maps client addresses to sites with a compact sorted table of address blocks.
package mapper

import (
	"encoding/binary"
	"math"
	"net/netip"
	"sort"
)

// Site is an index into a list that the caller keeps.
type Site uint16

// None means that no block covers an address.
const None Site = 0xffff

// Block assigns the nearest site to a block of addresses.
type Block struct {
	Prefix netip.Prefix
	Site   Site
}

// Table maps addresses to sites. It is immutable and holds the start and the site of every range of addresses, in 6
// bytes for IPv4 and in 10 bytes for IPv6, of whose addresses only the upper 64 bits are compared.
type Table struct {
	starts4 []uint32
	sites4  []Site
	starts6 []uint64
	sites6  []Site
	index4  []int32
}

// indexBits is the number of leading bits of an IPv4 address that select the part of the table to search.
const (
	indexBits  = 16
	ipv4Bits   = 32
	upperBytes = 8
	upperBits  = 64
)

// Build returns the table of the given blocks. Where blocks are nested, the longest prefix that covers an address wins.
func Build(blocks []Block) *Table {
	var ipv4Spans, ipv6Spans []span
	for _, b := range blocks {
		p := b.Prefix.Masked()
		if p.Addr().Is4() {
			first := uint64(binary.BigEndian.Uint32(p.Addr().AsSlice()))
			size := uint64(1) << (ipv4Bits - p.Bits())
			ipv4Spans = append(ipv4Spans, span{first, first + size - 1, p.Bits(), b.Site})
			continue
		}
		bytes := p.Addr().As16()
		first := binary.BigEndian.Uint64(bytes[:upperBytes])
		bits := min(p.Bits(), upperBits)
		last := first
		if bits < upperBits {
			last = first | (1<<(upperBits-bits) - 1)
		}
		ipv6Spans = append(ipv6Spans, span{first, last, bits, b.Site})
	}
	t := &Table{}
	for _, s := range flatten(ipv4Spans, math.MaxUint32) {
		t.starts4 = append(t.starts4, uint32(s.first))
		t.sites4 = append(t.sites4, s.site)
	}
	for _, s := range flatten(ipv6Spans, math.MaxUint64) {
		t.starts6 = append(t.starts6, s.first)
		t.sites6 = append(t.sites6, s.site)
	}
	t.buildIndex()
	return t
}

// span is a range of addresses with the length of its prefix in bits.
type span struct {
	first uint64
	last  uint64
	bits  int
	site  Site
}

// flatten turns nested blocks into consecutive ranges; each ends where the next starts.
func flatten(spans []span, lastAddress uint64) []span {
	sort.Slice(spans, func(i, j int) bool {
		if spans[i].first != spans[j].first {
			return spans[i].first < spans[j].first
		}
		return spans[i].bits < spans[j].bits
	})
	var out []span
	var enclosing []span
	emit := func(first uint64, site Site) {
		if n := len(out); n > 0 && out[n-1].first == first {
			out[n-1].site = site
			return
		}
		if n := len(out); n > 0 && out[n-1].site == site {
			return
		}
		out = append(out, span{first: first, site: site})
	}
	closeBefore := func(limit uint64, all bool) {
		for len(enclosing) > 0 && (all || enclosing[len(enclosing)-1].last < limit) {
			end := enclosing[len(enclosing)-1].last
			enclosing = enclosing[:len(enclosing)-1]
			if end == lastAddress {
				// No address follows the last one; its successor would wrap around to the first.
				continue
			}
			site := None
			if n := len(enclosing); n > 0 {
				site = enclosing[n-1].site
			}
			emit(end+1, site)
		}
	}
	for _, s := range spans {
		closeBefore(s.first, false)
		emit(s.first, s.site)
		enclosing = append(enclosing, s)
	}
	closeBefore(0, true)
	return out
}

func (t *Table) buildIndex() {
	t.index4 = make([]int32, 1<<indexBits+1)
	at := 0
	for i := range t.index4 {
		limit := uint64(i) << (ipv4Bits - indexBits)
		for at < len(t.starts4) && uint64(t.starts4[at]) < limit {
			at++
		}
		t.index4[i] = int32(at)
	}
}

// Len returns the number of address ranges in the table.
func (t *Table) Len() int { return len(t.starts4) + len(t.starts6) }

// Find returns the site of an address, or None if no block covers it.
func (t *Table) Find(address netip.Addr) Site {
	address = address.Unmap()
	if address.Is4() {
		bytes := address.As4()
		return t.find4(binary.BigEndian.Uint32(bytes[:]))
	}
	bytes := address.As16()
	upper := binary.BigEndian.Uint64(bytes[:upperBytes])
	at := sort.Search(len(t.starts6), func(i int) bool { return t.starts6[i] > upper })
	if at == 0 {
		return None
	}
	return t.sites6[at-1]
}

func (t *Table) find4(address uint32) Site {
	prefix := address >> (ipv4Bits - indexBits)
	low, high := int(t.index4[prefix]), int(t.index4[prefix+1])
	for low < high {
		middle := (low + high) / 2
		if t.starts4[middle] <= address {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return None
	}
	return t.sites4[low-1]
}
