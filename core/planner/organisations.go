package planner

import (
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/wire"
)

// keyDigest is the digest of an organisation's key. Callers choose what they send as a key, so the hash has to be
// collision resistant. The duration of a look-up by digest reveals nothing about the keys.
type keyDigest [sha256.Size]byte

func checkOrganisations(list []*wire.Organisation) error {
	names := map[string]bool{}
	owners := map[string]string{}
	for _, o := range list {
		if o.GetName() == "" || names[o.GetName()] {
			return &PlanError{o.GetName(), "name", "a name of its own"}
		}
		names[o.GetName()] = true
		if !isValidAmount(o.GetRate()) || !isValidAmount(o.GetBurst()) {
			return &PlanError{o.GetName(), "quota", "numbers of 0 or more"}
		}
		for _, key := range o.GetKeys() {
			// The error does not contain the key, because errors are logged.
			if owner, ok := owners[key]; ok && owner != o.GetName() {
				return &PlanError{o.GetName(), "keys", "keys that " + owner + " does not have"}
			}
			owners[key] = o.GetName()
		}
	}
	return nil
}

// HashKeys returns the plan with the digests of all keys instead of the keys, for processes that only have to recognise
// keys. The given plan is not modified; it is returned itself if it contains no keys.
func HashKeys(p *wire.Plan) *wire.Plan {
	if !slices.ContainsFunc(p.GetOrganisations(), func(o *wire.Organisation) bool { return len(o.GetKeys()) > 0 }) {
		return p
	}
	out := &wire.Plan{
		Version: p.GetVersion(), Routes: p.GetRoutes(), Services: p.GetServices(), Limits: p.GetLimits(), Keyed: p.GetKeyed(),
	}
	for _, o := range p.GetOrganisations() {
		hashed := proto.CloneOf(o)
		hashed.Keys = nil
		for _, key := range o.GetKeys() {
			sum := sha256.Sum256([]byte(key))
			hashed.Digests = append(hashed.Digests, sum[:])
		}
		out.Organisations = append(out.Organisations, hashed)
	}
	return out
}

// keyIndex holds organisations by the digests of their keys.
type keyIndex map[keyDigest]*wire.Organisation

func newKeyIndex(p *wire.Plan) keyIndex {
	out := keyIndex{}
	for _, o := range HashKeys(p).GetOrganisations() {
		for _, sum := range o.GetDigests() {
			var d keyDigest
			if copy(d[:], sum) == len(d) {
				out[d] = o
			}
		}
	}
	return out
}

// Organisation returns the organisation that a key belongs to, and whether there is one.
func (t *Table) Organisation(key string) (*wire.Organisation, bool) {
	if key == "" {
		return nil, false
	}
	o, ok := t.keys[sha256.Sum256([]byte(key))]
	return o, ok
}

// CommonRegions returns the regions that both lists allow, and whether there are any. An empty list, also as a result
// with true, allows all regions.
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
