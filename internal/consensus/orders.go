package consensus

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sorrelrudder/internal/gossip"
)

// OperatorKind begins the keys of what operators order: "order/POOL/SERVER".
const OperatorKind = "order"

// ZoneKind begins the keys of what is decided of zones: "zone/POOL/ZONE".
const ZoneKind = "zone"

// MaxDecisions bounds the orders, those included that were lifted: their numbers are kept, so that no late copy brings them back.
const MaxDecisions = 1024

// Decision is something that operators have decided for the whole fleet.
type Decision struct {
	Number    uint64 `json:"number"` // of the decision: grows with each
	Value     string `json:"value,omitempty"`
	Withdrawn bool   `json:"lifted,omitempty"`
	Token     uint64 `json:"token,omitempty"` // of the lease under which it was decided; 0: by an operator
}

// DecisionCommand gives an order or lifts it.
type DecisionCommand struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Withdraw bool   `json:"lift,omitempty"`
	// Token is the fencing token of the lease whose holder decides; 0: an operator does. After is the number of the decision that it builds
	// on: if another has come between, it is refused, and the holder looks again.
	Token   uint64 `json:"token,omitempty"`
	BasedOn uint64 `json:"after,omitempty"`
	// Seen, of a holder's word on a zone, is the newest decision on any zone of the pool that it knows of: what the others can bear was reckoned with
	// those, and one that has come between may have left another zone.
	LastSeenZone uint64 `json:"seen,omitempty"`
	// Conditional has an operator's command build on After, too: a copy of it that comes late, or twice, changes nothing. Without it the command is
	// carried out as often as it comes.
	Conditional bool `json:"built,omitempty"`
}

// DecisionResult is what became of it.
type DecisionResult struct {
	Refusal string `json:"why,omitempty"`
	Number  uint64 `json:"number,omitempty"`
	// Current is what is in force where something else was decided meanwhile, Number its number.
	Current *Decision `json:"now,omitempty"`
}

// RefusedConflict is why a command was refused that builds on what is in force no more.
const RefusedConflict = "something else was decided meanwhile"

// Rebase is what an operator is to ask after a refusal for something that was decided meanwhile: the same, building on that. ok is false if that very
// thing is in force: it was done, and its answer was lost, or another has done it. Without such a refusal c is returned as it is.
func (c DecisionCommand) Rebase(r *DecisionResult) (next DecisionCommand, ok bool) {
	if r.Refusal != RefusedConflict || c.Token != 0 {
		return c, false
	}
	if r.Current != nil && r.Current.Withdrawn == c.Withdraw && (c.Withdraw || r.Current.Value == c.Value) {
		return c, false
	}
	c.BasedOn = r.Number
	return c, true
}

// DecisionDigest tells how far the council has come with its decisions, and the sum of all: who has the same sum has all of them.
type DecisionDigest struct {
	Number   uint64 `json:"number"`
	Checksum uint64 `json:"sum"`
	FleetID  string `json:"fleet"` // whose council it is
}

func (f *StateMachine) applyDecision(c DecisionCommand) DecisionResult {
	switch {
	case !strings.HasPrefix(c.Key, OperatorKind+"/") && !strings.HasPrefix(c.Key, ZoneKind+"/") || len(c.Key) > gossip.MaxKeyBytes || len(c.Value) > gossip.MaxValueBytes:
		return DecisionResult{Refusal: "malformed"}
	case c.Token != 0 && c.Token < f.DeciderToken:
		return DecisionResult{Refusal: "a newer holder decides"}
	case (c.Token != 0 || c.Conditional) && f.decisionNumber(c.Key) != c.BasedOn:
		r := DecisionResult{Refusal: RefusedConflict, Number: f.decisionNumber(c.Key)}
		if now := f.Decisions[c.Key]; now != nil {
			was := *now
			r.Current = &was
		}
		return r
	case c.Token != 0 && f.latestZoneDecision(c.Key) > c.LastSeenZone:
		return DecisionResult{Refusal: RefusedConflict, Number: f.latestZoneDecision(c.Key)}
	case c.Withdraw && (f.Decisions[c.Key] == nil || f.Decisions[c.Key].Withdrawn):
		return DecisionResult{Refusal: fmt.Sprintf("%q is not ordered", c.Key)}
	case f.Decisions[c.Key] == nil && len(f.Decisions) >= MaxDecisions:
		return DecisionResult{Refusal: fmt.Sprintf("%d orders were given, and more are not kept", MaxDecisions)}
	}
	if f.Decisions == nil {
		f.Decisions = map[string]*Decision{}
	}
	f.LastDecision++
	f.DeciderToken = max(f.DeciderToken, c.Token)
	f.Decisions[c.Key] = &Decision{Number: f.LastDecision, Value: c.Value, Withdrawn: c.Withdraw, Token: c.Token}
	return DecisionResult{Number: f.LastDecision}
}

// decisionNumber is that of the newest decision on a key, 0 without one.
func (f *StateMachine) decisionNumber(key string) uint64 {
	if o := f.Decisions[key]; o != nil {
		return o.Number
	}
	return 0
}

// latestZoneDecision is the number of the newest decision on a zone of the pool that key is of, 0 without one or for another kind of key.
func (f *StateMachine) latestZoneDecision(key string) (newest uint64) {
	if gossip.KindOf(key) != ZoneKind {
		return 0
	}
	pool, _, _ := gossip.SplitPoolKey(key)
	for other, o := range f.Decisions {
		if strings.HasPrefix(other, ZoneKind+"/"+pool+"/") {
			newest = max(newest, o.Number)
		}
	}
	return newest
}

// DecisionKinds are those of what the council decides.
var DecisionKinds = []string{OperatorKind, ZoneKind}

// DecisionsSince calls each with the orders that are newer than a number, in the order of their numbers, and returns the newest number.
func (f *StateMachine) DecisionsSince(number uint64, each func(key string, o Decision)) uint64 {
	var fresh []string
	for key, o := range f.Decisions {
		if o.Number > number {
			fresh = append(fresh, key)
		}
	}
	slices.SortFunc(fresh, func(a, b string) int { return int(int64(f.Decisions[a].Number - f.Decisions[b].Number)) })
	for _, key := range fresh {
		each(key, *f.Decisions[key])
	}
	return f.LastDecision
}

// digest is how far this node has come, as it is told with each renewal.
func (f *StateMachine) digest() *DecisionDigest {
	d, tag := &DecisionDigest{Number: f.LastDecision, FleetID: f.FleetID}, gossip.FleetTag(f.FleetID)
	for _, key := range slices.Sorted(maps.Keys(f.Decisions)) {
		o := f.Decisions[key]
		d.Checksum += gossip.DecidedEntry(tag, key, o.Number, o.value()).Digest()
	}
	return d
}

func (o *Decision) value() []byte {
	if o.Withdrawn {
		return nil
	}
	return []byte(o.Value)
}

// Bytes is the order's value as copies have it, nil if it was lifted.
func (o Decision) Bytes() []byte { return o.value() }
