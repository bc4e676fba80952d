package emulator

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/policy"
)

// zoneController decides of zones for all instances, as the holder of a lease does in the program: on what instances have found silent, each word the lag old,
// and with a decision that all carry out the lag after it. That it is decided once and carried out whole is the council's doing and taken for granted.
type zoneController struct {
	emulation  *Emulation
	controller *zonefailover.Controller
	failures   map[int]map[policy.EndpointID]policy.Time // by instance: when it last found a server silent
	states     map[string]zonefailover.State
	revision   uint64
	revisions  map[string]uint64
}

const (
	decisionInterval = 200 * time.Millisecond
	failureExpiry    = 5 * time.Second // a word that is not said again counts no more
	checkersPerZone  = 5               // instances that look at a zone
	checksPerChecker = 3               // servers of it that each looks at
)

// ZoneDecision is what was decided of a zone, for those who read a run.
type ZoneDecision struct {
	At     time.Duration
	Zone   string
	Step   int
	Reason string
}

func newZoneController(w *Emulation) *zoneController {
	f := &zoneController{emulation: w, controller: zonefailover.NewController(w.scenario.Sharing.ZoneRules), failures: map[int]map[policy.EndpointID]policy.Time{}, states: map[string]zonefailover.State{}, revisions: map[string]uint64{}}
	w.after(w.scenario.StartupWindow+decisionInterval, f.decide)
	return f
}

// recordOutcome notes what an instance has found of a server.
func (f *zoneController) recordOutcome(in *instance, id policy.EndpointID, st policy.Status) {
	of := f.failures[in.index]
	if in.excluded[string(id)] {
		return // what it leaves out it says nothing of
	}
	switch st {
	case policy.StatusConnectFailed, policy.StatusTimeout, policy.StatusReset:
		if of == nil {
			of = map[policy.EndpointID]policy.Time{}
			f.failures[in.index] = of
		}
		of[id] = f.emulation.now
	case policy.StatusOK:
		delete(of, id)
	}
}

// snapshot is what the one who decides knows.
func (f *zoneController) snapshot() zonefailover.Snapshot {
	w := f.emulation
	s := zonefailover.Snapshot{MemberZones: map[string]string{}, FleetSize: len(w.instances), States: f.states, Revisions: f.revisions}
	for _, e := range w.discovery.endpoints() {
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
		for id, at := range f.failures[in.index] {
			switch age := w.now - at; {
			case age > failureExpiry:
				delete(f.failures[in.index], id)
			case age >= w.scenario.Sharing.Delay:
				s.Unreachable = append(s.Unreachable, zonefailover.UnreachableReport{Member: name, Endpoint: string(id)})
			}
		}
	}
	for _, zone := range w.scenario.Zones {
		at := 0
		for _, in := range w.instances { // some that are there, of other zones, look at a few servers each, as probes do
			if at == checkersPerZone || !in.up || in.zone == zone {
				continue
			}
			answered, of := 0, 0
			for n, x := range w.backends {
				if x.zone == zone && !x.stopped && n%checkersPerZone == at && of < checksPerChecker {
					of++
					if !x.unreachable() {
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

func (in *instance) name() string { return strconv.Itoa(in.index) }

// decide decides one change at most, and has all carry it out.
func (f *zoneController) decide() {
	w := f.emulation
	w.after(decisionInterval, f.decide)
	change, _ := f.controller.Next(w.now, f.snapshot())
	if change == nil {
		return
	}
	f.revision++
	f.states[change.Zone], f.revisions[change.Zone] = change.State, f.revision
	w.Result.ZoneDecisions = append(w.Result.ZoneDecisions, ZoneDecision{w.Elapsed(), change.Zone, change.State.Step, change.State.Reason})
	w.after(w.scenario.Sharing.Delay, func() {
		for _, in := range w.instances {
			in.applyExclusions()
		}
	})
}

// excludedEndpoints are the servers that are not in use by what is decided.
func (f *zoneController) excludedEndpoints(list map[policy.EndpointID]policy.Endpoint) map[string]bool {
	var all []zonefailover.Endpoint
	for id, e := range list {
		if e.State == policy.Ready {
			all = append(all, zonefailover.Endpoint{Name: string(id), Zone: e.Zone})
		}
	}
	return zonefailover.ExcludedEndpoints(all, f.states)
}

// applyExclusions has an instance leave out what is decided. What it uses again counts as started then, as pool.Pool.Avoid has it.
func (in *instance) applyExclusions() {
	if !in.up || in.emulation.zones == nil {
		return
	}
	before := in.excluded
	used := map[policy.EndpointID]bool{} // also of those that are avoided: they have started again
	for id, e := range in.endpointList {
		used[id] = in.withExclusion(e).State == policy.Ready
	}
	in.excluded = in.emulation.zones.excludedEndpoints(in.endpointList)
	var changed []policy.Endpoint
	for id, e := range in.endpointList {
		now, was := in.excluded[string(id)], before[string(id)]
		if now == was || e.State != policy.Ready {
			continue
		}
		if was {
			if !used[id] {
				in.readmitted[id] = in.emulation.now
			}
			delete(in.startWhenExcluded, id)
		} else {
			in.startWhenExcluded[id] = e.Started
			delete(in.readmitted, id)
			delete(in.emulation.zones.failures[in.index], id)
		}
		changed = append(changed, in.withExclusion(e))
	}
	slices.SortFunc(changed, func(a, b policy.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	if len(changed) > 0 {
		in.handle(func(now policy.Time) { in.balancer.UpdateEndpoints(now, policy.UpdateDelta, changed, in) })
	}
}

// withExclusion is what the module is told of an entry of the list.
func (in *instance) withExclusion(e policy.Endpoint) policy.Endpoint {
	if in.emulation.zones == nil {
		return e
	}
	if born, is := in.startWhenExcluded[e.ID]; e.State == policy.Ready && in.excluded[string(e.ID)] && (!is || born == e.Started) {
		e.State = policy.Draining
	}
	if at, is := in.readmitted[e.ID]; is && e.Started < at {
		e.Started = at
	}
	return e
}

// filterUpdate notes what the list says, and returns what the module is told of it.
func (in *instance) filterUpdate(kind policy.UpdateKind, entries []policy.Endpoint) []policy.Endpoint {
	if in.emulation.zones == nil {
		return entries
	}
	if kind != policy.UpdateDelta {
		clear(in.endpointList)
	}
	for _, e := range entries {
		if e.State == policy.Removed {
			delete(in.endpointList, e.ID)
		} else {
			if _, had := in.endpointList[e.ID]; !had && kind == policy.UpdateDelta {
				if d, is := in.emulation.zones.states[e.Zone]; is && d.Step < zonefailover.FullStep { // it has started since the zone was left
					in.startWhenExcluded[e.ID] = -1
				}
			}
			in.endpointList[e.ID] = e
		}
	}
	in.excluded = in.emulation.zones.excludedEndpoints(in.endpointList)
	for id := range in.startWhenExcluded {
		if _, there := in.endpointList[id]; there && !in.excluded[string(id)] {
			delete(in.startWhenExcluded, id)
		}
	}
	out := make([]policy.Endpoint, len(entries))
	for i, e := range entries {
		out[i] = in.withExclusion(e)
	}
	return out
}
