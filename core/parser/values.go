package parser

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	base    = 10
	bitSize = 64
)

// Has reports whether the section contains a key.
func (s *Section) Has(key string) bool {
	_, ok := s.keys[key]
	return ok
}

// String reads a string; an empty fallback makes the key required.
func (d *Document) String(s *Section, key, fallback string) string {
	s.read[key] = true
	if value := s.keys[key]; value != "" {
		return value
	}
	if fallback == "" {
		d.Fault(s, key, "a value", "nothing")
	}
	return fallback
}

// maxName is the length of the longest name in bytes, which is also the limit for a label of a host name.
const maxName = 63

// ValidName reports whether a name is not empty, at most maxName long and holds only letters, digits and hyphens, so
// that it needs no escaping in host names, file names and JSON.
func ValidName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	return strings.IndexFunc(name, func(c rune) bool {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		return !letter && (c < '0' || c > '9') && c != '-'
	}) < 0
}

// Name reads a required name.
func (d *Document) Name(s *Section, key string) string {
	name := d.String(s, key, "")
	if name != "" && !ValidName(name) {
		d.Fault(s, key, "letters, digits and hyphens", strconv.Quote(name))
	}
	return name
}

// Optional reads a string that may be absent.
func (d *Document) Optional(s *Section, key string) string {
	s.read[key] = true
	return s.keys[key]
}

// Number reads a whole number from low to high. A fallback outside this range makes the key required.
func (d *Document) Number(s *Section, key string, fallback, low, high int64) int64 {
	s.read[key] = true
	text, ok := s.keys[key]
	if !ok {
		if fallback < low || fallback > high {
			d.Fault(s, key, rangeText(low, high), "nothing")
		}
		return fallback
	}
	n, err := strconv.ParseInt(text, base, bitSize)
	if err != nil || n < low || n > high {
		d.Fault(s, key, rangeText(low, high), strconv.Quote(text))
		return fallback
	}
	return n
}

func rangeText(low, high int64) string {
	return "a whole number from " + strconv.FormatInt(low, base) + " to " + strconv.FormatInt(high, base)
}

// Float reads a number from low to high.
func (d *Document) Float(s *Section, key string, fallback, low, high float64) float64 {
	s.read[key] = true
	text, ok := s.keys[key]
	if !ok {
		return fallback
	}
	f, err := strconv.ParseFloat(text, bitSize)
	if err != nil || !(f >= low && f <= high) {
		d.Fault(s, key, "a number from "+realText(low)+" to "+realText(high), strconv.Quote(text))
		return fallback
	}
	return f
}

func realText(f float64) string { return strconv.FormatFloat(f, 'g', -1, bitSize) }

// minMemory and maxMemory bound the memory of a process, in megabytes.
const (
	minMemory = 32
	maxMemory = 1 << 20
)

// Memory reads an amount of memory in megabytes and returns it in bytes.
func (d *Document) Memory(s *Section, key string) int64 {
	return d.Number(s, key, 0, minMemory, maxMemory) << 20
}

// Duration reads a duration such as 200ms, from low to high.
func (d *Document) Duration(s *Section, key string, fallback, low, high time.Duration) time.Duration {
	s.read[key] = true
	text, ok := s.keys[key]
	if !ok {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		d.Fault(s, key, "a time from "+low.String()+" to "+high.String(), strconv.Quote(text))
		return fallback
	}
	return value
}

// Bool reads yes or no.
func (d *Document) Bool(s *Section, key string, fallback bool) bool {
	s.read[key] = true
	text, ok := s.keys[key]
	if !ok {
		return fallback
	}
	switch text {
	case "yes":
		return true
	case "no":
		return false
	}
	d.Fault(s, key, "yes or no", strconv.Quote(text))
	return fallback
}

// Choice reads one of the given words; an empty fallback makes the key required.
func (d *Document) Choice(s *Section, key, fallback string, words ...string) string {
	value := d.String(s, key, fallback)
	if value != "" && !slices.Contains(words, value) {
		d.Fault(s, key, "one of "+strings.Join(words, ", "), strconv.Quote(value))
	}
	return value
}

// List reads words separated by commas; the key may be absent.
func (d *Document) List(s *Section, key string) []string {
	s.read[key] = true
	var out []string
	for _, word := range strings.Split(s.keys[key], ",") {
		if word = strings.TrimSpace(word); word != "" {
			out = append(out, word)
		}
	}
	return out
}

// Address reads an IP address and port; the zero value stands for an absent key that is not required.
func (d *Document) Address(s *Section, key string, required bool) netip.AddrPort {
	s.read[key] = true
	text := s.keys[key]
	if text == "" && !required {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		d.Fault(s, key, "an IP number and port such as 127.0.0.1:7000", strconv.Quote(text))
	}
	return address
}

// Addresses returns the IP addresses and ports of a key.
func (d *Document) Addresses(s *Section, key string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range d.List(s, key) {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			d.Fault(s, key, "addresses such as 127.0.0.1:7000", strconv.Quote(text))
			continue
		}
		out = append(out, address)
	}
	return out
}

// Prefixes reads IP prefixes separated by commas; the key may be absent.
func (d *Document) Prefixes(s *Section, key string) []netip.Prefix {
	var out []netip.Prefix
	for _, text := range d.List(s, key) {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			d.Fault(s, key, "blocks such as 10.1.0.0/16", strconv.Quote(text))
			continue
		}
		out = append(out, prefix.Masked())
	}
	return out
}
