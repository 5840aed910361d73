// Package keeper implements the replicated state machine of the controllers. Its state consists of the catalogue and
// the routing plan in force, the verdicts on changes, evacuations, the possible holders of quota parts, and the ledger
// of claims. It is deterministic: equal commands in equal order give equal states.
package keeper

import (
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/claimer"
	"chervilrail.example/core/wire"
)

// MaxVerdicts is how many verdicts are kept so that resent changes get the same answer. At 4,900 changes a day they
// cover more than three days.
const MaxVerdicts = 16384

// Keeper holds the state. Its zero value is the empty state. It is not safe for concurrent use.
type Keeper struct {
	Ledger claimer.Ledger

	// clock is the highest time of an applied command, in milliseconds since the epoch.
	clock           int64
	catalogueNumber uint64
	// changeID identifies the change that put the catalogue in force.
	changeID  string
	catalogue []byte
	// verdicts holds the verdicts by the ids of the changes; verdictOrder lists these ids, oldest first.
	verdicts     map[string]*wire.Verdict
	verdictOrder []string

	plan           *wire.Plan
	evacuatedZones []string
	// digests identify all accepted plan changes; digestOrder lists them, oldest first.
	digests     map[string]bool
	digestOrder [][]byte
	holders     []*wire.QuotaHolder
	stretched   []string
}

// CatalogueNumber returns the number of the catalogue in force.
func (k *Keeper) CatalogueNumber() uint64 { return k.catalogueNumber }

// Catalogue returns the text of the catalogue in force.
func (k *Keeper) Catalogue() []byte { return k.catalogue }

// Apply applies one committed command and returns its result.
func (k *Keeper) Apply(c *wire.Command) *wire.Result {
	// The clocks of successive leaders differ. If time went backwards, an expired key of a claim would become valid
	// again.
	k.clock = max(k.clock, c.GetAt())
	now := time.UnixMilli(k.clock)
	switch {
	case c.GetChange() != nil:
		return &wire.Result{Verdict: k.changeCatalogue(c.GetChange())}
	case c.GetClaim() != nil:
		return &wire.Result{Claim: k.Ledger.Claim(now, c.GetClaim())}
	case c.GetSettle() != nil:
		return &wire.Result{Claim: k.Ledger.Settle(now, c.GetSettle())}
	case c.GetPlan() != nil:
		return &wire.Result{Plan: k.changePlan(c.GetPlan())}
	case c.GetEvacuation() != nil:
		k.evacuate(c.GetEvacuation())
	case c.GetHolder() != nil:
		k.changeHolder(c.GetHolder())
	case c.GetStretch() != nil:
		return &wire.Result{Changed: k.changeStretched(c.GetStretch())}
	case c.GetRead():
		return &wire.Result{Current: k.plan}
	}
	return &wire.Result{}
}

func (k *Keeper) changeCatalogue(c *wire.Change) *wire.Verdict {
	if v, ok := k.verdicts[c.GetId()]; ok {
		return v
	}
	v := k.decide(c)
	k.recordVerdict(c.GetId(), v)
	return v
}

// decide accepts exactly one change of each number. The text of the catalogue is checked before the change is proposed
// and not here: during an upgrade, releases with different rules would reach different states.
func (k *Keeper) decide(c *wire.Change) *wire.Verdict {
	if c.GetNumber() != k.catalogueNumber+1 {
		return &wire.Verdict{Number: k.catalogueNumber, Winner: k.changeID, Reason: "number"}
	}
	k.catalogueNumber = c.GetNumber()
	k.changeID = c.GetId()
	k.catalogue = c.GetCatalogue()
	return &wire.Verdict{Accepted: true, Number: k.catalogueNumber, Winner: k.changeID}
}

func (k *Keeper) recordVerdict(id string, v *wire.Verdict) {
	if k.verdicts == nil {
		k.verdicts = map[string]*wire.Verdict{}
	}
	k.verdicts[id] = v
	k.verdictOrder = append(k.verdictOrder, id)
	if len(k.verdictOrder) > MaxVerdicts {
		delete(k.verdicts, k.verdictOrder[0])
		k.verdictOrder = k.verdictOrder[1:]
	}
}

// Snapshot encodes the whole state.
func (k *Keeper) Snapshot() ([]byte, error) {
	s := &wire.State{
		At:        k.clock,
		Number:    k.catalogueNumber,
		Id:        k.changeID,
		Catalogue: k.catalogue,
		Claims:    k.Ledger.Snapshot(),
		Plan:      k.plan,
		Digests:   k.digestOrder,
		Evacuated: k.evacuatedZones,
		Holders:   k.holders,
		Stretched: k.stretched,
	}
	for _, id := range k.verdictOrder {
		s.Answers = append(s.Answers, &wire.Answer{Id: id, Verdict: k.verdicts[id]})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, &StateError{Action: "encode", Cause: err}
	}
	return data, nil
}

// Restore replaces the state with a snapshot.
func (k *Keeper) Restore(data []byte) error {
	s := &wire.State{}
	if err := proto.Unmarshal(data, s); err != nil {
		return &StateError{Action: "decode", Cause: err}
	}
	k.clock = s.GetAt()
	k.catalogueNumber = s.GetNumber()
	k.changeID = s.GetId()
	k.catalogue = s.GetCatalogue()
	k.verdicts = map[string]*wire.Verdict{}
	k.verdictOrder = nil
	for _, a := range s.GetAnswers() {
		k.verdicts[a.GetId()] = a.GetVerdict()
		k.verdictOrder = append(k.verdictOrder, a.GetId())
	}
	k.Ledger.Restore(s.GetClaims())
	k.restorePlan(s)
	k.holders = s.GetHolders()
	k.stretched = s.GetStretched()
	return nil
}
