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
	Down   float64       // share of a zone's servers that must be silent for it to be left
	Others float64       // share of the other zones' servers that may be silent then
	Least  float64       // share of all servers that must be in zones that are not left, after leaving
	Step   time.Duration // how long a step of the return is looked at before the next
	Hold   time.Duration // how long a zone that was left stays so at least; doubled by each relapse
	Most   time.Duration // and never longer
	Grey   bool          // a zone that fails in part is left, too
	Looks  int           // members that must find the zone silent before it is left, and to answer before the return begins
	Warm   time.Duration // how long servers are cold at most: so long after its last step a zone counts as returned to; 0: not at all
}

// Usual are figures for zones of some servers each.
func Usual() Rules {
	return Rules{Down: 0.6, Others: 0.25, Least: 0.5, Step: 2 * time.Second, Hold: 2 * time.Second, Most: 5 * time.Minute, Looks: 2}
}

// Check says what is wrong with r.
func (r Rules) Check() error {
	switch {
	case !(r.Down > 0 && r.Down <= 1):
		return fmt.Errorf("a zone counts as down from %g of its servers on, which is not above 0 and at most 1", r.Down)
	case !(r.Others >= 0 && r.Others < r.Down):
		return fmt.Errorf("%g of the other zones' servers may be silent, which is not below the %g from which a zone is down", r.Others, r.Down)
	case !(r.Least >= 0 && r.Least < 1):
		return fmt.Errorf("%g of all servers must stay in use, which is not below 1", r.Least)
	case r.Step <= 0 || r.Hold <= 0 || r.Most < r.Hold:
		return fmt.Errorf("a step of %v, a hold of %v and of %v at most: all above 0, and the last the longest", r.Step, r.Hold, r.Most)
	case r.Looks < 1:
		return fmt.Errorf("%d members have to look, below 1", r.Looks)
	case r.Warm < 0:
		return fmt.Errorf("servers are cold for %v, below 0", r.Warm)
	}
	return nil
}

// parts are the shares of a zone's servers that are in use, step by step of a return.
var parts = []float64{0, 0.1, 0.25, 0.5, 1}

// Part is the share of a zone's servers that are in use at a step.
func Part(step int) float64 { return parts[min(max(step, 0), Steps)] }

// Steps is the step at which a zone is wholly in use.
const Steps = 4

// State is what is decided of a zone.
type State struct {
	Step   int    `json:"step"`             // 0: left, to Steps: in use
	Pinned bool   `json:"pinned,omitempty"` // by an operator: nothing is decided of it by itself
	Falls  int    `json:"falls,omitempty"`  // relapses in a row
	Cold   bool   `json:"cold,omitempty"`   // wholly in use, and not yet for as long as its servers may be cold: a process that starts now cannot know
	Why    string `json:"Why"`
}

// Returning reports whether a zone's servers in use may be cold, though no list says so: nobody has sent them anything for a while.
func (s State) Returning() bool { return s.Step < Steps || s.Cold }

// coldMark stands behind the step of a state that is Cold. Who does not know it takes the zone for one of which nothing is decided.
const coldMark = "c"

// Encode writes a state as the council's log has it.
func (s State) Encode() string {
	mark := ""
	if s.Cold {
		mark = coldMark
	}
	return fmt.Sprintf("%d%s %t %d %s", s.Step, mark, s.Pinned, s.Falls, s.Why)
}

// Decode reads one.
func Decode(text string) (s State, err error) {
	fields := strings.SplitN(text, " ", 4)
	if len(fields) < 3 {
		return s, fmt.Errorf("evacuate: %q is no state of a zone", text)
	}
	step, cold := strings.CutSuffix(fields[0], coldMark)
	s.Cold = cold
	if s.Step, err = strconv.Atoi(step); err == nil {
		if s.Pinned, err = strconv.ParseBool(fields[1]); err == nil {
			s.Falls, err = strconv.Atoi(fields[2])
		}
	}
	if err != nil || s.Step < 0 || s.Step > Steps || s.Falls < 0 || s.Cold && s.Step < Steps {
		return State{}, fmt.Errorf("evacuate: %q is no state of a zone", text)
	}
	if len(fields) == 4 {
		s.Why = fields[3]
	}
	return s, nil
}

