package consensus

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"sorrelrudder/internal/gossip"
)

// Kinds of decisions, the first part of their keys.
const (
	OperatorKind = "order" // operator commands about a server: "order/POOL/SERVER"
	ZoneKind     = "zone"  // the state of a zone in the zone failover: "zone/POOL/ZONE"
)

// DecisionKinds are all kinds of decisions.
var DecisionKinds = []string{OperatorKind, ZoneKind}

// MaxDecisions bounds the decisions that are kept, withdrawn ones included.
const MaxDecisions = 1024

// Decision is something decided for the whole fleet, by an operator or by the holder of a lease.
type Decision struct {
	Number    uint64 `json:"number"` // a newer decision has a larger one, whatever its key
	Value     string `json:"value,omitempty"`
	Withdrawn bool   `json:"lifted,omitempty"`
	Token     uint64 `json:"token,omitempty"` // fencing token of the lease under which it was made; 0: by an operator
}

// Bytes is the value as the gossip carries it, nil if the decision was withdrawn.
func (d Decision) Bytes() []byte {
	if d.Withdrawn {
		return nil
	}
	return []byte(d.Value)
}

// DecisionCommand makes a decision or withdraws it.
type DecisionCommand struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Withdraw bool   `json:"lift,omitempty"`
	// Token is the fencing token of the lease whose holder decides; 0: an operator does.
	Token uint64 `json:"token,omitempty"`
	// BasedOn is the number of the decision on Key that the command replaces, 0 for none. It is checked if Token or Conditional is set.
	BasedOn uint64 `json:"after,omitempty"`
	// NewestZoneDecision is the number of the newest decision on any zone of the pool that the holder of a lease knew of. The capacity of the
	// other zones was computed with those, and a later one may have left another zone.
	NewestZoneDecision uint64 `json:"seen,omitempty"`
	// Conditional has an operator's command check BasedOn: a late or second copy of it changes nothing. Without it the command is carried
	// out as often as it comes.
	Conditional bool `json:"built,omitempty"`
}

// DecisionResult is the outcome of a [DecisionCommand].
type DecisionResult struct {
	Refusal Refusal `json:"why,omitempty"` // empty: it was applied
	Number  uint64  `json:"number,omitempty"`
	// Current is the decision in force if the refusal is RefusedConflict, and Number is its number.
	Current *Decision `json:"now,omitempty"`
}

// Rebase returns the command to send after RefusedConflict: the same, based on what is in force. ok is false if that is what the command
// wants (it was applied and its answer was lost, or another has done the same), and for any other refusal.
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

// DecisionDigest tells how far a state machine has come with its decisions. Processes with equal checksums have the same ones.
type DecisionDigest struct {
	Number   uint64 `json:"number"`
	Checksum uint64 `json:"sum"`
	FleetID  string `json:"fleet"`
}

func (m *StateMachine) applyDecision(c DecisionCommand) DecisionResult {
	if r := m.decisionRefusal(c); r.Refusal != "" {
		return r
	}
	if m.Decisions == nil {
		m.Decisions = map[string]*Decision{}
	}
	m.LastDecision++
	m.DeciderToken = max(m.DeciderToken, c.Token)
	m.Decisions[c.Key] = &Decision{Number: m.LastDecision, Value: c.Value, Withdrawn: c.Withdraw, Token: c.Token}
	return DecisionResult{Number: m.LastDecision}
}

// decisionRefusal returns the result of a command that is to be refused, the zero value for one that is to be applied.
func (m *StateMachine) decisionRefusal(c DecisionCommand) DecisionResult {
	switch {
	case !c.wellFormed():
		return DecisionResult{Refusal: refusedMalformed}
	case c.Token != 0 && c.Token < m.DeciderToken:
		return DecisionResult{Refusal: "a newer holder decides"}
	case (c.Token != 0 || c.Conditional) && m.decisionNumber(c.Key) != c.BasedOn:
		return m.conflict(c.Key)
	case c.Token != 0 && m.latestZoneDecision(c.Key) > c.NewestZoneDecision:
		return DecisionResult{Refusal: RefusedConflict, Number: m.latestZoneDecision(c.Key)}
	case c.Withdraw && (m.Decisions[c.Key] == nil || m.Decisions[c.Key].Withdrawn):
		return DecisionResult{Refusal: refusef("%q is not ordered", c.Key)}
	case m.Decisions[c.Key] == nil && len(m.Decisions) >= MaxDecisions:
		return DecisionResult{Refusal: refusef("%d orders were given, and more are not kept", MaxDecisions)}
	}
	return DecisionResult{}
}

func (c DecisionCommand) wellFormed() bool {
	known := strings.HasPrefix(c.Key, OperatorKind+"/") || strings.HasPrefix(c.Key, ZoneKind+"/")
	return known && len(c.Key) <= gossip.MaxKeyBytes && len(c.Value) <= gossip.MaxValueBytes
}

// conflict refuses a command whose BasedOn is out of date, and tells what is in force.
func (m *StateMachine) conflict(key string) DecisionResult {
	r := DecisionResult{Refusal: RefusedConflict, Number: m.decisionNumber(key)}
	if d := m.Decisions[key]; d != nil {
		current := *d
		r.Current = &current
	}
	return r
}

// decisionNumber is the number of the decision on a key, 0 without one.
func (m *StateMachine) decisionNumber(key string) uint64 {
	if d := m.Decisions[key]; d != nil {
		return d.Number
	}
	return 0
}

// latestZoneDecision is the number of the newest decision on any zone of the pool that key is of; 0 without one, and for a key of
// another kind.
func (m *StateMachine) latestZoneDecision(key string) (newest uint64) {
	if gossip.KindOf(key) != ZoneKind {
		return 0
	}
	pool, _, _ := gossip.SplitPoolKey(key)
	for other, d := range m.Decisions {
		if strings.HasPrefix(other, ZoneKind+"/"+pool+"/") {
			newest = max(newest, d.Number)
		}
	}
	return newest
}

// DecisionsSince calls each with the decisions that are newer than number, oldest first, and returns the number of the newest.
func (m *StateMachine) DecisionsSince(number uint64, each func(key string, d Decision)) uint64 {
	var keys []string
	for key, d := range m.Decisions {
		if d.Number > number {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(m.Decisions[a].Number, m.Decisions[b].Number) })
	for _, key := range keys {
		each(key, *m.Decisions[key])
	}
	return m.LastDecision
}

// digest is sent with each answer to a keepalive.
func (m *StateMachine) digest() *DecisionDigest {
	digest := &DecisionDigest{Number: m.LastDecision, FleetID: m.FleetID}
	tag := gossip.FleetTag(m.FleetID)
	for _, key := range slices.Sorted(maps.Keys(m.Decisions)) {
		d := m.Decisions[key]
		digest.Checksum += gossip.DecidedEntry(tag, key, d.Number, d.Bytes()).Digest()
	}
	return digest
}
