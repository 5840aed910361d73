// Package config reads and checks the settings of an entry instance, and holds their defaults.
package config

import (
	"net/netip"
	"strconv"
	"time"

	"chervilrail.example/core/parser"
	"chervilrail.example/core/securer"
	"chervilrail.example/core/stopper"
)

const (
	defaultRenewInterval = 200 * time.Millisecond
	defaultAnswerMaxAge  = 5 * time.Second
	defaultStopTimeout   = 30 * time.Minute
	minRenewInterval     = 10 * time.Millisecond
	maxPort              = 1<<16 - 1
)

// Config is an entry instance's checked settings.
type Config struct {
	Name   string
	Region string
	Zone   string

	// Caller, Target, Peer and Operator are the addresses to listen at: Caller for look-ups and requests, Target for
	// announcements of targets, Peer for the other entry instances, Operator for metrics and health.
	Caller   netip.AddrPort
	Target   netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort

	// Controllers are the addresses of the controllers, for an instance that works by a catalogue; others have none.
	Controllers []netip.AddrPort

	// Seeds are the controllers that are known at the start of an instance that routes by a plan; others have none.
	Seeds []netip.AddrPort
	// Ready is the address to listen at for the platform's readiness checks.
	Ready netip.AddrPort
	// MemoryLimit is how much memory the process may use, in bytes; zero sets no limit.
	MemoryLimit int64

	// RenewInterval is the time between two heartbeats to the leading controller.
	RenewInterval time.Duration
	// AnswerMaxAge is how long callers may keep the answer to a look-up. A planned stop serves requests for at least
	// that long, within StopTimeout.
	AnswerMaxAge time.Duration
	// StopTimeout bounds how long a planned stop may take. Unless they are set, it and AnswerMaxAge follow from the grace
	// period, after which the process may be killed.
	StopTimeout time.Duration

	CallerKeys   securer.Files
	TargetKeys   securer.Files
	ControlKeys  securer.Files
	OperatorKeys securer.Files

	LogFormat string
	LogLevel  string
	// Sample is the sampling rate of the log: one in this many routing decisions is logged.
	Sample int64
}

