package parser

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	decimal  = 10
	wordBits = 64
)

// Has reports whether the section gives a key.
func (s *Section) Has(key string) bool {
	_, ok := s.keys[key]
	return ok
}

// String reads a text; an empty fallback makes the key required.
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

// maxName is the length of a label in a host name.
const maxName = 63

// ValidName reports whether a name holds only letters, digits and hyphens, so that it can stand in host
// names, file names and JSON as it is.
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

// Optional reads a text that may be absent.
func (d *Document) Optional(s *Section, key string) string {
	s.read[key] = true
	return s.keys[key]
}

// Number reads a whole number between low and high.
func (d *Document) Number(s *Section, key string, fallback, low, high int64) int64 {
	s.read[key] = true
	text, ok := s.keys[key]
	if !ok {
		if fallback < low || fallback > high {
			d.Fault(s, key, rangeText(low, high), "nothing")
		}
		return fallback
	}
	n, err := strconv.ParseInt(text, decimal, wordBits)
	if err != nil || n < low || n > high {
		d.Fault(s, key, rangeText(low, high), strconv.Quote(text))
		return fallback
	}
	return n
}

func rangeText(low, high int64) string {
	return "a whole number from " + strconv.FormatInt(low, decimal) + " to " + strconv.FormatInt(high, decimal)
}

// Float reads a number between low and high.
func (d *Document) Float(s *Section, key string, fallback, low, high float64) float64 {
	s.read[key] = true
	text, ok := s.keys[key]
	if !ok {
		return fallback
	}
	f, err := strconv.ParseFloat(text, wordBits)
	if err != nil || !(f >= low && f <= high) {
		d.Fault(s, key, "a number from "+realText(low)+" to "+realText(high), strconv.Quote(text))
		return fallback
	}
	return f
}

func realText(f float64) string { return strconv.FormatFloat(f, 'g', -1, wordBits) }

// Duration reads a length of time such as 200ms between low and high.
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

// Choice reads one of a few words.
func (d *Document) Choice(s *Section, key, fallback string, words ...string) string {
	value := d.String(s, key, fallback)
	if value != "" && !slices.Contains(words, value) {
		d.Fault(s, key, "one of "+strings.Join(words, ", "), strconv.Quote(value))
	}
	return value
}

// List reads words separated by commas.
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

// Address reads an IP number and port.
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

// Prefixes reads IP blocks separated by commas.
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
