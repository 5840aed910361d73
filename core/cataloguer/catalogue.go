// Package cataloguer parses the catalogue that operators keep in version control, validates it as a whole and
// compares two catalogues.
package cataloguer

import (
	"net/netip"
	"sort"
	"strings"
	"time"
)

// Class is the kind of traffic of a catalogue entry.
type Class string

// The classes of traffic, most urgent first.
const (
	// Urgent requests are short look-ups with priority over all other classes.
	Urgent Class = "urgent"
	// Once requests must run at most once.
	Once Class = "once"
	// Upload requests have long bodies and always finish.
	Upload Class = "upload"
	// Browse requests may be retried and are shed first.
	Browse Class = "browse"
)

// Classes lists all classes, most urgent first.
func Classes() []Class { return []Class{Urgent, Once, Upload, Browse} }

// Rank returns the class's place in the order of urgency; 0 is the most urgent, and unknown classes come last.
func (c Class) Rank() int {
	for i, o := range Classes() {
		if c == o {
			return i
		}
	}
	return len(Classes())
}

// Region is a location with targets and entry instances.
type Region struct {
	Name  string
	Zones []string
	// Cap is the most requests per second that the system may send to targets of the region.
	Cap int64
	// Floor is the least share of the cap that each live entry instance is granted.
	Floor int64
}

// Link is the connection from one region to another, in one direction.
type Link struct {
	From string
	To   string
	// Cap is the most bytes per second that the system may send over the link in this direction.
	Cap int64
}

// Service is a service that targets announce, and the regions it runs in.
type Service struct {
	Name    string
	Regions []string
}

// Entry is a kind of traffic: the requests of one organisation and class to a service, with their limits.
type Entry struct {
	Name         string
	Service      string
	Organisation string
	Class        Class
	Methods      []string
	Path         string
	// Rate is the most requests per second over all entry instances; 0 sets no limit.
	Rate int64
	// Body is the largest request body in bytes.
	Body int64
	// Timeout bounds a request whose caller sets no deadline. Uploads are bounded by their progress instead.
	Timeout time.Duration
}

// Shift moves a part of a service's requests from one region to another.
type Shift struct {
	Name    string
	Service string
	From    string
	To      string
	// Part is the percentage of requests that is moved after the last stage.
	Part int64
	// Cap is the most requests per second that the shift may add to the new region.
	Cap int64
	// Stages is the number of equal steps in which the shift ramps up to Part.
	Stages int64
}

// Drain takes a target, an entry instance, an availability zone or a region out of service; exactly one is set.
type Drain struct {
	Name     string
	Target   string
	Instance string
	Zone     string
	Region   string
}

// Clients declares the blocks of client addresses to which a region is nearest.
type Clients struct {
	Region string
	Blocks []netip.Prefix
}

// Catalogue is a parsed catalogue.
type Catalogue struct {
	Regions  []Region
	Links    []Link
	Services []Service
	Entries  []Entry
	Shifts   []Shift
	Drains   []Drain
	Clients  []Clients
}

// Limits returns every shared limit, sorted by resource name.
func (c *Catalogue) Limits() []Limit {
	var out []Limit
	for _, r := range c.Regions {
		out = append(out, Limit{RegionResource(r.Name), r.Cap, r.Floor})
	}
	for _, l := range c.Links {
		out = append(out, Limit{LinkResource(l.From, l.To), l.Cap, 0})
	}
	for _, e := range c.Entries {
		if e.Rate > 0 {
			out = append(out, Limit{EntryResource(e.Name), e.Rate, 0})
		}
	}
	for _, s := range c.Shifts {
		out = append(out, Limit{ShiftResource(s.Name), s.Cap, 0})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Resource < out[j].Resource })
	return out
}

// Limit is a cap per second that all entry instances share, with the least share that each live instance is granted.
type Limit struct {
	Resource string
	Cap      int64
	Floor    int64
}

// RegionResource returns the resource name of a region's cap.
func RegionResource(region string) string { return "region:" + region }

// LinkResource returns the resource name of a link's cap.
func LinkResource(from, to string) string { return "link:" + from + ":" + to }

// EntryResource returns the resource name of a catalogue entry's rate.
func EntryResource(entry string) string { return "entry:" + entry }

// ShiftResource returns the resource name of a shift's cap.
func ShiftResource(shift string) string { return "shift:" + shift }

// Service finds a service by name.
func (c *Catalogue) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Region finds a region by name.
func (c *Catalogue) Region(name string) (Region, bool) {
	for _, r := range c.Regions {
		if r.Name == name {
			return r, true
		}
	}
	return Region{}, false
}

// Match finds the entry of a request: the longest path wins, then an entry that lists methods. An empty organisation
// matches the entries of all organisations.
func (c *Catalogue) Match(service, organisation, method, path string) (*Entry, bool) {
	var best *Entry
	for i := range c.Entries {
		e := &c.Entries[i]
		if e.Service != service || !e.matches(organisation, method, path) {
			continue
		}
		if best == nil || e.moreSpecific(best) {
			best = e
		}
	}
	return best, best != nil
}

func (e *Entry) matches(organisation, method, path string) bool {
	if organisation != "" && e.Organisation != organisation {
		return false
	}
	if !underPath(path, e.Path) {
		return false
	}
	if len(e.Methods) == 0 {
		return true
	}
	for _, m := range e.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// underPath reports whether a path is under a prefix. It compares whole segments, so that /rsvp does not match /rsvps.
func underPath(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

func (e *Entry) moreSpecific(o *Entry) bool {
	if len(e.Path) != len(o.Path) {
		return len(e.Path) > len(o.Path)
	}
	return len(e.Methods) > 0 && len(o.Methods) == 0
}

// Drained returns the first drain that applies to a target, entry instance, availability zone or region, and whether
// there is one. Empty arguments match no drain.
func (c *Catalogue) Drained(target, instance, zone, region string) (Drain, bool) {
	for _, d := range c.Drains {
		matches := d.Target != "" && d.Target == target ||
			d.Instance != "" && d.Instance == instance ||
			d.Zone != "" && d.Zone == zone ||
			d.Region != "" && d.Region == region
		if matches {
			return d, true
		}
	}
	return Drain{}, false
}