// Load reads a settings file and checks it. It returns a parser.FaultsError that lists every fault.
func Load(path string) (*Config, error) {
	data, err := parser.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse reads settings from text and checks them. It returns a parser.FaultsError that lists every fault, with source
// as the name of the text.
func Parse(source string, data []byte) (*Config, error) {
	d := parser.Parse(source, data)
	c := &Config{
		RenewInterval: defaultRenewInterval,
		AnswerMaxAge:  defaultAnswerMaxAge,
		StopTimeout:   defaultStopTimeout,
		LogFormat:     "logfmt",
		LogLevel:      "info",
		Sample:        1,
	}
	sections := map[string]bool{}
	for _, s := range d.Sections {
		sections[s.Kind] = true
		c.parseSection(d, s)
	}
	for _, kind := range []string{"entry", "listen"} {
		if !sections[kind] {
			d.Fault(nil, "", "a section ["+kind+"]", "none")
		}
	}
	if sections["controllers"] == sections["seeds"] {
		d.Fault(nil, "", "a section [controllers] or a section [seeds]", "both or none")
	}
	c.check(d)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) parseSection(d *parser.Document, s *parser.Section) {
	switch s.Kind {
	case "entry":
		c.Name = d.Name(s, "name")
		c.Region = d.Name(s, "region")
		c.Zone = d.Name(s, "zone")
	case "listen":
		c.Caller = d.Address(s, "caller", true)
		c.Target = d.Address(s, "target", false)
		c.Peer = d.Address(s, "peer", false)
		c.Operator = d.Address(s, "operator", true)
		c.Ready = d.Address(s, "ready", false)
	case "seeds":
		c.parseSeeds(d, s)
	case "memory":
		c.MemoryLimit = d.Memory(s, "limit")
	case "controllers":
		c.Controllers = readControllers(d, s)
	case "timing":
		c.parseTiming(d, s)
	case "tls":
		c.parseTLS(d, s)
	case "log":
		c.LogFormat = d.Choice(s, "format", "logfmt", "logfmt", "json")
		c.LogLevel = d.Choice(s, "level", "info", "debug", "info", "warn", "error")
		c.Sample = d.Number(s, "sample", 1, 1, 1_000_000)
	default:
		d.Fault(s, "", "entry, listen, controllers, seeds, memory, timing, tls or log", strconv.Quote(s.Kind))
	}
}

func (c *Config) parseTiming(d *parser.Document, s *parser.Section) {
	c.RenewInterval = d.Duration(s, "renew", defaultRenewInterval, minRenewInterval, time.Minute)
	grace, timeout := stopper.ReadTimeout(d, s, defaultStopTimeout)
	answer := defaultAnswerMaxAge
	if grace > 0 {
		answer = stopper.ServeFor(grace)
	}
	c.AnswerMaxAge = d.Duration(s, "answer", answer, time.Second, time.Hour)
	c.StopTimeout = timeout
}

// parseSeeds reads controllers of which only the address for the platform's calls is known. Entry instances call them
// at another port, the same on all controllers.
func (c *Config) parseSeeds(d *parser.Document, s *parser.Section) {
	port := d.Number(s, "port", 0, 1, maxPort)
	for _, address := range readControllers(d, s) {
		c.Seeds = append(c.Seeds, netip.AddrPortFrom(address.Addr(), uint16(port)))
	}
}

// readControllers returns the addresses of controllers, of which there has to be at least one.
func readControllers(d *parser.Document, s *parser.Section) []netip.AddrPort {
	out := d.Addresses(s, "addresses")
	if len(out) == 0 {
		d.Fault(s, "addresses", "at least one controller", "none")
	}
	return out
}

func (c *Config) parseTLS(d *parser.Document, s *parser.Section) {
	files := securer.Files{
		Certificate: d.String(s, "certificate", ""),
		Key:         d.String(s, "key", ""),
		Authority:   d.Optional(s, "authority"),
	}
	switch s.Name {
	case "caller":
		c.CallerKeys = files
	case "target":
		c.TargetKeys = files
	case "control":
		c.ControlKeys = files
		if files.Authority == "" {
			d.Fault(s, "authority", "the authority of the other processes", "nothing")
		}
	case "operator":
		c.OperatorKeys = files
	default:
		d.Fault(s, "", "tls caller, tls target, tls control or tls operator", strconv.Quote(s.Title()))
	}
}

// checkListeners requires the addresses that each kind of instance needs: target and peer without seeds, ready with
// seeds.
func (c *Config) checkListeners(d *parser.Document) {
	if len(c.Seeds) == 0 && (!c.Target.IsValid() || !c.Peer.IsValid()) {
		d.Fault(nil, "listen", "addresses for target and peer", "none")
	}
	if len(c.Seeds) > 0 && !c.Ready.IsValid() {
		d.Fault(nil, "listen", "an address for ready", "none")
	}
}

// check requires that all listeners have different addresses and that the certificates are readable.
func (c *Config) check(d *parser.Document) {
	c.checkListeners(d)
	seen := map[netip.AddrPort]string{}
	listeners := []struct {
		key     string
		address netip.AddrPort
	}{
		{"caller", c.Caller},
		{"target", c.Target},
		{"peer", c.Peer},
		{"operator", c.Operator},
		{"ready", c.Ready},
	}
	for _, l := range listeners {
		if other, ok := seen[l.address]; ok {
			d.Fault(nil, l.key, "an address apart from "+other, l.address.String())
		}
		if l.address.IsValid() {
			seen[l.address] = l.key
		}
	}
	for _, files := range []securer.Files{c.CallerKeys, c.TargetKeys, c.ControlKeys, c.OperatorKeys} {
		keys := securer.Keys{Files: files}
		if err := keys.Check(); err != nil {
			d.Fault(nil, "certificate", "readable PEM files", err.Error())
		}
	}
}
