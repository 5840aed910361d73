// Package keeper is the replicated state machine: the catalogue and the routing plan in force, the verdicts on
// changes, evacuations, and the ledger of claims. Equal commands in equal order give equal states.
package keeper

import (
	"time"

	"google.golang.org/protobuf/proto"

	"chervilrail.example/core/claimer"
	"chervilrail.example/core/wire"
)

// Remembered is how many verdicts are kept for resends. At 4,900 changes a day that is over three days.
const Remembered = 16384

// Keeper holds the state. Its zero value is the empty state.
type Keeper struct {
	Ledger claimer.Ledger

	at        int64
	number    uint64
	id        string
	catalogue []byte
	answers   map[string]*wire.Verdict
	order     []string

	plan        *wire.Plan
	evacuated   []string
	digests     map[string]bool
	digestOrder [][]byte
	holders     []*wire.QuotaHolder
	stretched   []string
}

// CatalogueNumber returns the number of the catalogue in force.
func (k *Keeper) CatalogueNumber() uint64 { return k.number }

// Catalogue returns the text of the catalogue in force.
func (k *Keeper) Catalogue() []byte { return k.catalogue }

// Apply runs one command.
func (k *Keeper) Apply(c *wire.Command) *wire.Result {
	// Leaders' clocks differ; a time that ran backwards would bring an expired key back to life.
	k.at = max(k.at, c.GetAt())
	at := time.UnixMilli(k.at)
	switch {
	case c.GetChange() != nil:
		return &wire.Result{Verdict: k.change(c.GetChange())}
	case c.GetClaim() != nil:
		return &wire.Result{Claim: k.Ledger.Claim(at, c.GetClaim())}
	case c.GetSettle() != nil:
		return &wire.Result{Claim: k.Ledger.Settle(at, c.GetSettle())}
	case c.GetPlan() != nil:
		return &wire.Result{Plan: k.changePlan(c.GetPlan())}
	case c.GetEvacuation() != nil:
		k.evacuate(c.GetEvacuation())
	case c.GetHolder() != nil:
		k.changeHolder(c.GetHolder())
	case c.GetStretch() != nil:
		return &wire.Result{Changed: k.stretch(c.GetStretch())}
	case c.GetRead():
		return &wire.Result{Current: k.plan}
	}
	return &wire.Result{}
}

func (k *Keeper) change(c *wire.Change) *wire.Verdict {
	if v, ok := k.answers[c.GetId()]; ok {
		return v
	}
	v := k.judge(c)
	k.remember(c.GetId(), v)
	return v
}

// judge accepts exactly one change of each number. The text was checked before it was proposed: checked
// here, two releases with different rules would reach different states during an upgrade.
func (k *Keeper) judge(c *wire.Change) *wire.Verdict {
	if c.GetNumber() != k.number+1 {
		return &wire.Verdict{Number: k.number, Winner: k.id, Reason: "number"}
	}
	k.number = c.GetNumber()
	k.id = c.GetId()
	k.catalogue = c.GetCatalogue()
	return &wire.Verdict{Accepted: true, Number: k.number, Winner: k.id}
}

func (k *Keeper) remember(id string, v *wire.Verdict) {
	if k.answers == nil {
		k.answers = map[string]*wire.Verdict{}
	}
	k.answers[id] = v
	k.order = append(k.order, id)
	if len(k.order) > Remembered {
		delete(k.answers, k.order[0])
		k.order = k.order[1:]
	}
}

// Snapshot encodes the whole state.
func (k *Keeper) Snapshot() ([]byte, error) {
	s := &wire.State{
		At:        k.at,
		Number:    k.number,
		Id:        k.id,
		Catalogue: k.catalogue,
		Claims:    k.Ledger.Snapshot(),
		Plan:      k.plan,
		Digests:   k.digestOrder,
		Evacuated: k.evacuated,
		Holders:   k.holders,
		Stretched: k.stretched,
	}
	for _, id := range k.order {
		s.Answers = append(s.Answers, &wire.Answer{Id: id, Verdict: k.answers[id]})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, &StateError{Action: "encode", Cause: err}
	}
	return data, nil
}

// Restore replaces the state by a snapshot.
func (k *Keeper) Restore(data []byte) error {
	s := &wire.State{}
	if err := proto.Unmarshal(data, s); err != nil {
		return &StateError{Action: "decode", Cause: err}
	}
	k.at = s.GetAt()
	k.number = s.GetNumber()
	k.id = s.GetId()
	k.catalogue = s.GetCatalogue()
	k.answers = map[string]*wire.Verdict{}
	k.order = nil
	for _, a := range s.GetAnswers() {
		k.answers[a.GetId()] = a.GetVerdict()
		k.order = append(k.order, a.GetId())
	}
	k.Ledger.Restore(s.GetClaims())
	k.restorePlan(s)
	k.holders = s.GetHolders()
	k.stretched = s.GetStretched()
	return nil
}
