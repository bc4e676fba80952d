package consensus

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"sorrelrudder/internal/gossip"
)

// Kinds of decisions. The kind is the first part of a decision's key.
const (
	OperatorKind = "order" // operators' decisions on an endpoint: "order/POOL/ENDPOINT"
	ZoneKind     = "zone"  // the state of a zone in the zone failover: "zone/POOL/ZONE"
)

// DecisionKinds lists all kinds of decisions.
var DecisionKinds = []string{OperatorKind, ZoneKind}

// MaxDecisions is the largest number of decisions that are kept, including withdrawn ones.
const MaxDecisions = 1024

// Decision is a decision that applies to the whole fleet. An operator or a lease holder makes it.
type Decision struct {
	Number    uint64 `json:"number"` // increases with each decision on any key
	Value     string `json:"value,omitempty"`
	Withdrawn bool   `json:"lifted,omitempty"`
	Token     uint64 `json:"token,omitempty"` // fencing token of the lease whose holder decided; 0: an operator decided
}

// Bytes returns the value in the form that gossip sends, or nil if the decision was withdrawn.
func (d Decision) Bytes() []byte {
	if d.Withdrawn {
		return nil
	}
	return []byte(d.Value)
}

// DecisionCommand makes or withdraws a decision.
type DecisionCommand struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Withdraw bool   `json:"lift,omitempty"`
	// Token is the fencing token of the lease whose holder decides. 0: an operator decides.
	Token uint64 `json:"token,omitempty"`
	// BasedOn is the number of the decision on Key that the command replaces, 0 for none. It is checked if Token or Conditional is set.
	BasedOn uint64 `json:"after,omitempty"`
	// NewestZoneDecision is the number of the newest decision on any zone of the pool that the lease holder knew. The holder computed the
	// capacity of the other zones from the decisions up to this number. The command is refused if there is a later decision, because that
	// decision may have moved the traffic of another zone away.
	NewestZoneDecision uint64 `json:"seen,omitempty"`
	// Conditional makes an operator's command check BasedOn, so that a late or duplicate copy changes nothing. A command without it takes
	// effect each time it arrives.
	Conditional bool `json:"built,omitempty"`
}

// DecisionResult is the outcome of a [DecisionCommand].
type DecisionResult struct {
	Refusal Refusal `json:"why,omitempty"` // empty: it was applied
	Number  uint64  `json:"number,omitempty"`
	// Current is the current decision on the key, and Number its number, if the refusal is RefusedConflict. If the conflict is with a decision
	// on another zone, Current is nil and Number is that decision's number.
	Current *Decision `json:"now,omitempty"`
}

// Rebase returns the command to send after RefusedConflict: the same command based on the current decision. ok is false if the current
// decision already has the wanted effect: the command was applied and its response was lost, or another command had the same effect.
// ok is also false for any other refusal and for a command of a lease holder.
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

// DecisionDigest identifies the decisions of a state machine. Processes with equal checksums have the same decisions.
type DecisionDigest struct {
	Number   uint64 `json:"number"`
	Checksum uint64 `json:"sum"`
	FleetID  string `json:"fleet"`
}

// applyDecision applies a command, or refuses it without a change.
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

// decisionRefusal returns the result with the refusal of a command, or the zero value if the command may be applied.
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

// wellFormed reports whether the key has a known kind, and key and value are within the bounds of gossip.
func (c DecisionCommand) wellFormed() bool {
	known := strings.HasPrefix(c.Key, OperatorKind+"/") || strings.HasPrefix(c.Key, ZoneKind+"/")
	return known && len(c.Key) <= gossip.MaxKeyBytes && len(c.Value) <= gossip.MaxValueBytes
}

// conflict returns the result for a command whose BasedOn is out of date, with the current decision.
func (m *StateMachine) conflict(key string) DecisionResult {
	r := DecisionResult{Refusal: RefusedConflict, Number: m.decisionNumber(key)}
	if d := m.Decisions[key]; d != nil {
		current := *d
		r.Current = &current
	}
	return r
}

// decisionNumber returns the number of the decision on a key, 0 without one.
func (m *StateMachine) decisionNumber(key string) uint64 {
	if d := m.Decisions[key]; d != nil {
		return d.Number
	}
	return 0
}

// latestZoneDecision returns the number of the newest decision on any zone of the pool in key. It returns 0 without such a decision and
// for a key of another kind.
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

// DecisionsSince calls each with the decisions newer than number, oldest first, and returns the number of the newest decision.
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

// digest returns the digest that is sent with each response to a keepalive.
func (m *StateMachine) digest() *DecisionDigest {
	digest := &DecisionDigest{Number: m.LastDecision, FleetID: m.FleetID}
	tag := gossip.FleetTag(m.FleetID)
	for _, key := range slices.Sorted(maps.Keys(m.Decisions)) {
		d := m.Decisions[key]
		digest.Checksum += gossip.DecidedEntry(tag, key, d.Number, d.Bytes()).Digest()
	}
	return digest
}
