// Package config reads and validates a controller's settings and defines their defaults.
package config

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"chervilrail.example/core/parser"
	"chervilrail.example/core/quoter"
	"chervilrail.example/core/securer"
	"chervilrail.example/core/stopper"
)

const (
	defaultElection     = time.Second
	defaultHeartbeat    = 100 * time.Millisecond
	defaultReplaceAfter = 5 * time.Second
	defaultLease        = 3 * time.Second
	defaultStopTimeout  = 10 * time.Second
	minElection         = 50 * time.Millisecond
	maxElection         = time.Minute
	maxControllers      = 8
	// defaultMaxVoters is the number of voters with which two may fail at once. Each further pair costs two more
	// messages per change.
	defaultMaxVoters = 5
	// heartbeatsPerElection is how many heartbeats an election timeout must cover at least.
	heartbeatsPerElection = 3
	// defaultQuotaWindow is the span over which an organisation's requests are counted if the settings do not define
	// one.
	defaultQuotaWindow = 5 * time.Second
	minQuotaWindow     = 100 * time.Millisecond
	// minDescriptors and maxDescriptors bound the setting of file descriptors.
	minDescriptors = 64
	maxDescriptors = 1 << 20
	// maxQuotaSlack bounds the number of requests by which a quota may be exceeded.
	maxQuotaSlack = 1e6
)

// Config holds a controller's validated settings.
type Config struct {
	Name   string
	Region string
	Zone   string
	Folder string

	Control  netip.AddrPort
	Operator netip.AddrPort
	Peers    map[string]netip.AddrPort

	// Callers is the address for calls of the users' platform, Directory the one for look-ups of its clients. Both are
	// optional.
	Callers   netip.AddrPort
	Directory netip.AddrPort
	// MaxVoters is how many controllers vote at most. Bootstrap is set if this start founds the group, with exactly the
	// peers as its members.
	MaxVoters int
	Bootstrap bool
	// Regions maps each availability zone to its region.
	Regions map[string]string

	// Election is the election timeout, Heartbeat the interval of the leader's heartbeats. ReplaceAfter is how long a
	// controller must be silent before it may be replaced or removed. Lease is the lease duration of entry instances
	// and their grants. StopTimeout bounds a planned stop; unless it is set, it follows from the grace period, after which
	// the process may be killed.
	Election     time.Duration
	Heartbeat    time.Duration
	ReplaceAfter time.Duration
	Lease        time.Duration
	StopTimeout  time.Duration

	// Quotas defines how exactly organisations' quotas are enforced.
	Quotas quoter.Tolerance

	// MemoryLimit is how much memory the process may use, in bytes, and Descriptors how many file descriptors; zero sets
	// no limit.
	MemoryLimit int64
	Descriptors int

	TokenFile    string
	Token        string
	ControlKeys  securer.Files
	OperatorKeys securer.Files

	LogFormat string
	LogLevel  string
}

