package emulator

import (
	"math"
	"slices"
	"time"

	"sorrelrudder/policy"
)

// backend is one process of a server.
type backend struct {
	id            string
	place         int
	machine       MachineType
	zone          string
	cell          int
	started       policy.Time // 0: long ago
	draining      bool
	stopped       bool    // its process has ended: connections are refused
	silent        bool    // nothing comes back, and nothing comes up
	errorFraction float64 // share of requests that it answers with an error at once
	collapsed     bool    // pushed over while it was cold
	partitioned   bool    // off from all instances; it works on, and nothing is heard of it

	busy         int
	queue        []*job
	connections  int
	queueHistory []queueSample // of its queue, the latest last
	warmingWork  []arrival     // sent to it of late, while cold
}

type job struct {
	attempt *attempt
	work    time.Duration
}

type queueSample struct {
	at     policy.Time
	length int
}

// arrival is work that has come to a cold server, and whether who sent it had been told of its start.
type arrival struct {
	at             policy.Time
	work           time.Duration
	senderNotified bool
}

func (w *Emulation) newBackend(id string, place int, started policy.Time) *backend {
	kind := w.scenario.MachineTypes[len(w.scenario.MachineTypes)-1]
	// Kinds are dealt in turn, so that any run of servers has all of them.
	sum, at := 0.0, float64(place*7919%1000)/1000
	for _, k := range w.scenario.MachineTypes {
		if sum += k.Fraction; at < sum {
			kind = k
			break
		}
	}
	zone := w.scenario.Zones[place%len(w.scenario.Zones)]
	return &backend{id: id, place: place, machine: kind, zone: zone, cell: place % (4 * len(w.scenario.Zones)), started: started}
}

// capacityFraction is the share of its capacity that s has now.
func (s *backend) capacityFraction(w *Emulation) float64 {
	if s.started == 0 || w.now-s.started >= w.scenario.SlowStartDuration {
		return 1
	}
	return w.scenario.SlowStartMinCapacity + (1-w.scenario.SlowStartMinCapacity)*float64(w.now-s.started)/float64(w.scenario.SlowStartDuration)
}

// capacity is the work it does in a second, in seconds.
func (s *backend) capacity(w *Emulation) float64 {
	return float64(s.machine.Cores) * s.machine.Speed * s.capacityFraction(w)
}

// unreachable reports whether nothing comes of what is sent to s.
func (s *backend) unreachable() bool { return s.stopped || s.silent || s.collapsed || s.partitioned }

// meanWork is that of a request of the day.
func (d *Scenario) meanWork() time.Duration {
	work, share := 0.0, 0.0
	for _, c := range d.Classes {
		work, share = work+c.Fraction*float64(c.MeanWork), share+c.Fraction
	}
	return time.Duration(work / share)
}

// recordWarmingWork notes work that has come to a cold server, and has it fall over where that is too much for too long. The largest piece is
// left out: one heavy request is chance, which nobody who sends it could know. What comes is also counted against what may be put
// down to chance, where over two thirds of it came from instances that had been told of the server's start.
func (s *backend) recordWarmingWork(w *Emulation, of time.Duration, told bool) {
	if w.scenario.CollapseFactor <= 0 || s.capacityFraction(w) == 1 {
		return
	}
	s.warmingWork = append(s.warmingWork, arrival{w.now, of, told})
	s.warmingWork = slices.DeleteFunc(s.warmingWork, func(x arrival) bool { return x.at <= w.now-w.scenario.CollapseWindow })
	sum, known, largest := time.Duration(0), time.Duration(0), time.Duration(0)
	for _, x := range s.warmingWork {
		sum += x.work
		largest = max(largest, x.work)
		if x.senderNotified {
			known += x.work
		}
	}
	bears := w.scenario.CollapseFactor * s.capacity(w) * w.scenario.CollapseWindow.Seconds()
	if !w.scenario.CollapseDisabled && (sum-largest).Seconds() > bears && !s.collapsed {
		s.collapsed = true
		w.observer.backendCollapsed(s)
	}
	if 3*known <= 2*sum {
		return
	}
	mean := w.scenario.meanWork().Seconds()
	budget := bears / mean
	chance := budget + 2*math.Sqrt(budget) + 2
	w.Result.MaxWarmingRequests = max(w.Result.MaxWarmingRequests, float64(len(s.warmingWork))/chance)
	w.Result.MaxWarmingWork = max(w.Result.MaxWarmingWork, sum.Seconds()/mean/chance)
}

