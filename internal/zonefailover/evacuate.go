// Package zonefailover decides when a fleet leaves a zone whose servers fail, and at what pace it returns. One process decides for all, the holder
// of a lease; what it decides goes through the council's log, and all act on that. There is no I/O and no clock here: what members have found
// out of servers goes in, with the time of the caller's own clock, and a step comes out.
//
// Is it the zone, or is it who looks? A member that finds most servers of all zones silent is itself cut off, and its word does not count. A
// zone is down if most of its servers are silent to members of more than one zone while most servers of the others are not. If only members of
// one zone find so, the way between the two is broken, and only those are hurt. If servers of all zones are silent alike, it is a release or
// too much load, and leaving one would make it worse.
package zonefailover

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Rules are the figures by which a zone is left and returned to.
type Rules struct {
	UnreachableThreshold    float64       // share of a zone's servers that must be silent for it to be left
	MaxUnreachableElsewhere float64       // share of the other zones' servers that may be silent then
	MinRemainingCapacity    float64       // share of all servers that must be in zones that are not left, after leaving
	StepDuration            time.Duration // how long a step of the return is looked at before the next
	HoldDown                time.Duration // how long a zone that was left stays so at least; doubled by each relapse
	MaxHoldDown             time.Duration // and never longer
	GrayFailures            bool          // a zone that fails in part is left, too
	HealthQuorum            int           // members that must find the zone silent before it is left, and to answer before the return begins
	WarmUp                  time.Duration // how long servers are cold at most: so long after its last step a zone counts as returned to; 0: not at all
}

// DefaultRules are figures for zones of some servers each.
func DefaultRules() Rules {
	return Rules{UnreachableThreshold: 0.6, MaxUnreachableElsewhere: 0.25, MinRemainingCapacity: 0.5, StepDuration: 2 * time.Second, HoldDown: 2 * time.Second, MaxHoldDown: 5 * time.Minute, HealthQuorum: 2}
}

// Validate says what is wrong with r.
func (r Rules) Validate() error {
	switch {
	case !(r.UnreachableThreshold > 0 && r.UnreachableThreshold <= 1):
		return fmt.Errorf("a zone counts as down from %g of its servers on, which is not above 0 and at most 1", r.UnreachableThreshold)
	case !(r.MaxUnreachableElsewhere >= 0 && r.MaxUnreachableElsewhere < r.UnreachableThreshold):
		return fmt.Errorf("%g of the other zones' servers may be silent, which is not below the %g from which a zone is down", r.MaxUnreachableElsewhere, r.UnreachableThreshold)
	case !(r.MinRemainingCapacity >= 0 && r.MinRemainingCapacity < 1):
		return fmt.Errorf("%g of all servers must stay in use, which is not below 1", r.MinRemainingCapacity)
	case r.StepDuration <= 0 || r.HoldDown <= 0 || r.MaxHoldDown < r.HoldDown:
		return fmt.Errorf("a step of %v, a hold of %v and of %v at most: all above 0, and the last the longest", r.StepDuration, r.HoldDown, r.MaxHoldDown)
	case r.HealthQuorum < 1:
		return fmt.Errorf("%d members have to look, below 1", r.HealthQuorum)
	case r.WarmUp < 0:
		return fmt.Errorf("servers are cold for %v, below 0", r.WarmUp)
	}
	return nil
}

// recoveryRamp are the shares of a zone's servers that are in use, step by step of a return.
var recoveryRamp = []float64{0, 0.1, 0.25, 0.5, 1}

// RampFraction is the share of a zone's servers that are in use at a step.
func RampFraction(step int) float64 { return recoveryRamp[min(max(step, 0), FullStep)] }

// FullStep is the step at which a zone is wholly in use.
const FullStep = 4

