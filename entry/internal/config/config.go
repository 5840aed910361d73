// Package config holds every setting of an entry instance, its default and its check.
package config

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"chervilrail.example/core/parser"
	"chervilrail.example/core/securer"
)

const (
	defaultRenew    = 200 * time.Millisecond
	defaultAnswer   = 5 * time.Second
	defaultPatience = 30 * time.Minute
	minRenew        = 10 * time.Millisecond
)

// Config is an entry instance's checked settings.
type Config struct {
	Name   string
	Region string
	Zone   string

	// Caller takes look-ups and requests, Target takes announcements, Peer serves the other entry
	// instances, Operator serves metrics and health.
	Caller   netip.AddrPort
	Target   netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort

	Controllers []netip.AddrPort

	Renew  time.Duration
	Answer time.Duration
	// Patience bounds a planned stop.
	Patience time.Duration

	CallerKeys   securer.Files
	TargetKeys   securer.Files
	ControlKeys  securer.Files
	OperatorKeys securer.Files

	LogFormat string
	LogLevel  string
	// Sample logs one in this many routing decisions.
	Sample int64
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
	c := &Config{
		Renew:     defaultRenew,
		Answer:    defaultAnswer,
		Patience:  defaultPatience,
		LogFormat: "logfmt",
		LogLevel:  "info",
		Sample:    1,
	}
	sections := map[string]bool{}
	for _, s := range d.Sections {
		sections[s.Kind] = true
		c.section(d, s)
	}
	for _, kind := range []string{"entry", "listen", "controllers"} {
		if !sections[kind] {
			d.Fault(nil, "", "a section ["+kind+"]", "none")
		}
	}
	c.check(d)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) section(d *parser.Document, s *parser.Section) {
	switch s.Kind {
	case "entry":
		c.Name = d.Name(s, "name")
		c.Region = d.Name(s, "region")
		c.Zone = d.Name(s, "zone")
	case "listen":
		c.Caller = d.Address(s, "caller", true)
		c.Target = d.Address(s, "target", true)
		c.Peer = d.Address(s, "peer", true)
		c.Operator = d.Address(s, "operator", true)
	case "controllers":
		c.controllers(d, s)
	case "timing":
		c.Renew = d.Duration(s, "renew", defaultRenew, minRenew, time.Minute)
		c.Answer = d.Duration(s, "answer", defaultAnswer, time.Second, time.Hour)
		c.Patience = d.Duration(s, "patience", defaultPatience, time.Second, 24*time.Hour)
	case "tls":
		c.tls(d, s)
	case "log":
		c.LogFormat = d.Choice(s, "format", "logfmt", "logfmt", "json")
		c.LogLevel = d.Choice(s, "level", "info", "debug", "info", "warn", "error")
		c.Sample = d.Number(s, "sample", 1, 1, 1_000_000)
	default:
		d.Fault(s, "", "entry, listen, controllers, timing, tls or log", strconv.Quote(s.Kind))
	}
}

func (c *Config) controllers(d *parser.Document, s *parser.Section) {
	for _, text := range d.List(s, "addresses") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			d.Fault(s, "addresses", "addresses such as 127.0.0.1:7000", strconv.Quote(text))
			continue
		}
		c.Controllers = append(c.Controllers, address)
	}
	if len(c.Controllers) == 0 {
		d.Fault(s, "addresses", "at least one controller", "none")
	}
}

func (c *Config) tls(d *parser.Document, s *parser.Section) {
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

func (c *Config) check(d *parser.Document) {
	seen := map[netip.AddrPort]string{}
	listeners := []struct {
		key     string
		address netip.AddrPort
	}{
		{"caller", c.Caller},
		{"target", c.Target},
		{"peer", c.Peer},
		{"operator", c.Operator},
	}
	for _, l := range listeners {
		if other, ok := seen[l.address]; ok && l.address.IsValid() {
			d.Fault(nil, l.key, "an address apart from "+other, l.address.String())
		}
		seen[l.address] = l.key
	}
	for _, files := range []securer.Files{c.CallerKeys, c.TargetKeys, c.ControlKeys, c.OperatorKeys} {
		keys := securer.Keys{Files: files}
		if err := keys.Check(); err != nil {
			d.Fault(nil, "certificate", "readable PEM files", err.Error())
		}
	}
}