// receive takes an attempt whose last byte has come.
func (s *backend) receive(w *Emulation, a *attempt) {
	switch {
	case s.unreachable():
		return // the connection stays open and silent, or the reset is told by who ended it
	case s.draining:
		a.respond(w, policy.StatusOverloaded)
		return
	case s.errorFraction > 0 && w.rng.Float64() < s.errorFraction:
		w.after(2*time.Millisecond, func() { a.respond(w, policy.StatusApplicationError) })
		return
	case s.busy >= s.machine.Cores && len(s.queue) >= w.scenario.MaxQueueLength:
		a.respond(w, policy.StatusOverloaded)
		return
	}
	s.recordWarmingWork(w, a.request.client.work, a.request.instance.notifiedStarts[policy.EndpointID(s.id)] == s.started)
	s.queue = append(s.queue, &job{a, a.request.client.work})
	s.startJobs(w)
}

// startJobs starts what may start. Neither a time-out nor a cancel stops what waits or runs.
func (s *backend) startJobs(w *Emulation) {
	for s.busy < s.machine.Cores && len(s.queue) > 0 && (s.partitioned || !s.unreachable()) {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		w.observer.attemptExecuted(j.attempt)
		w.after(time.Duration(float64(j.work)/(s.machine.Speed*s.capacityFraction(w))), func() {
			s.busy--
			if !s.unreachable() {
				j.attempt.respond(w, policy.StatusOK)
			}
			s.startJobs(w)
		})
	}
	s.recordQueueLength(w)
}

// recordQueueLength keeps the length of the queue for reports.
func (s *backend) recordQueueLength(w *Emulation) {
	for len(s.queueHistory) > 1 && s.queueHistory[1].at <= w.now-w.scenario.LoadReportAge {
		s.queueHistory = s.queueHistory[1:]
	}
	s.queueHistory = append(s.queueHistory, queueSample{w.now, len(s.queue)})
}

// reportedQueueLength is the queue that a probe is told.
func (s *backend) reportedQueueLength(w *Emulation) float64 {
	queue := 0
	for _, r := range s.queueHistory {
		if r.at <= w.now-w.scenario.LoadReportAge {
			queue = r.length
		}
	}
	return float64(queue)
}

// FailSilently has servers that match say nothing from now on, nor take connections; what runs there is lost.
func (w *Emulation) FailSilently(match func(place int, zone string) bool) {
	for _, s := range w.backends {
		if !s.stopped && match(s.place, s.zone) {
			s.silent = true
			w.discovery.change(s, policy.Removed)
		}
	}
}

// ReplaceSilent starts the silent servers anew, cold. Every other one is a new machine with a new name.
func (w *Emulation) ReplaceSilent() {
	for i, s := range w.backends {
		if !s.silent || s.stopped {
			continue
		}
		s.stopped = true
		id := s.id
		if i%2 == 1 {
			id += "n"
		}
		w.startBackend(id, s.place)
	}
}

func (w *Emulation) startBackend(id string, place int) *backend {
	s := w.newBackend(id, place, w.now)
	w.backends = append(w.backends, s)
	w.discovery.change(s, policy.Ready)
	return s
}

// ReplaceBackend drains a server and starts a new one, cold, under a new name; the old one ends after the grace.
func (w *Emulation) ReplaceBackend(place int, grace time.Duration) {
	for _, s := range w.backends {
		if s.place == place && !s.stopped && !s.draining {
			s.draining = true
			w.discovery.change(s, policy.Draining)
			w.after(grace, func() { w.StopBackend(s.id) })
			w.startBackend(s.id+"r", place)
			return
		}
	}
}

// StopBackend ends a server's process: what is out there is reset.
func (w *Emulation) StopBackend(id string) {
	for _, s := range w.backends {
		if s.id == id && !s.stopped {
			s.stopped = true
			w.discovery.change(s, policy.Removed)
			for _, in := range w.instances {
				in.resetConnections(s)
			}
		}
	}
}

// Partition has nothing pass between all instances and the servers that match: connections stay open and silent, and none comes up. The
// servers' processes run on; the list tells of them as of any change.
func (w *Emulation) Partition(match func(place int, zone string) bool) {
	for _, s := range w.backends {
		if !s.unreachable() && match(s.place, s.zone) {
			s.partitioned = true
			w.discovery.change(s, policy.Removed)
		}
	}
}