// State is what is decided of a zone.
type State struct {
	Step      int    `json:"step"`             // 0: left, to Steps: in use
	Manual    bool   `json:"pinned,omitempty"` // by an operator: nothing is decided of it by itself
	Relapses  int    `json:"falls,omitempty"`  // relapses in a row
	WarmingUp bool   `json:"cold,omitempty"`   // wholly in use, and not yet for as long as its servers may be cold: a process that starts now cannot know
	Reason    string `json:"Why"`
}

// Recovering reports whether a zone's servers in use may be cold, though no list says so: nobody has sent them anything for a while.
func (s State) Recovering() bool { return s.Step < FullStep || s.WarmingUp }

// warmingUpMark stands behind the step of a state that is Cold. Who does not know it takes the zone for one of which nothing is decided.
const warmingUpMark = "c"

// Encode writes a state as the council's log has it.
func (s State) Encode() string {
	mark := ""
	if s.WarmingUp {
		mark = warmingUpMark
	}
	return fmt.Sprintf("%d%s %t %d %s", s.Step, mark, s.Manual, s.Relapses, s.Reason)
}

// Decode reads one.
func Decode(text string) (s State, err error) {
	fields := strings.SplitN(text, " ", 4)
	if len(fields) < 3 {
		return s, fmt.Errorf("evacuate: %q is no state of a zone", text)
	}
	step, cold := strings.CutSuffix(fields[0], warmingUpMark)
	s.WarmingUp = cold
	if s.Step, err = strconv.Atoi(step); err == nil {
		if s.Manual, err = strconv.ParseBool(fields[1]); err == nil {
			s.Relapses, err = strconv.Atoi(fields[2])
		}
	}
	if err != nil || s.Step < 0 || s.Step > FullStep || s.Relapses < 0 || s.WarmingUp && s.Step < FullStep {
		return State{}, fmt.Errorf("evacuate: %q is no state of a zone", text)
	}
	if len(fields) == 4 {
		s.Reason = fields[3]
	}
	return s, nil
}

// Endpoint is one that a pool's list names ready.
type Endpoint struct{ Name, Zone string }

// inUse reports whether the server of that rank among a zone's is in use at a step. All processes rank alike, and each step has those of the
// one before.
func inUse(rank, of, step int) bool {
	return float64(rank) < RampFraction(step)*float64(of) || step > 0 && rank == 0 || step >= FullStep
}

// ExcludedEndpoints are the servers that are not in use, by what is decided of their zones.
func ExcludedEndpoints(list []Endpoint, decided map[string]State) map[string]bool {
	all := map[string]bool{}
	for zone, s := range decided {
		if s.Step >= FullStep {
			continue
		}
		var names []string
		for _, x := range list {
			if x.Zone == zone {
				names = append(names, x.Name)
			}
		}
		slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(fnv1a(a), fnv1a(b)), cmp.Compare(a, b)) })
		for rank, name := range names {
			if !inUse(rank, len(names), s.Step) {
				all[name] = true
			}
		}
	}
	return all
}

