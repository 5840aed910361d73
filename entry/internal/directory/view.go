package directory

import (
	"slices"
	"time"

	"chervilrail.example/core/balancer"
	"chervilrail.example/core/cataloguer"
	"chervilrail.example/core/chooser"
	"chervilrail.example/core/mapper"
	"chervilrail.example/core/partitioner"
	"chervilrail.example/core/wire"
)

// View is an immutable snapshot of the control state, read by the goroutines that serve traffic.
type View struct {
	// CatalogueNumber is the version of Catalogue, as the controllers number it.
	CatalogueNumber uint64
	Catalogue       *cataloguer.Catalogue
	// Pools holds the targets of each service.
	Pools map[string]*balancer.Pool
	// Instances are the entry instances that may be named to callers.
	Instances *chooser.List
	// Sites maps client addresses to the catalogue's Clients.
	Sites *mapper.Table
	// Roster holds all entry instances that the controllers reported.
	Roster []*wire.Node
	// Leaving is set once this instance is about to stop.
	Leaving bool
}

// RegionOf returns the region nearest to the clients of a site by the catalogue, or "" if the site is unknown.
func (v *View) RegionOf(site mapper.Site) string {
	if int(site) >= len(v.Catalogue.Clients) {
		return ""
	}
	return v.Catalogue.Clients[site].Region
}

// buildSites maps each address block of the catalogue to the index of its clients.
func buildSites(c *cataloguer.Catalogue) *mapper.Table {
	var blocks []mapper.Block
	for i, clients := range c.Clients {
		for _, p := range clients.Blocks {
			blocks = append(blocks, mapper.Block{Prefix: p, Site: mapper.Site(i)})
		}
	}
	return mapper.Build(blocks)
}

// buildPool groups a service's live targets by distance from this instance: those of its own zone, those of the other
// zones of its region, then those of each other region. Drained ones are left out.
func (d *Directory) buildPool(now time.Time, c *cataloguer.Catalogue, service string) *balancer.Pool {
	groups := map[string][]*balancer.Target{}
	var targets []*balancer.Target
	for _, r := range d.records.Ready(now, service) {
		if _, drained := c.Drained(r.GetName(), "", r.GetZone(), r.GetRegion()); drained {
			continue
		}
		target, ok := d.targets[r.GetName()]
		if !ok {
			continue
		}
		key := target.Region
		if target.Region == d.Region && target.Zone == d.Zone {
			key = ownZone
		}
		groups[key] = append(groups[key], target)
		targets = append(targets, target)
	}
	d.assignSlots(targets)
	p := &balancer.Pool{}
	p.Tiers = append(p.Tiers, balancer.Tier{Region: d.Region, Targets: groups[ownZone]})
	p.Tiers = append(p.Tiers, balancer.Tier{Region: d.Region, Targets: groups[d.Region]})
	for _, region := range d.otherRegions(c) {
		p.Tiers = append(p.Tiers, balancer.Tier{Region: region, Targets: groups[region]})
	}
	return p
}

// assignSlots sets how many slots of each target belong to this instance. An instance that is leaving, or not yet on
// the roster, still counts itself, because it may receive requests.
func (d *Directory) assignSlots(targets []*balancer.Target) {
	instances := []partitioner.Instance{{Name: d.Instance, Region: d.Region}}
	for _, n := range d.roster {
		if n.GetName() != d.Instance && !n.GetLost() && !n.GetLeaving() {
			instances = append(instances, partitioner.Instance{Name: n.GetName(), Region: n.GetRegion()})
		}
	}
	var slots []partitioner.Target
	for _, u := range targets {
		slots = append(slots, partitioner.Target{Name: u.Name, Region: u.Region, Slots: u.Slots})
	}
	for i, n := range partitioner.Partition(d.Instance, partitioner.NewMembers(instances), slots) {
		targets[i].SetOwnSlots(n)
	}
}

// ownZone is the key of the targets in this instance's own zone. It can't be a region's name, which has no blank.
const ownZone = "own zone"

// otherRegions returns the catalogue's regions except this instance's own, sorted by name.
func (d *Directory) otherRegions(c *cataloguer.Catalogue) []string {
	var out []string
	for _, r := range c.Regions {
		if r.Name != d.Region {
			out = append(out, r.Name)
		}
	}
	slices.Sort(out)
	return out
}

// distance ranks regions as seen from one: 0 for itself, 1 for all others.
func distance(from, to string) int {
	if from == to {
		return 0
	}
	return 1
}