// HealPartition ends what CutOff began: connections from before are reset, and the servers are as warm as they were.
func (w *Emulation) HealPartition() {
	for _, s := range w.backends {
		if s.partitioned {
			s.partitioned = false
			w.discovery.change(s, policy.Ready)
			for _, in := range w.instances {
				s.connections -= in.idleConnections[s]
				in.resetConnections(s)
			}
		}
	}
}

// DropResponses has a share of the answers never arrive.
func (w *Emulation) DropResponses(share float64) { w.dropFraction = share }

// ResetConnections has a share of the attempts end with their connection reset after they have come; they run all the same.
func (w *Emulation) ResetConnections(share float64) { w.resetFraction = share }

// InjectErrors makes a server answer a share of requests with an error at once.
func (w *Emulation) InjectErrors(place int, share float64) {
	for _, s := range w.backends {
		if s.place == place {
			s.errorFraction = share
		}
	}
}

// RestartAllBackends starts all servers anew at once, cold, under their names.
func (w *Emulation) RestartAllBackends() { w.RestartBackends(1) }

// RestartBackends is Chill of about that part of the servers, by their places.
func (w *Emulation) RestartBackends(part float64) {
	for _, s := range w.backends {
		if !s.stopped && float64(s.place*7919%1000) < 1000*part {
			s.started = w.now
			w.discovery.change(s, policy.Ready)
		}
	}
}

// discoveryService is what discovery has to tell, and what it can.
type discoveryService struct {
	emulation *Emulation
	revision  int
	changes   []listChange
	idleAt    policy.Time // when it has worked through the calls so far
	watches   []*endpointWatch
}

type listChange struct {
	revision    int
	visibleFrom policy.Time // from when on it is told
	entry       policy.Endpoint
}

type endpointWatch struct {
	instance *instance
	canceled bool
}

func newDiscoveryService(w *Emulation) *discoveryService {
	l := &discoveryService{emulation: w}
	for _, s := range w.backends {
		l.changes = append(l.changes, listChange{0, origin, s.entry(policy.Ready)})
	}
	return l
}

func (s *backend) entry(state policy.EndpointState) policy.Endpoint {
	return policy.Endpoint{ID: policy.EndpointID(s.id), State: state, Zone: s.zone, Cell: s.cell, MachineType: s.machine.Name, Weight: 1, Started: s.started}
}

// change notes a change of the list, which is told later.
func (l *discoveryService) change(s *backend, state policy.EndpointState) {
	l.revision++
	c := listChange{l.revision, l.emulation.now + l.emulation.scenario.Discovery.NotificationDelay, s.entry(state)}
	l.changes = append(l.changes, c)
	l.emulation.after(l.emulation.scenario.Discovery.NotificationDelay, func() {
		for _, x := range l.watches {
			if !x.canceled {
				l.emulation.after(l.emulation.scenario.SameZoneDelay, func() { x.instance.receiveUpdate(policy.UpdateDelta, []policy.Endpoint{c.entry}) })
			}
		}
	})
}

// endpoints is the list as it is told now.
func (l *discoveryService) endpoints() []policy.Endpoint {
	at := map[policy.EndpointID]int{}
	var all []policy.Endpoint
	for _, c := range l.changes {
		if c.visibleFrom > l.emulation.now {
			continue
		}
		if i, is := at[c.entry.ID]; is {
			all[i] = c.entry
		} else {
			at[c.entry.ID] = len(all)
			all = append(all, c.entry)
		}
	}
	kept := all[:0]
	for _, e := range all {
		if e.State != policy.Removed {
			kept = append(kept, e)
		}
	}
	return kept
}

// watch is a sidecar's call for a watch. Calls are worked through in turn.
func (l *discoveryService) watch(in *instance) *endpointWatch {
	x := &endpointWatch{instance: in}
	l.emulation.counts().WatchRequests++
	each := time.Duration(float64(time.Second) / l.emulation.scenario.Discovery.WatchesPerSecond)
	begin := max(l.idleAt, l.emulation.now)
	if begin+each-l.emulation.now > l.emulation.scenario.Discovery.MaxQueueDelay {
		l.emulation.counts().WatchRequestsRejected++
		l.emulation.after(2*l.emulation.scenario.SameZoneDelay, func() {
			if !x.canceled {
				x.canceled = true
				in.watchFailed()
			}
		})
		return x
	}
	l.idleAt = begin + each
	l.emulation.after(l.idleAt-l.emulation.now+l.emulation.scenario.SameZoneDelay, func() {
		if !x.canceled {
			l.watches = append(l.watches, x)
			in.receiveUpdate(policy.UpdateFull, l.endpoints())
		}
	})
	return x
}
