// Package cataloguer reads the catalogue that operators keep in version control, checks it whole and
// tells two catalogues apart.
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
	// Urgent requests are short look-ups that go before everything else.
	Urgent Class = "urgent"
	// Once requests must run at most once.
	Once Class = "once"
	// Upload requests are long bodies that always finish.
	Upload Class = "upload"
	// Browse requests may be repeated, and are shed first.
	Browse Class = "browse"
)

// Classes lists all classes, most urgent first.
func Classes() []Class { return []Class{Urgent, Once, Upload, Browse} }

// Rank orders the classes; 0 is the most urgent.
func (c Class) Rank() int {
	for i, o := range Classes() {
		if c == o {
			return i
		}
	}
	return len(Classes())
}

// Region is a place with targets and entry instances.
type Region struct {
	Name  string
	Zones []string
	// Cap is the most requests a second that the system may send to targets of the region.
	Cap int64
	// Floor is the least share of the cap that each live entry instance is granted.
	Floor int64
}

// Link is the connection from one region to another.
type Link struct {
	From string
	To   string
	// Cap is the most bytes a second that the system may send over the link, in this direction.
	Cap int64
}

// Service is what targets announce themselves for.
type Service struct {
	Name    string
	Regions []string
}

// Entry is one line of business: a service's traffic of one organisation and class, with its limits.
type Entry struct {
	Name         string
	Service      string
	Organisation string
	Class        Class
	Methods      []string
	Path         string
	// Rate is the most requests a second over all entry instances; 0 sets no limit.
	Rate int64
	// Body is the largest request body in bytes.
	Body int64
	// Timeout bounds a request whose caller names no deadline. Uploads are bounded by progress instead.
	Timeout time.Duration
}

// Shift moves part of a service from one region to another.
type Shift struct {
	Name    string
	Service string
	From    string
	To      string
	// Part is the percentage to move in the end.
	Part int64
	// Cap is the most requests a second that the move may add to the new region.
	Cap int64
	// Stages is over how many equal steps the move ramps.
	Stages int64
}

// Drain takes a target, an entry instance, an availability zone or a region out of use.
type Drain struct {
	Name     string
	Target   string
	Instance string
	Zone     string
	Region   string
}

// Clients says which region is nearest to blocks of client addresses.
type Clients struct {
	Region string
	Blocks []netip.Prefix
}

// Catalogue is the whole declaration.
type Catalogue struct {
	Regions  []Region
	Links    []Link
	Services []Service
	Entries  []Entry
	Shifts   []Shift
	Drains   []Drain
	Clients  []Clients
}

// Limits returns every shared limit by resource name.
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

// Limit is a cap that all entry instances share.
type Limit struct {
	Resource string
	Cap      int64
	Floor    int64
}

// RegionResource names a region's cap.
func RegionResource(region string) string { return "region:" + region }

// LinkResource names a link's cap.
func LinkResource(from, to string) string { return "link:" + from + ":" + to }

// EntryResource names a catalogue entry's rate.
func EntryResource(entry string) string { return "entry:" + entry }

// ShiftResource names a shift's cap.
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

// Match finds the entry of a request: the longest path wins, then the one that names methods.
func (c *Catalogue) Match(service, organisation, method, path string) (*Entry, bool) {
	var best *Entry
	for i := range c.Entries {
		e := &c.Entries[i]
		if e.Service != service || !e.serves(organisation, method, path) {
			continue
		}
		if best == nil || e.moreSpecific(best) {
			best = e
		}
	}
	return best, best != nil
}

func (e *Entry) serves(organisation, method, path string) bool {
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

// underPath compares whole segments, so that /rsvp does not also match /rsvps.
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

// Drained reports whether a drain takes a place out of use.
func (c *Catalogue) Drained(target, instance, zone, region string) (Drain, bool) {
	for _, d := range c.Drains {
		hit := d.Target != "" && d.Target == target ||
			d.Instance != "" && d.Instance == instance ||
			d.Zone != "" && d.Zone == zone ||
			d.Region != "" && d.Region == region
		if hit {
			return d, true
		}
	}
	return Drain{}, false
}
