package cataloguer

import (
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilrail.example/core/parser"
)

const (
	// MaxSize is the largest catalogue that Parse accepts, in bytes.
	MaxSize = 4 << 20

	maxRate        = 10_000_000
	maxByteRate    = 1 << 40
	maxBody        = 1 << 40
	defaultBody    = 1 << 20
	defaultTimeout = 10 * time.Second
	maxTimeout     = 24 * time.Hour
	fullPercent    = 100
	maxStages      = 100
	defaultStages  = 5
	regionsPerLink = 2
	// minFloorHolders is the number of entry instances whose floors must fit into the cap of their region.
	minFloorHolders = 16
)

// Parse reads and validates a catalogue; source names it in faults. The error is a *parser.FaultsError with every
// fault found.
func Parse(source string, data []byte) (*Catalogue, error) {
	if len(data) > MaxSize {
		return nil, &parser.FaultsError{Faults: []parser.Fault{{
			Source:   source,
			Expected: "at most " + strconv.Itoa(MaxSize) + " bytes",
			Got:      strconv.Itoa(len(data)),
		}}}
	}
	r := &reader{Document: parser.Parse(source, data)}
	for _, s := range r.Sections {
		r.section(s)
	}
	r.check()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return &r.catalogue, nil
}

// reader collects the sections of one catalogue.
type reader struct {
	*parser.Document
	catalogue Catalogue
	sections  map[string]*parser.Section
}

func (r *reader) section(s *parser.Section) {
	r.register(s)
	switch s.Kind {
	case "region":
		r.region(s)
	case "link":
		r.link(s)
	case "service":
		r.service(s)
	case "entry":
		r.entry(s)
	case "shift":
		r.shift(s)
	case "drain":
		r.drain(s)
	case "clients":
		r.clients(s)
	default:
		r.Fault(s, "", "region, link, service, entry, shift, drain or clients", strconv.Quote(s.Kind))
	}
}

func (r *reader) register(s *parser.Section) {
	if r.sections == nil {
		r.sections = map[string]*parser.Section{}
	}
	r.sections[s.Title()] = s
	if s.Kind == "link" {
		return
	}
	if !parser.ValidName(s.Name) {
		r.Fault(s, "", "a name of letters, digits and hyphens after the kind", strconv.Quote(s.Name))
	}
}

func (r *reader) region(s *parser.Section) {
	r.catalogue.Regions = append(r.catalogue.Regions, Region{
		Name:  s.Name,
		Zones: r.List(s, "zones"),
		Cap:   r.Number(s, "cap", 0, 1, maxRate),
		Floor: r.Number(s, "floor", 1, 0, maxRate),
	})
}

func (r *reader) link(s *parser.Section) {
	regions := strings.Fields(s.Name)
	if len(regions) != regionsPerLink {
		r.Fault(s, "", "two region names after link", strconv.Quote(s.Name))
		return
	}
	r.catalogue.Links = append(r.catalogue.Links, Link{
		From: regions[0],
		To:   regions[1],
		Cap:  r.Number(s, "cap", 0, 1, maxByteRate),
	})
}

func (r *reader) service(s *parser.Section) {
	r.catalogue.Services = append(r.catalogue.Services, Service{
		Name:    s.Name,
		Regions: r.List(s, "regions"),
	})
}

func (r *reader) entry(s *parser.Section) {
	class := r.Choice(s, "class", "", string(Urgent), string(Once), string(Upload), string(Browse))
	e := Entry{
		Name:         s.Name,
		Service:      r.String(s, "service", ""),
		Organisation: r.String(s, "owner", ""),
		Class:        Class(class),
		Methods:      r.List(s, "methods"),
		Path:         r.String(s, "path", "/"),
		Rate:         r.Number(s, "rate", 0, 0, maxRate),
		Body:         r.Number(s, "body", defaultBody, 0, maxBody),
		Timeout:      r.Duration(s, "timeout", defaultTimeout, time.Millisecond, maxTimeout),
	}
	if !strings.HasPrefix(e.Path, "/") {
		r.Fault(s, "path", "a path that starts with /", strconv.Quote(e.Path))
	}
	supported := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	for _, m := range e.Methods {
		if !slices.Contains(supported, m) {
			r.Fault(s, "methods", "HTTP methods in capitals", strconv.Quote(m))
		}
	}
	r.catalogue.Entries = append(r.catalogue.Entries, e)
}

func (r *reader) shift(s *parser.Section) {
	r.catalogue.Shifts = append(r.catalogue.Shifts, Shift{
		Name:    s.Name,
		Service: r.String(s, "service", ""),
		From:    r.String(s, "from", ""),
		To:      r.String(s, "to", ""),
		Part:    r.Number(s, "part", fullPercent, 1, fullPercent),
		Cap:     r.Number(s, "cap", 0, 1, maxRate),
		Stages:  r.Number(s, "stages", defaultStages, 1, maxStages),
	})
}

