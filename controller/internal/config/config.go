// Package config holds every setting of a controller, its default and its check.
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
)

const (
	defaultElection  = time.Second
	defaultHeartbeat = 100 * time.Millisecond
	defaultReplace   = 5 * time.Second
	defaultLease     = 3 * time.Second
	defaultPatience  = 10 * time.Second
	minElection      = 50 * time.Millisecond
	maxElection      = time.Minute
	maxControllers   = 8
	// defaultSeats lets one voter and one more be lost at once; each further pair costs every change two messages.
	defaultSeats  = 5
	electionBeats = 3
	// defaultWindow is the span over which an organisation's requests are counted where no setting says.
	defaultWindow = 5 * time.Second
	minWindow     = 100 * time.Millisecond
	// maxSlack bounds how many requests a quota may be passed by.
	maxSlack = 1e6
)

// Config is a controller's checked settings.
type Config struct {
	Name   string
	Region string
	Zone   string
	Folder string

	Control  netip.AddrPort
	Operator netip.AddrPort
	Peers    map[string]netip.AddrPort

	// Callers takes the calls of the users' platform, Directory its clients' look-ups; both are optional.
	Callers   netip.AddrPort
	Directory netip.AddrPort
	// Seats is how many controllers vote, Found whether this start founds the group of exactly the peers.
	Seats int
	Found bool
	// Regions holds the region of each availability zone.
	Regions map[string]string

	Election  time.Duration
	Heartbeat time.Duration
	Replace   time.Duration
	Lease     time.Duration
	Patience  time.Duration

	// Quotas say how exact organisations' quotas have to be.
	Quotas quoter.Tolerance

	TokenFile    string
	Token        string
	ControlKeys  securer.Files
	OperatorKeys securer.Files

	LogFormat string
	LogLevel  string
}

// Load reads a file and checks it whole.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &parser.FaultsError{Faults: []parser.Fault{{
			Source: path, Expected: "a settings file", Got: err.Error(),
		}}}
	}
	return Parse(path, data)
}

// Parse reads settings from text and checks them whole.
func Parse(source string, data []byte) (*Config, error) {
	d := parser.Parse(source, data)
	c := &Config{Peers: map[string]netip.AddrPort{}, Regions: map[string]string{}}
	sections := map[string]bool{}
	for _, s := range d.Sections {
		sections[s.Kind] = true
		c.section(d, s)
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

func (c *Config) section(d *parser.Document, s *parser.Section) {
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
		c.seeds(d, s)
	case "zones":
		for zone := range s.Values() {
			c.Regions[zone] = d.String(s, zone, "")
		}
	case "peers":
		for _, text := range d.List(s, "replicas") {
			c.peer(d, s, text)
		}
	case "timing":
		c.Election = d.Duration(s, "election", defaultElection, minElection, maxElection)
		c.Heartbeat = d.Duration(s, "heartbeat", defaultHeartbeat, time.Millisecond, maxElection)
		c.Replace = d.Duration(s, "replace", defaultReplace, minElection, time.Hour)
		c.Lease = d.Duration(s, "lease", defaultLease, minElection, maxElection)
		c.Patience = d.Duration(s, "patience", defaultPatience, time.Second, time.Hour)
	case "quota":
		c.Quotas = quoter.Tolerance{
			Window:  d.Duration(s, "window", defaultWindow, minWindow, time.Minute),
			Overage: d.Float(s, "overage", 0, 0, 1),
			Slack:   d.Float(s, "slack", 0, 0, maxSlack),
		}
	case "operator":
		c.TokenFile = d.Optional(s, "token")
	case "tls":
		c.tls(d, s)
	case "log":
		c.LogFormat = d.Choice(s, "format", "logfmt", "logfmt", "json")
		c.LogLevel = d.Choice(s, "level", "info", "debug", "info", "warn", "error")
	default:
		d.Fault(s, "", "controller, listen, peers, seeds, zones, timing, quota, operator, tls or log", strconv.Quote(s.Kind))
	}
}

func (c *Config) tls(d *parser.Document, s *parser.Section) {
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

// seeds reads the controllers that are known before any has been spoken to. They are named by their IP numbers,
// and take calls of other controllers at the port of this one.
func (c *Config) seeds(d *parser.Document, s *parser.Section) {
	for _, text := range d.List(s, "addresses") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			d.Fault(s, "addresses", "addresses such as 127.0.0.1:7000", strconv.Quote(text))
			continue
		}
		c.Peers[address.Addr().String()] = netip.AddrPortFrom(address.Addr(), c.Control.Port())
	}
	c.Found = d.Bool(s, "found", false)
	c.Seats = int(d.Number(s, "seats", defaultSeats, 1, maxControllers))
	if c.Control.IsValid() {
		c.Name = c.Control.Addr().String()
	}
}

func (c *Config) peer(d *parser.Document, s *parser.Section, text string) {
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

func (c *Config) check(d *parser.Document) {
	c.defaults()
	if c.Seats == 0 {
		c.Seats = len(c.Peers)
		c.checkListed(d)
	}
	if c.Control == c.Operator && c.Control.IsValid() {
		d.Fault(nil, "operator", "an address apart from control", c.Operator.String())
	}
	// A heartbeat that comes too seldom lets elections break out without any failure.
	if c.Heartbeat*electionBeats > c.Election {
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

func (c *Config) checkListed(d *parser.Document) {
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

func (c *Config) defaults() {
	if c.Election == 0 {
		c.Election = defaultElection
		c.Heartbeat = defaultHeartbeat
		c.Replace = defaultReplace
		c.Lease = defaultLease
		c.Patience = defaultPatience
	}
	if c.Quotas.Window == 0 {
		c.Quotas.Window = defaultWindow
	}
	if c.LogFormat == "" {
		c.LogFormat = "logfmt"
		c.LogLevel = "info"
	}
}

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