// Server is one that a pool's list names ready.
type Server struct{ Name, Zone string }

// inUse reports whether the server of that rank among a zone's is in use at a step. All processes rank alike, and each step has those of the
// one before.
func inUse(rank, of, step int) bool {
	return float64(rank) < Part(step)*float64(of) || step > 0 && rank == 0 || step >= Steps
}

// Avoided are the servers that are not in use, by what is decided of their zones.
func Avoided(list []Server, decided map[string]State) map[string]bool {
	all := map[string]bool{}
	for zone, s := range decided {
		if s.Step >= Steps {
			continue
		}
		var names []string
		for _, x := range list {
			if x.Zone == zone {
				names = append(names, x.Name)
			}
		}
		slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b)) })
		for rank, name := range names {
			if !inUse(rank, len(names), s.Step) {
				all[name] = true
			}
		}
	}
	return all
}

func hash(s string) uint64 { // FNV-1a
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// Word is that a member does not get answers from a server.
type Word struct{ Member, Server string }

// Look is what a member gets from a zone by probes of its own, to a few of its servers: of one that is not wholly in use, or that words would have
// left.
type Look struct {
	Member, Zone string
	Answers      bool // of all
	Silent       bool // of none
}

// GreyWord is that a zone fails in part, to a member, by what became of its own requests.
type GreyWord struct{ Member, Zone string }

// Scene is what is known of a pool at one moment.
type Scene struct {
	Servers []Server          // that the list names ready
	Zones   map[string]string // of the members that are there, by name
	Members int               // of the fleet by its file
	Words   []Word
	Looks   []Look
	Greys   []GreyWord
	Decided map[string]State
	Epochs  map[string]uint64 // of what is decided
}

// Cause is why a zone is, or is not, to be left.
type Cause string

const (
	Well      Cause = "its servers answer"
	Minority  Cause = "most members are not there to this one: it may be cut off itself"
	OneSide   Cause = "only members of one zone get no answer: the way between is broken"
	AllAlike  Cause = "servers of other zones are silent too: a release, or too much load"
	NotEnough Cause = "too few servers would be left"
	Unlooked  Cause = "its servers are silent to members of several zones, and too few have looked yet"
	Partly    Cause = "its servers are silent to members of several zones, and some answer those that look"
	GreyZone  Cause = "it fails in part, to members of several zones"
	Down      Cause = "its servers are silent to members of several zones"
)

// Judge says of each zone why it is to be left or not.
func (r Rules) Judge(s Scene) map[string]Cause {
	servers, total := map[string]map[string]bool{}, 0
	zoneOf := map[string]string{}
	avoided := Avoided(s.Servers, s.Decided)
	for _, x := range s.Servers {
		if servers[x.Zone] == nil {
			servers[x.Zone] = map[string]bool{}
		}
		total++
		if d, is := s.Decided[x.Zone]; is && d.Step > 0 && avoided[x.Name] {
			continue // nobody sends there: of the zone only those in use tell anything
		}
		servers[x.Zone][x.Name] = true
		zoneOf[x.Name] = x.Zone
	}
	// Who finds most of everything silent is cut off, and its word is about itself.
	said := map[string]map[string]bool{}
	for _, w := range s.Words {
		if _, there := s.Zones[w.Member]; there && zoneOf[w.Server] != "" {
			if said[w.Member] == nil {
				said[w.Member] = map[string]bool{}
			}
			said[w.Member][w.Server] = true
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
		cutOff[member] = len(zones) == len(servers) && len(servers) > 1 && float64(len(of)) >= r.Down*float64(total)
	}
	sick := 0
	for _, is := range cutOff {
		if is {
			sick++
		}
	}
	for member, of := range said {
		if cutOff[member] && 2*sick <= len(s.Zones) { // if most find so, it is the servers
			continue
		}
		for server := range of {
			z := zoneOf[server]
			if silent[z] == nil {
				silent[z], witnesses[z] = map[string]bool{}, map[string]bool{}
			}
			silent[z][server] = true
			witnesses[z][s.Zones[member]] = true
		}
	}
	grey := r.greys(s)
	out := map[string]Cause{}
	for _, zone := range slices.Sorted(maps.Keys(servers)) {
		n := len(servers[zone])
		down := float64(len(silent[zone])) >= r.Down*float64(n)
		if n == 0 || !down && !grey[zone] {
			out[zone] = Well
			continue
		}
		others, quiet, left := 0, 0, 0
		for z, of := range servers {
			if z == zone {
				continue
			}
			if d, is := s.Decided[z]; is && d.Step < Steps {
				left += len(of)
				continue
			}
			others += len(of)
			quiet += len(silent[z])
		}
		switch {
		case 2*len(s.Zones) <= s.Members:
			out[zone] = Minority
		case down && len(witnesses[zone]) < 2 && len(zonesOf(s.Zones)) > 1:
			out[zone] = OneSide
		case float64(quiet) > r.Others*float64(others):
			out[zone] = AllAlike
		case others == 0 || float64(others) < r.Least*float64(total):
			out[zone] = NotEnough
		case !down:
			out[zone] = GreyZone
			if len(grey) > 1 {
				out[zone] = AllAlike
			}
		default:
			out[zone] = Down
			if d, is := s.Decided[zone]; !is || d.Step == Steps {
				out[zone] = r.looked(s, zone)
			}
		}
	}
	return out
}

// greys are the zones of which enough members say that they fail in part: of two zones at least, where members are in several, and a quarter of those
// that could say so. The zone's own do not count, if there are others.
func (r Rules) greys(s Scene) map[string]bool {
	all := map[string]bool{}
	if !r.Grey {
		return all
	}
	by := map[string]map[string]bool{}
	for _, g := range s.Greys {
		if _, there := s.Zones[g.Member]; there {
			if by[g.Zone] == nil {
				by[g.Zone] = map[string]bool{}
			}
			by[g.Zone][g.Member] = true
		}
	}
	for zone, members := range by {
		said, from, zones := 0, map[string]bool{}, map[string]bool{}
		could := s.witnesses(zone)
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

// witnesses are the members that are there whose own finding on a zone counts, and where they are: those in the zone do not, if there are others.
func (s Scene) witnesses(zone string) map[string]string {
	outside := maps.Clone(s.Zones)
	maps.DeleteFunc(outside, func(_, of string) bool { return of == zone })
	if len(outside) == 0 {
		return s.Zones
	}
	return outside
}

// Suspected reports whether a zone that is wholly in use is to be looked at: words alone would have it left.
func (c Cause) Suspected() bool { return c == Unlooked || c == Partly || c == Down }

// looked says what comes of words once it was looked whether they are so: a word is of one request that was not answered, and where one in eight is
// lost enough members have such a word of each server. Those in the zone itself do not count, if there are others.
func (r Rules) looked(s Scene, zone string) Cause {
	eligible := s.witnesses(zone)
	silent, some := 0, 0
	for _, l := range s.Looks {
		if _, counts := eligible[l.Member]; !counts || l.Zone != zone {
			continue
		}
		if l.Silent {
			silent++
		} else {
			some++
		}
	}
	switch {
	case some > 0 && float64(silent) < r.Down*float64(silent+some):
		return Partly
	case silent < min(r.Looks, len(eligible)):
		return Unlooked
	}
	return Down
}

func zonesOf(members map[string]string) map[string]bool {
	all := map[string]bool{}
	for _, z := range members {
		all[z] = true
	}
	return all
}

// Keeper paces what is decided of one pool's zones. It is made anew by each holder of the lease, which then takes each step for just begun: so
// a change of holder makes a return slower, and never faster.
type Keeper struct {
	rules Rules
	since map[string]time.Duration // of what is decided
	seen  map[string]State
	epoch map[string]uint64
}

// NewKeeper returns one that knows nothing yet.
func NewKeeper(r Rules) *Keeper {
	return &Keeper{rules: r, since: map[string]time.Duration{}, seen: map[string]State{}, epoch: map[string]uint64{}}
}

// Change is a state that is to be decided.
type Change struct {
	Zone  string
	State State
}

// Next returns what is to be decided now, at most one zone at a time, and why the rest stays.
func (k *Keeper) Next(now time.Duration, s Scene) (change *Change, causes map[string]Cause) {
	causes = k.rules.Judge(s)
	for _, zone := range slices.Sorted(maps.Keys(causes)) {
		d, decided := s.Decided[zone]
		if !decided {
			d = State{Step: Steps}
		}
		// By the epoch too: a step that came and went between two looks has been carried out by others.
		was, had := k.seen[zone]
		settled := had && was.Cold && was.Step == d.Step && !d.Cold // no step
		if !had || was.Step != d.Step || was.Falls != d.Falls || k.epoch[zone] != s.Epochs[zone] && !settled {
			k.since[zone] = now
		}
		k.seen[zone], k.epoch[zone] = d, s.Epochs[zone]
		if d.Pinned || change != nil {
			continue
		}
		waited := now - k.since[zone]
		switch {
		case bad(causes[zone]) && d.Step == Steps:
			change = &Change{zone, State{Step: 0, Falls: k.falls(now, zone, d), Why: string(causes[zone])}}
		case bad(causes[zone]) && d.Step > 0: // it hurts: back, and the next time later
			change = &Change{zone, State{Step: max(0, d.Step-2), Falls: d.Falls + 1, Why: "a step hurt: " + string(causes[zone])}}
		case d.Step == 0 && causes[zone] == Well && waited >= k.hold(d.Falls) && k.answers(s, zone): // no word of before is left either
			change = &Change{zone, State{Step: 1, Falls: d.Falls, Why: "it answers again"}}
		case d.Step > 0 && d.Step < Steps && waited >= k.rules.Step && k.answers(s, zone):
			next := State{Step: d.Step + 1, Falls: d.Falls, Why: "a step was borne"}
			next.Cold = next.Step == Steps && k.rules.Warm > 0
			change = &Change{zone, next}
		case d.Cold && waited >= k.rules.Warm:
			change = &Change{zone, State{Step: Steps, Falls: d.Falls, Why: "its servers are warm"}}
		}
	}
	return change, causes
}

func bad(c Cause) bool { return c == Down || c == GreyZone }

// falls are those that a zone that is left has had. One that fails in part is found out only once it has work again: a return that was followed by
// another leave within a while counts as a relapse, else it would come and go for good.
func (k *Keeper) falls(now time.Duration, zone string, d State) int {
	switch waited := now - k.since[zone]; {
	case d.Falls == 0 && k.epoch[zone] == 0: // never left, as far as is known
		return 0
	case waited < k.hold(d.Falls+1)+relapseTime:
		return d.Falls + 1
	}
	return 0
}

// relapseTime is within how long after the last step a zone that is left again has not been well meanwhile: what shows under full load shows by then.
const relapseTime = 30 * time.Second

// hold is how long a zone that was left stays so at least.
func (k *Keeper) hold(falls int) time.Duration {
	return min(k.rules.Hold<<min(falls, 20), k.rules.Most)
}

// answers reports whether enough members get answers from a zone, and none that looked does not.
func (k *Keeper) answers(s Scene, zone string) bool {
	yes := 0
	for _, l := range s.Looks {
		if _, there := s.Zones[l.Member]; !there || l.Zone != zone {
			continue
		}
		if !l.Answers {
			return false
		}
		yes++
	}
	return yes >= min(k.rules.Looks, len(s.Zones))
}
