package emulator

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/policy"
)

// decider decides of zones for all instances, as the holder of a lease does in the program: on what instances have found silent, each word the lag old,
// and with a decision that all carry out the lag after it. That it is decided once and carried out whole is the council's doing and taken for granted.
type decider struct {
	w      *Emulation
	keeper *zonefailover.Controller
	words  map[int]map[policy.EndpointID]policy.Time // by instance: when it last found a server silent
	states map[string]zonefailover.State
	epoch  uint64
	epochs map[string]uint64
}

const (
	judgeEvery = 200 * time.Millisecond
	wordFor    = 5 * time.Second // a word that is not said again counts no more
	lookers    = 5               // instances that look at a zone
	looksEach  = 3               // servers of it that each looks at
)

// ZoneDecision is what was decided of a zone, for those who read a run.
type ZoneDecision struct {
	At     time.Duration
	Zone   string
	Step   int
	Reason string
}

func newDecider(w *Emulation) *decider {
	f := &decider{w: w, keeper: zonefailover.NewController(w.day.Sharing.ZoneRules), words: map[int]map[policy.EndpointID]policy.Time{}, states: map[string]zonefailover.State{}, epochs: map[string]uint64{}}
	w.after(w.day.StartupWindow+judgeEvery, f.judge)
	return f
}

// saw notes what an instance has found of a server.
func (f *decider) saw(in *instance, id policy.EndpointID, st policy.Status) {
	of := f.words[in.ordinal]
	if in.avoids[string(id)] {
		return // what it leaves out it says nothing of
	}
	switch st {
	case policy.StatusConnectFailed, policy.StatusTimeout, policy.StatusReset:
		if of == nil {
			of = map[policy.EndpointID]policy.Time{}
			f.words[in.ordinal] = of
		}
		of[id] = f.w.now
	case policy.StatusOK:
		delete(of, id)
	}
}

// scene is what the one who decides knows.
func (f *decider) scene() zonefailover.Snapshot {
	w := f.w
	s := zonefailover.Snapshot{MemberZones: map[string]string{}, FleetSize: len(w.instances), States: f.states, Revisions: f.epochs}
	for _, e := range w.list.whole() {
		if e.State == policy.Ready {
			s.Endpoints = append(s.Endpoints, zonefailover.Endpoint{Name: string(e.ID), Zone: e.Zone})
		}
	}
	for _, in := range w.instances {
		if !in.up {
			continue
		}
		name := in.name()
		s.MemberZones[name] = in.zone
		for id, at := range f.words[in.ordinal] {
			switch age := w.now - at; {
			case age > wordFor:
				delete(f.words[in.ordinal], id)
			case age >= w.day.Sharing.Delay:
				s.Unreachable = append(s.Unreachable, zonefailover.UnreachableReport{Member: name, Endpoint: string(id)})
			}
		}
	}
	for _, zone := range w.day.Zones {
		at := 0
		for _, in := range w.instances { // some that are there, of other zones, look at a few servers each, as probes do
			if at == lookers || !in.up || in.zone == zone {
				continue
			}
			answered, of := 0, 0
			for n, x := range w.servers {
				if x.zone == zone && !x.gone && n%lookers == at && of < looksEach {
					of++
					if !x.dead() {
						answered++
					}
				}
			}
			at++
			s.ZoneChecks = append(s.ZoneChecks, zonefailover.ZoneCheck{Member: in.name(), Zone: zone, AllHealthy: answered == of, NoneHealthy: answered == 0})
		}
	}
	return s
}

func (in *instance) name() string { return strconv.Itoa(in.ordinal) }

// judge decides one change at most, and has all carry it out.
func (f *decider) judge() {
	w := f.w
	w.after(judgeEvery, f.judge)
	change, _ := f.keeper.Next(w.now, f.scene())
	if change == nil {
		return
	}
	f.epoch++
	f.states[change.Zone], f.epochs[change.Zone] = change.State, f.epoch
	w.Result.ZoneDecisions = append(w.Result.ZoneDecisions, ZoneDecision{w.Elapsed(), change.Zone, change.State.Step, change.State.Reason})
	w.after(w.day.Sharing.Delay, func() {
		for _, in := range w.instances {
			in.follow()
		}
	})
}

// avoided are the servers that are not in use by what is decided.
func (f *decider) avoided(list map[policy.EndpointID]policy.Endpoint) map[string]bool {
	var all []zonefailover.Endpoint
	for id, e := range list {
		if e.State == policy.Ready {
			all = append(all, zonefailover.Endpoint{Name: string(id), Zone: e.Zone})
		}
	}
	return zonefailover.ExcludedEndpoints(all, f.states)
}

// follow has an instance leave out what is decided. What it uses again counts as started then, as pool.Pool.Avoid has it.
func (in *instance) follow() {
	if !in.up || in.w.fleet == nil {
		return
	}
	before := in.avoids
	used := map[policy.EndpointID]bool{} // also of those that are avoided: they have started again
	for id, e := range in.list {
		used[id] = in.overlaid(e).State == policy.Ready
	}
	in.avoids = in.w.fleet.avoided(in.list)
	var changed []policy.Endpoint
	for id, e := range in.list {
		now, was := in.avoids[string(id)], before[string(id)]
		if now == was || e.State != policy.Ready {
			continue
		}
		if was {
			if !used[id] {
				in.returned[id] = in.w.now
			}
			delete(in.leftBorn, id)
		} else {
			in.leftBorn[id] = e.Started
			delete(in.returned, id)
			delete(in.w.fleet.words[in.ordinal], id)
		}
		changed = append(changed, in.overlaid(e))
	}
	slices.SortFunc(changed, func(a, b policy.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	if len(changed) > 0 {
		in.do(func(now policy.Time) { in.b.UpdateEndpoints(now, policy.UpdateDelta, changed, in) })
	}
}

// overlaid is what the module is told of an entry of the list.
func (in *instance) overlaid(e policy.Endpoint) policy.Endpoint {
	if in.w.fleet == nil {
		return e
	}
	if born, is := in.leftBorn[e.ID]; e.State == policy.Ready && in.avoids[string(e.ID)] && (!is || born == e.Started) {
		e.State = policy.Draining
	}
	if at, is := in.returned[e.ID]; is && e.Started < at {
		e.Started = at
	}
	return e
}

// listed notes what the list says, and returns what the module is told of it.
func (in *instance) listed(kind policy.UpdateKind, entries []policy.Endpoint) []policy.Endpoint {
	if in.w.fleet == nil {
		return entries
	}
	if kind != policy.UpdateDelta {
		clear(in.list)
	}
	for _, e := range entries {
		if e.State == policy.Removed {
			delete(in.list, e.ID)
		} else {
			if _, had := in.list[e.ID]; !had && kind == policy.UpdateDelta {
				if d, is := in.w.fleet.states[e.Zone]; is && d.Step < zonefailover.FullStep { // it has started since the zone was left
					in.leftBorn[e.ID] = -1
				}
			}
			in.list[e.ID] = e
		}
	}
	in.avoids = in.w.fleet.avoided(in.list)
	for id := range in.leftBorn {
		if _, there := in.list[id]; there && !in.avoids[string(id)] {
			delete(in.leftBorn, id)
		}
	}
	out := make([]policy.Endpoint, len(entries))
	for i, e := range entries {
		out[i] = in.overlaid(e)
	}
	return out
}