// Load reads a settings file and validates it. Its errors are those of Parse, and a *parser.FaultsError if the file
// can't be read.
func Load(path string) (*Config, error) {
	data, err := parser.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse reads settings from text and validates them. If there are faults, it returns a *parser.FaultsError with all of
// them; the source names the text in it.
func Parse(source string, data []byte) (*Config, error) {
	d := parser.Parse(source, data)
	c := &Config{Peers: map[string]netip.AddrPort{}, Regions: map[string]string{}}
	sections := map[string]bool{}
	for _, s := range d.Sections {
		sections[s.Kind] = true
		c.readSection(d, s)
	}
	for _, kind := range []string{"controller", "listen"} {
		if !sections[kind] {
			d.Fault(nil, "", "a section ["+kind+"]", "none")
		}
	}
	if sections["peers"] == sections["seeds"] {
		d.Fault(nil, "", "a section [peers] or a section [seeds]", "both or none")
	}
	c.check(d)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// readSection reads the keys of one section.
func (c *Config) readSection(d *parser.Document, s *parser.Section) {
	switch s.Kind {
	case "controller":
		c.Name = d.Optional(s, "name")
		c.Region = d.Name(s, "region")
		c.Zone = d.Name(s, "zone")
		c.Folder = d.String(s, "folder", "")
	case "listen":
		c.Control = d.Address(s, "control", true)
		c.Operator = d.Address(s, "operator", true)
		c.Callers = d.Address(s, "callers", false)
		c.Directory = d.Address(s, "directory", false)
	case "seeds":
		c.readSeeds(d, s)
	case "zones":
		for zone := range s.Values() {
			c.Regions[zone] = d.String(s, zone, "")
		}
	case "peers":
		for _, text := range d.List(s, "replicas") {
			c.readPeer(d, s, text)
		}
	case "timing":
		c.readTiming(d, s)
	case "quota":
		c.Quotas = quoter.Tolerance{
			Window:  d.Duration(s, "window", defaultQuotaWindow, minQuotaWindow, time.Minute),
			Overage: d.Float(s, "overage", 0, 0, 1),
			Slack:   d.Float(s, "slack", 0, 0, maxQuotaSlack),
		}
	case "memory":
		c.MemoryLimit = d.Memory(s, "limit")
	case "descriptors":
		c.Descriptors = int(d.Number(s, "limit", 0, minDescriptors, maxDescriptors))
	case "operator":
		c.TokenFile = d.Optional(s, "token")
	case "tls":
		c.readTLS(d, s)
	case "log":
		c.LogFormat = d.Choice(s, "format", "logfmt", "logfmt", "json")
		c.LogLevel = d.Choice(s, "level", "info", "debug", "info", "warn", "error")
	default:
		d.Fault(s, "", "controller, listen, peers, seeds, zones, timing, quota, memory, "+
			"descriptors, operator, tls or log", strconv.Quote(s.Kind))
	}
}

func (c *Config) readTiming(d *parser.Document, s *parser.Section) {
	c.Election = d.Duration(s, "election", defaultElection, minElection, maxElection)
	c.Heartbeat = d.Duration(s, "heartbeat", defaultHeartbeat, time.Millisecond, maxElection)
	c.ReplaceAfter = d.Duration(s, "replace", defaultReplaceAfter, minElection, time.Hour)
	c.Lease = d.Duration(s, "lease", defaultLease, minElection, maxElection)
	_, c.StopTimeout = stopper.ReadTimeout(d, s, defaultStopTimeout)
}

// readTLS reads a section with the key files of one interface.
func (c *Config) readTLS(d *parser.Document, s *parser.Section) {
	files := securer.Files{
		Certificate: d.String(s, "certificate", ""),
		Key:         d.String(s, "key", ""),
		Authority:   d.Optional(s, "authority"),
	}
	switch s.Name {
	case "control":
		c.ControlKeys = files
		if files.Authority == "" {
			d.Fault(s, "authority", "the authority of the other processes", "nothing")
		}
	case "operator":
		c.OperatorKeys = files
	default:
		d.Fault(s, "", "tls control or tls operator", strconv.Quote(s.Title()))
	}
}

// readSeeds reads the addresses of the controllers that are known before any of them has been contacted. They are named
// by their IP numbers and take calls of other controllers at the same port as this one.
func (c *Config) readSeeds(d *parser.Document, s *parser.Section) {
	for _, address := range d.Addresses(s, "addresses") {
		c.Peers[address.Addr().String()] = netip.AddrPortFrom(address.Addr(), c.Control.Port())
	}
	c.Bootstrap = d.Bool(s, "found", false)
	c.MaxVoters = int(d.Number(s, "seats", defaultMaxVoters, 1, maxControllers))
	if c.Control.IsValid() {
		c.Name = c.Control.Addr().String()
	}
}

// readPeer reads a replica's name and address.
func (c *Config) readPeer(d *parser.Document, s *parser.Section, text string) {
	name, address, found := strings.Cut(text, "@")
	parsed, err := netip.ParseAddrPort(address)
	if !found || name == "" || err != nil {
		d.Fault(s, "replicas", "names and addresses such as c1@127.0.0.1:7000", strconv.Quote(text))
		return
	}
	if _, ok := c.Peers[name]; ok {
		d.Fault(s, "replicas", "each name once", strconv.Quote(name))
	}
	c.Peers[name] = parsed
}

// check sets the defaults of missing sections and validates settings that depend on each other or on other files.
func (c *Config) check(d *parser.Document) {
	c.setDefaults()
	if c.MaxVoters == 0 {
		c.MaxVoters = len(c.Peers)
		c.checkPeers(d)
	}
	if c.Control == c.Operator && c.Control.IsValid() {
		d.Fault(nil, "operator", "an address apart from control", c.Operator.String())
	}
	// If heartbeats are too rare, elections start without any failure.
	if c.Heartbeat*heartbeatsPerElection > c.Election {
		d.Fault(nil, "heartbeat", "at most a third of election", c.Heartbeat.String())
	}
	c.readToken(d)
	for _, files := range []securer.Files{c.ControlKeys, c.OperatorKeys} {
		keys := securer.Keys{Files: files}
		if err := keys.Check(); err != nil {
			d.Fault(nil, "certificate", "readable PEM files", err.Error())
		}
	}
}

// checkPeers validates the name and the peers where the replicas are listed.
func (c *Config) checkPeers(d *parser.Document) {
	if !parser.ValidName(c.Name) {
		d.Fault(nil, "name", "a name of letters, digits and hyphens", strconv.Quote(c.Name))
	}
	if _, ok := c.Peers[c.Name]; !ok && len(c.Peers) > 0 {
		d.Fault(nil, "replicas", "this controller among the replicas", strconv.Quote(c.Name))
	}
	if len(c.Peers) > maxControllers {
		d.Fault(nil, "replicas", "at most "+strconv.Itoa(maxControllers), strconv.Itoa(len(c.Peers)))
	}
}

// setDefaults sets the defaults of sections that are missing.
func (c *Config) setDefaults() {
	if c.Election == 0 {
		c.Election = defaultElection
		c.Heartbeat = defaultHeartbeat
		c.ReplaceAfter = defaultReplaceAfter
		c.Lease = defaultLease
		c.StopTimeout = defaultStopTimeout
	}
	if c.Quotas.Window == 0 {
		c.Quotas.Window = defaultQuotaWindow
	}
	if c.LogFormat == "" {
		c.LogFormat = "logfmt"
		c.LogLevel = "info"
	}
}

// readToken reads the operator token from its file.
func (c *Config) readToken(d *parser.Document) {
	if c.TokenFile == "" {
		return
	}
	data, err := os.ReadFile(c.TokenFile)
	if err != nil {
		d.Fault(nil, "token", "a readable file", err.Error())
		return
	}
	c.Token = strings.TrimSpace(string(data))
	if c.Token == "" {
		d.Fault(nil, "token", "a token in the file", "an empty file")
	}
}
