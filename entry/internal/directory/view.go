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

// View is an immutable picture of the control state, read by the goroutines that carry traffic.
type View struct {
	CatalogueNumber uint64
	Catalogue       *cataloguer.Catalogue
	// Pools holds the targets of each service.
	Pools map[string]*balancer.Pool
	// Instances are the entry instances that may be named to callers.
	Instances *chooser.List
	Sites     *mapper.Table
	Roster    []*wire.Node
	Stopping  bool
}

// RegionOf returns the region nearest to a client by the catalogue's blocks, or "".
func (v *View) RegionOf(site mapper.Site) string {
	if int(site) >= len(v.Catalogue.Clients) {
		return ""
	}
	return v.Catalogue.Clients[site].Region
}

func buildSites(c *cataloguer.Catalogue) *mapper.Table {
	var blocks []mapper.Block
	for i, clients := range c.Clients {
		for _, p := range clients.Blocks {
			blocks = append(blocks, mapper.Block{Prefix: p, Site: mapper.Site(i)})
		}
	}
	return mapper.Build(blocks)
}

// buildPool groups a service's live targets by distance from this instance, drained ones left out.
func (d *Directory) buildPool(now time.Time, c *cataloguer.Catalogue, service string) *balancer.Pool {
	groups := map[string][]*balancer.Target{}
	var members []*balancer.Target
	for _, r := range d.records.Live(now, service) {
		if _, drained := c.Drained(r.GetName(), "", r.GetZone(), r.GetRegion()); drained {
			continue
		}
		u, ok := d.targets[r.GetName()]
		if !ok {
			continue
		}
		key := u.Region
		if u.Region == d.Region && u.Zone == d.Zone {
			key = ownZone
		}
		groups[key] = append(groups[key], u)
		members = append(members, u)
	}
	d.dealSlots(members)
	p := &balancer.Pool{}
	p.Tiers = append(p.Tiers, balancer.Tier{Region: d.Region, Targets: groups[ownZone]})
	p.Tiers = append(p.Tiers, balancer.Tier{Region: d.Region, Targets: groups[d.Region]})
	for _, region := range d.otherRegions(c) {
		p.Tiers = append(p.Tiers, balancer.Tier{Region: region, Targets: groups[region]})
	}
	return p
}

// dealSlots marks how many slots of each target belong to this instance. An instance that is leaving, or
// not yet on the roster, still counts itself: it may get requests.
func (d *Directory) dealSlots(members []*balancer.Target) {
	partners := []partitioner.Instance{{Name: d.Instance, Region: d.Region}}
	for _, n := range d.nodes {
		if n.GetName() != d.Instance && !n.GetLost() && !n.GetLeaving() {
			partners = append(partners, partitioner.Instance{Name: n.GetName(), Region: n.GetRegion()})
		}
	}
	var slots []partitioner.Target
	for _, u := range members {
		slots = append(slots, partitioner.Target{Name: u.Name, Region: u.Region, Slots: u.Slots})
	}
	for i, n := range partitioner.Partition(d.Instance, partitioner.NewMembers(partners), slots) {
		members[i].SetOwn(n)
	}
}

// ownZone can't be a region's name, which has no blank.
const ownZone = "own zone"

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

// distance ranks regions as seen from one: itself, then the others alike.
func distance(from, to string) int {
	if from == to {
		return 0
	}
	return 1
}