func fnv1a(s string) uint64 { // FNV-1a
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// UnreachableReport is that a member does not get answers from a server.
type UnreachableReport struct{ Member, Endpoint string }

// ZoneCheck is what a member gets from a zone by probes of its own, to a few of its servers: of one that is not wholly in use, or that words would have
// left.
type ZoneCheck struct {
	Member, Zone string
	AllHealthy   bool // of all
	NoneHealthy  bool // of none
}

// GrayFailureReport is that a zone fails in part, to a member, by what became of its own requests.
type GrayFailureReport struct{ Member, Zone string }

// Snapshot is what is known of a pool at one moment.
type Snapshot struct {
	Endpoints    []Endpoint        // that the list names ready
	MemberZones  map[string]string // of the members that are there, by name
	FleetSize    int               // of the fleet by its file
	Unreachable  []UnreachableReport
	ZoneChecks   []ZoneCheck
	GrayFailures []GrayFailureReport
	States       map[string]State
	Revisions    map[string]uint64 // of what is decided
}

// Cause is why a zone is, or is not, to be left.
type Cause string

const (
	CauseHealthy              Cause = "its servers answer"
	CauseMinorityPartition    Cause = "most members are not there to this one: it may be cut off itself"
	CausePathBroken           Cause = "only members of one zone get no answer: the way between is broken"
	CauseFailingEverywhere    Cause = "servers of other zones are silent too: a release, or too much load"
	CauseInsufficientCapacity Cause = "too few servers would be left"
	CauseAwaitingHealthQuorum Cause = "its servers are silent to members of several zones, and too few have looked yet"
	CausePartiallyReachable   Cause = "its servers are silent to members of several zones, and some answer those that look"
	CauseGrayFailure          Cause = "it fails in part, to members of several zones"
	CauseDown                 Cause = "its servers are silent to members of several zones"
)

// Judge says of each zone why it is to be left or not.
func (r Rules) Judge(s Snapshot) map[string]Cause {
	servers, total := map[string]map[string]bool{}, 0
	zoneOf := map[string]string{}
	avoided := ExcludedEndpoints(s.Endpoints, s.States)
	for _, x := range s.Endpoints {
		if servers[x.Zone] == nil {
			servers[x.Zone] = map[string]bool{}
		}
		total++
		if d, is := s.States[x.Zone]; is && d.Step > 0 && avoided[x.Name] {
			continue // nobody sends there: of the zone only those in use tell anything
		}
		servers[x.Zone][x.Name] = true
		zoneOf[x.Name] = x.Zone
	}
	// Who finds most of everything silent is cut off, and its word is about itself.
	said := map[string]map[string]bool{}
	for _, w := range s.Unreachable {
		if _, there := s.MemberZones[w.Member]; there && zoneOf[w.Endpoint] != "" {
			if said[w.Member] == nil {
				said[w.Member] = map[string]bool{}
			}
			said[w.Member][w.Endpoint] = true
		}
	}
	silent := map[string]map[string]bool{}    // servers by zone
	witnesses := map[string]map[string]bool{} // zones of members, by the zone that they find silent
	cutOff := map[string]bool{}
	for member, of := range said {
		zones := map[string]bool{}
		for server := range of {
			zones[zoneOf[server]] = true
		}
		cutOff[member] = len(zones) == len(servers) && len(servers) > 1 && float64(len(of)) >= r.UnreachableThreshold*float64(total)
	}
	sick := 0
	for _, is := range cutOff {
		if is {
			sick++
		}
	}
	for member, of := range said {
		if cutOff[member] && 2*sick <= len(s.MemberZones) { // if most find so, it is the servers
			continue
		}
		for server := range of {
			z := zoneOf[server]
			if silent[z] == nil {
				silent[z], witnesses[z] = map[string]bool{}, map[string]bool{}
			}
			silent[z][server] = true
			witnesses[z][s.MemberZones[member]] = true
		}
	}
	grey := r.grayZones(s)
	out := map[string]Cause{}
	for _, zone := range slices.Sorted(maps.Keys(servers)) {
		n := len(servers[zone])
		down := float64(len(silent[zone])) >= r.UnreachableThreshold*float64(n)
		if n == 0 || !down && !grey[zone] {
			out[zone] = CauseHealthy
			continue
		}
		others, quiet, left := 0, 0, 0
		for z, of := range servers {
			if z == zone {
				continue
			}
			if d, is := s.States[z]; is && d.Step < FullStep {
				left += len(of)
				continue
			}
			others += len(of)
			quiet += len(silent[z])
		}
		switch {
		case 2*len(s.MemberZones) <= s.FleetSize:
			out[zone] = CauseMinorityPartition
		case down && len(witnesses[zone]) < 2 && len(distinctZones(s.MemberZones)) > 1:
			out[zone] = CausePathBroken
		case float64(quiet) > r.MaxUnreachableElsewhere*float64(others):
			out[zone] = CauseFailingEverywhere
		case others == 0 || float64(others) < r.MinRemainingCapacity*float64(total):
			out[zone] = CauseInsufficientCapacity
		case !down:
			out[zone] = CauseGrayFailure
			if len(grey) > 1 {
				out[zone] = CauseFailingEverywhere
			}
		default:
			out[zone] = CauseDown
			if d, is := s.States[zone]; !is || d.Step == FullStep {
				out[zone] = r.healthQuorumCause(s, zone)
			}
		}
	}
	return out
}

// grayZones are the zones of which enough members say that they fail in part: of two zones at least, where members are in several, and a quarter of those
// that could say so. The zone's own do not count, if there are others.
func (r Rules) grayZones(s Snapshot) map[string]bool {
	all := map[string]bool{}
	if !r.GrayFailures {
		return all
	}
	by := map[string]map[string]bool{}
	for _, g := range s.GrayFailures {
		if _, there := s.MemberZones[g.Member]; there {
			if by[g.Zone] == nil {
				by[g.Zone] = map[string]bool{}
			}
			by[g.Zone][g.Member] = true
		}
	}
	for zone, members := range by {
		said, from, zones := 0, map[string]bool{}, map[string]bool{}
		could := s.eligibleReporters(zone)
		for member, of := range could {
			zones[of] = true
			if members[member] {
				said++
				from[of] = true
			}
		}
		if said >= min(2, len(could)) && 4*said >= len(could) && len(from) >= min(2, len(zones)) {
			all[zone] = true
		}
	}
	return all
}

// eligibleReporters are the members that are there whose own finding on a zone counts, and where they are: those in the zone do not, if there are others.
func (s Snapshot) eligibleReporters(zone string) map[string]string {
	outside := maps.Clone(s.MemberZones)
	maps.DeleteFunc(outside, func(_, of string) bool { return of == zone })
	if len(outside) == 0 {
		return s.MemberZones
	}
	return outside
}

// Suspected reports whether a zone that is wholly in use is to be looked at: words alone would have it left.
func (c Cause) Suspected() bool {
	return c == CauseAwaitingHealthQuorum || c == CausePartiallyReachable || c == CauseDown
}

// healthQuorumCause says what comes of words once it was looked whether they are so: a word is of one request that was not answered, and where one in eight is
// lost enough members have such a word of each server. Those in the zone itself do not count, if there are others.
func (r Rules) healthQuorumCause(s Snapshot, zone string) Cause {
	eligible := s.eligibleReporters(zone)
	silent, some := 0, 0
	for _, l := range s.ZoneChecks {
		if _, counts := eligible[l.Member]; !counts || l.Zone != zone {
			continue
		}
		if l.NoneHealthy {
			silent++
		} else {
			some++
		}
	}
	switch {
	case some > 0 && float64(silent) < r.UnreachableThreshold*float64(silent+some):
		return CausePartiallyReachable
	case silent < min(r.HealthQuorum, len(eligible)):
		return CauseAwaitingHealthQuorum
	}
	return CauseDown
}

func distinctZones(members map[string]string) map[string]bool {
	all := map[string]bool{}
	for _, z := range members {
		all[z] = true
	}
	return all
}

// Controller paces what is decided of one pool's zones. It is made anew by each holder of the lease, which then takes each step for just begun: so
// a change of holder makes a return slower, and never faster.
type Controller struct {
	rules        Rules
	stateSince   map[string]time.Duration // of what is decided
	lastState    map[string]State
	lastRevision map[string]uint64
}

// NewController returns one that knows nothing yet.
func NewController(r Rules) *Controller {
	return &Controller{rules: r, stateSince: map[string]time.Duration{}, lastState: map[string]State{}, lastRevision: map[string]uint64{}}
}

// Transition is a state that is to be decided.
type Transition struct {
	Zone  string
	State State
}

// Next returns what is to be decided now, at most one zone at a time, and why the rest stays.
func (k *Controller) Next(now time.Duration, s Snapshot) (change *Transition, causes map[string]Cause) {
	causes = k.rules.Judge(s)
	for _, zone := range slices.Sorted(maps.Keys(causes)) {
		d, decided := s.States[zone]
		if !decided {
			d = State{Step: FullStep}
		}
		// By the epoch too: a step that came and went between two looks has been carried out by others.
		was, had := k.lastState[zone]
		settled := had && was.WarmingUp && was.Step == d.Step && !d.WarmingUp // no step
		if !had || was.Step != d.Step || was.Relapses != d.Relapses || k.lastRevision[zone] != s.Revisions[zone] && !settled {
			k.stateSince[zone] = now
		}
		k.lastState[zone], k.lastRevision[zone] = d, s.Revisions[zone]
		if d.Manual || change != nil {
			continue
		}
		waited := now - k.stateSince[zone]
		switch {
		case requiresShift(causes[zone]) && d.Step == FullStep:
			change = &Transition{zone, State{Step: 0, Relapses: k.relapsesAfterShift(now, zone, d), Reason: string(causes[zone])}}
		case requiresShift(causes[zone]) && d.Step > 0: // it hurts: back, and the next time later
			change = &Transition{zone, State{Step: max(0, d.Step-2), Relapses: d.Relapses + 1, Reason: "a step hurt: " + string(causes[zone])}}
		case d.Step == 0 && causes[zone] == CauseHealthy && waited >= k.holdDown(d.Relapses) && k.recoveryQuorum(s, zone): // no word of before is left either
			change = &Transition{zone, State{Step: 1, Relapses: d.Relapses, Reason: "it answers again"}}
		case d.Step > 0 && d.Step < FullStep && waited >= k.rules.StepDuration && k.recoveryQuorum(s, zone):
			next := State{Step: d.Step + 1, Relapses: d.Relapses, Reason: "a step was borne"}
			next.WarmingUp = next.Step == FullStep && k.rules.WarmUp > 0
			change = &Transition{zone, next}
		case d.WarmingUp && waited >= k.rules.WarmUp:
			change = &Transition{zone, State{Step: FullStep, Relapses: d.Relapses, Reason: "its servers are warm"}}
		}
	}
	return change, causes
}

func requiresShift(c Cause) bool { return c == CauseDown || c == CauseGrayFailure }

// relapsesAfterShift are those that a zone that is left has had. One that fails in part is found out only once it has work again: a return that was followed by
// another leave within a while counts as a relapse, else it would come and go for good.
func (k *Controller) relapsesAfterShift(now time.Duration, zone string, d State) int {
	switch waited := now - k.stateSince[zone]; {
	case d.Relapses == 0 && k.lastRevision[zone] == 0: // never left, as far as is known
		return 0
	case waited < k.holdDown(d.Relapses+1)+relapseWindow:
		return d.Relapses + 1
	}
	return 0
}

// relapseWindow is within how long after the last step a zone that is left again has not been well meanwhile: what shows under full load shows by then.
const relapseWindow = 30 * time.Second

// holdDown is how long a zone that was left stays so at least.
func (k *Controller) holdDown(falls int) time.Duration {
	return min(k.rules.HoldDown<<min(falls, 20), k.rules.MaxHoldDown)
}

// recoveryQuorum reports whether enough members get answers from a zone, and none that looked does not.
func (k *Controller) recoveryQuorum(s Snapshot, zone string) bool {
	yes := 0
	for _, l := range s.ZoneChecks {
		if _, there := s.MemberZones[l.Member]; !there || l.Zone != zone {
			continue
		}
		if !l.AllHealthy {
			return false
		}
		yes++
	}
	return yes >= min(k.rules.HealthQuorum, len(s.MemberZones))
}