func (r *reader) drain(s *parser.Section) {
	d := Drain{
		Name:     s.Name,
		Target:   r.Optional(s, "target"),
		Instance: r.Optional(s, "instance"),
		Zone:     r.Optional(s, "zone"),
		Region:   r.Optional(s, "region"),
	}
	count := 0
	for _, v := range []string{d.Target, d.Instance, d.Zone, d.Region} {
		if v != "" {
			count++
		}
	}
	if count != 1 {
		r.Fault(s, "", "exactly one of target, instance, zone, region", strconv.Itoa(count))
	}
	r.catalogue.Drains = append(r.catalogue.Drains, d)
}

func (r *reader) clients(s *parser.Section) {
	r.catalogue.Clients = append(r.catalogue.Clients, Clients{
		Region: s.Name,
		Blocks: r.Prefixes(s, "blocks"),
	})
}

// check records contradictions between sections as faults.
func (r *reader) check() {
	r.checkRegions()
	r.checkLinks()
	r.checkServices()
	r.checkEntries()
	r.checkShifts()
	r.checkDrains()
	r.checkClients()
}

func (r *reader) requireRegion(s *parser.Section, key, name string) {
	if _, ok := r.catalogue.Region(name); !ok {
		r.Fault(s, key, "a region of this catalogue", strconv.Quote(name))
	}
}

func (r *reader) requireService(s *parser.Section, name string) {
	if _, ok := r.catalogue.Service(name); !ok && name != "" {
		r.Fault(s, "service", "a service of this catalogue", strconv.Quote(name))
	}
}

func (r *reader) checkRegions() {
	zones := map[string]string{}
	for _, region := range r.catalogue.Regions {
		s := r.sections["region "+region.Name]
		if len(region.Zones) == 0 {
			r.Fault(s, "zones", "at least one availability zone", "none")
		}
		for _, zone := range region.Zones {
			if other, ok := zones[zone]; ok {
				r.Fault(s, "zones", "each availability zone in one region", zone+" also in "+other)
			}
			zones[zone] = region.Name
		}
		// If all floors together exceeded the cap, some instance would be granted less than its floor, or the region
		// would be overloaded.
		if region.Floor > math.MaxInt64/minFloorHolders || region.Floor*minFloorHolders > region.Cap {
			r.Fault(s, "floor", fmt.Sprintf("at most a %dth of cap", minFloorHolders), strconv.FormatInt(region.Floor, 10))
		}
	}
}

func (r *reader) checkLinks() {
	for _, l := range r.catalogue.Links {
		s := r.sections["link "+l.From+" "+l.To]
		if s == nil {
			continue
		}
		r.requireRegion(s, "", l.From)
		r.requireRegion(s, "", l.To)
		if l.From == l.To {
			r.Fault(s, "", "two different regions", l.From)
		}
	}
}

func (r *reader) checkServices() {
	for _, service := range r.catalogue.Services {
		s := r.sections["service "+service.Name]
		if len(service.Regions) == 0 {
			r.Fault(s, "regions", "at least one region", "none")
		}
		for _, name := range service.Regions {
			r.requireRegion(s, "regions", name)
		}
	}
}

func (r *reader) checkEntries() {
	seen := map[string]string{}
	for i := range r.catalogue.Entries {
		e := &r.catalogue.Entries[i]
		s := r.sections["entry "+e.Name]
		r.requireService(s, e.Service)
		methods := slices.Sorted(slices.Values(e.Methods))
		id := strings.Join([]string{e.Service, e.Organisation, e.Path, strings.Join(methods, "+")}, "|")
		if other, ok := seen[id]; ok {
			r.Fault(s, "path", "one entry for each service, owner, path and methods", "the same as "+other)
		}
		seen[id] = e.Name
	}
}

func (r *reader) checkShifts() {
	seen := map[string]string{}
	for _, shift := range r.catalogue.Shifts {
		s := r.sections["shift "+shift.Name]
		r.requireService(s, shift.Service)
		r.requireRegion(s, "from", shift.From)
		r.requireRegion(s, "to", shift.To)
		if shift.From == shift.To {
			r.Fault(s, "to", "a region other than from", strconv.Quote(shift.To))
		}
		id := shift.Service + "|" + shift.From
		if other, ok := seen[id]; ok {
			r.Fault(s, "from", "one shift away from each region of a service", "also "+other)
		}
		seen[id] = shift.Name
		to, ok := r.catalogue.Region(shift.To)
		if ok && shift.Cap > to.Cap {
			r.Fault(s, "cap", "at most the cap of region "+to.Name, strconv.FormatInt(shift.Cap, 10))
		}
	}
}

func (r *reader) checkDrains() {
	for _, d := range r.catalogue.Drains {
		if d.Region != "" {
			r.requireRegion(r.sections["drain "+d.Name], "region", d.Region)
		}
	}
}

func (r *reader) checkClients() {
	seen := map[netip.Prefix]string{}
	for _, c := range r.catalogue.Clients {
		s := r.sections["clients "+c.Region]
		r.requireRegion(s, "", c.Region)
		for _, b := range c.Blocks {
			if other, ok := seen[b]; ok {
				r.Fault(s, "blocks", "each block in one region", b.String()+" also in "+other)
			}
			seen[b] = c.Region
		}
	}
}
