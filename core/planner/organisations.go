package planner

import (
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// digest is what stands for a key. Callers choose what they send as a key, so it has to resist those who look for two texts
// with one digest; and the time of a search by digest tells nothing of the keys.
type digest [sha256.Size]byte

func checkOrganisations(list []*wire.Organisation) error {
	names := map[string]bool{}
	holders := map[string]string{}
	for _, o := range list {
		if o.GetName() == "" || names[o.GetName()] {
			return &PlanError{o.GetName(), "name", "a name of its own"}
		}
		names[o.GetName()] = true
		if !sane(o.GetRate()) || !sane(o.GetBurst()) {
			return &PlanError{o.GetName(), "quota", "numbers of 0 or more"}
		}
		for _, key := range o.GetKeys() {
			// The error tells no key: it goes to logs.
			if other, ok := holders[key]; ok && other != o.GetName() {
				return &PlanError{o.GetName(), "keys", "keys that " + other + " does not have"}
			}
			holders[key] = o.GetName()
		}
	}
	return nil
}

// HashKeys returns the plan without any key: with digests in their place, for processes that need only recognise keys.
func HashKeys(p *wire.Plan) *wire.Plan {
	if !slices.ContainsFunc(p.GetOrganisations(), func(o *wire.Organisation) bool { return len(o.GetKeys()) > 0 }) {
		return p
	}
	out := &wire.Plan{
		Version: p.GetVersion(), Routes: p.GetRoutes(), Services: p.GetServices(), Limits: p.GetLimits(), Keyed: p.GetKeyed(),
	}
	for _, o := range p.GetOrganisations() {
		sealed := proto.CloneOf(o)
		sealed.Keys = nil
		for _, key := range o.GetKeys() {
			sum := sha256.Sum256([]byte(key))
			sealed.Digests = append(sealed.Digests, sum[:])
		}
		out.Organisations = append(out.Organisations, sealed)
	}
	return out
}

// organisations finds organisations by their keys.
type organisations map[digest]*wire.Organisation

func index(p *wire.Plan) organisations {
	out := organisations{}
	for _, o := range HashKeys(p).GetOrganisations() {
		for _, sum := range o.GetDigests() {
			var d digest
			if copy(d[:], sum) == len(d) {
				out[d] = o
			}
		}
	}
	return out
}

// Organisation returns whose key it is.
func (t *Table) Organisation(key string) (*wire.Organisation, bool) {
	if key == "" {
		return nil, false
	}
	o, ok := t.keys[sha256.Sum256([]byte(key))]
	return o, ok
}

// CommonRegions returns the regions that both lists allow, where an empty list allows all; false if there is none.
func CommonRegions(a, b []string) ([]string, bool) {
	if len(a) == 0 {
		return b, true
	}
	if len(b) == 0 {
		return a, true
	}
	var out []string
	for _, region := range a {
		if slices.Contains(b, region) {
			out = append(out, region)
		}
	}
	return out, len(out) > 0
}
