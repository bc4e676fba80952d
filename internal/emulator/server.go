package emulator

import (
	"math"
	"slices"
	"time"

	"sorrelrudder/policy"
)

// server is one process of a server.
type server struct {
	id       string
	addr     int
	kind     MachineType
	zone     string
	cell     int
	started  policy.Time // 0: long ago
	draining bool
	gone     bool    // its process has ended: connections are refused
	silent   bool    // nothing comes back, and nothing comes up
	fails    float64 // share of requests that it answers with an error at once
	fallen   bool    // pushed over while it was cold
	cut      bool    // off from all instances; it works on, and nothing is heard of it

	busy    int
	waiting []*job
	conns   int
	late    []report // of its queue, the latest last
	pushed  []pushed // sent to it of late, while cold
}

type job struct {
	a    *attempt
	work time.Duration
}

type report struct {
	at    policy.Time
	queue int
}

// pushed is work that has come to a cold server, and whether who sent it had been told of its start.
type pushed struct {
	at   policy.Time
	of   time.Duration
	told bool
}

func (w *Emulation) newServer(id string, place int, started policy.Time) *server {
	kind := w.day.MachineTypes[len(w.day.MachineTypes)-1]
	// Kinds are dealt in turn, so that any run of servers has all of them.
	sum, at := 0.0, float64(place*7919%1000)/1000
	for _, k := range w.day.MachineTypes {
		if sum += k.Fraction; at < sum {
			kind = k
			break
		}
	}
	zone := w.day.Zones[place%len(w.day.Zones)]
	return &server{id: id, addr: place, kind: kind, zone: zone, cell: place % (4 * len(w.day.Zones)), started: started}
}

// warmth is the share of its capacity that s has now.
func (s *server) warmth(w *Emulation) float64 {
	if s.started == 0 || w.now-s.started >= w.day.SlowStartDuration {
		return 1
	}
	return w.day.SlowStartMinCapacity + (1-w.day.SlowStartMinCapacity)*float64(w.now-s.started)/float64(w.day.SlowStartDuration)
}

// capacity is the work it does in a second, in seconds.
func (s *server) capacity(w *Emulation) float64 {
	return float64(s.kind.Cores) * s.kind.Speed * s.warmth(w)
}

// dead reports whether nothing comes of what is sent to s.
func (s *server) dead() bool { return s.gone || s.silent || s.fallen || s.cut }

// meanWork is that of a request of the day.
func (d *Scenario) meanWork() time.Duration {
	work, share := 0.0, 0.0
	for _, c := range d.Classes {
		work, share = work+c.Fraction*float64(c.MeanWork), share+c.Fraction
	}
	return time.Duration(work / share)
}

// push notes work that has come to a cold server, and has it fall over where that is too much for too long. The largest piece is
// left out: one heavy request is chance, which nobody who sends it could know. What comes is also counted against what may be put
// down to chance, where over two thirds of it came from instances that had been told of the server's start.
func (s *server) push(w *Emulation, of time.Duration, told bool) {
	if w.day.CollapseFactor <= 0 || s.warmth(w) == 1 {
		return
	}
	s.pushed = append(s.pushed, pushed{w.now, of, told})
	s.pushed = slices.DeleteFunc(s.pushed, func(x pushed) bool { return x.at <= w.now-w.day.CollapseWindow })
	sum, known, largest := time.Duration(0), time.Duration(0), time.Duration(0)
	for _, x := range s.pushed {
		sum += x.of
		largest = max(largest, x.of)
		if x.told {
			known += x.of
		}
	}
	bears := w.day.CollapseFactor * s.capacity(w) * w.day.CollapseWindow.Seconds()
	if !w.day.CollapseDisabled && (sum-largest).Seconds() > bears && !s.fallen {
		s.fallen = true
		w.watch.fellOver(s)
	}
	if 3*known <= 2*sum {
		return
	}
	mean := w.day.meanWork().Seconds()
	budget := bears / mean
	chance := budget + 2*math.Sqrt(budget) + 2
	w.Result.MaxWarmingRequests = max(w.Result.MaxWarmingRequests, float64(len(s.pushed))/chance)
	w.Result.MaxWarmingWork = max(w.Result.MaxWarmingWork, sum.Seconds()/mean/chance)
}

// comes takes an attempt whose last byte has come.
func (s *server) comes(w *Emulation, a *attempt) {
	switch {
	case s.dead():
		return // the connection stays open and silent, or the reset is told by who ended it
	case s.draining:
		a.back(w, policy.StatusOverloaded)
		return
	case s.fails > 0 && w.rng.Float64() < s.fails:
		w.after(2*time.Millisecond, func() { a.back(w, policy.StatusApplicationError) })
		return
	case s.busy >= s.kind.Cores && len(s.waiting) >= w.day.MaxQueueLength:
		a.back(w, policy.StatusOverloaded)
		return
	}
	s.push(w, a.try.root.work, a.try.in.starts[policy.EndpointID(s.id)] == s.started)
	s.waiting = append(s.waiting, &job{a, a.try.root.work})
	s.work(w)
}

// work starts what may start. Neither a time-out nor a cancel stops what waits or runs.
func (s *server) work(w *Emulation) {
	for s.busy < s.kind.Cores && len(s.waiting) > 0 && (s.cut || !s.dead()) {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.busy++
		w.watch.runs(j.a)
		w.after(time.Duration(float64(j.work)/(s.kind.Speed*s.warmth(w))), func() {
			s.busy--
			if !s.dead() {
				j.a.back(w, policy.StatusOK)
			}
			s.work(w)
		})
	}
	s.note(w)
}

// note keeps the length of the queue for reports.
func (s *server) note(w *Emulation) {
	for len(s.late) > 1 && s.late[1].at <= w.now-w.day.LoadReportAge {
		s.late = s.late[1:]
	}
	s.late = append(s.late, report{w.now, len(s.waiting)})
}

// reported is the queue that a probe is told.
func (s *server) reported(w *Emulation) float64 {
	queue := 0
	for _, r := range s.late {
		if r.at <= w.now-w.day.LoadReportAge {
			queue = r.queue
		}
	}
	return float64(queue)
}

// FailSilently has servers that match say nothing from now on, nor take connections; what runs there is lost.
func (w *Emulation) FailSilently(match func(place int, zone string) bool) {
	for _, s := range w.servers {
		if !s.gone && match(s.addr, s.zone) {
			s.silent = true
			w.list.change(s, policy.Removed)
		}
	}
}

// ReplaceSilent starts the silent servers anew, cold. Every other one is a new machine with a new name.
func (w *Emulation) ReplaceSilent() {
	for i, s := range w.servers {
		if !s.silent || s.gone {
			continue
		}
		s.gone = true
		id := s.id
		if i%2 == 1 {
			id += "n"
		}
		w.join(id, s.addr)
	}
}

func (w *Emulation) join(id string, place int) *server {
	s := w.newServer(id, place, w.now)
	w.servers = append(w.servers, s)
	w.list.change(s, policy.Ready)
	return s
}

// ReplaceBackend drains a server and starts a new one, cold, under a new name; the old one ends after the grace.
func (w *Emulation) ReplaceBackend(place int, grace time.Duration) {
	for _, s := range w.servers {
		if s.addr == place && !s.gone && !s.draining {
			s.draining = true
			w.list.change(s, policy.Draining)
			w.after(grace, func() { w.StopBackend(s.id) })
			w.join(s.id+"r", place)
			return
		}
	}
}

// StopBackend ends a server's process: what is out there is reset.
func (w *Emulation) StopBackend(id string) {
	for _, s := range w.servers {
		if s.id == id && !s.gone {
			s.gone = true
			w.list.change(s, policy.Removed)
			for _, in := range w.instances {
				in.reset(s)
			}
		}
	}
}

// Partition has nothing pass between all instances and the servers that match: connections stay open and silent, and none comes up. The
// servers' processes run on; the list tells of them as of any change.
func (w *Emulation) Partition(match func(place int, zone string) bool) {
	for _, s := range w.servers {
		if !s.dead() && match(s.addr, s.zone) {
			s.cut = true
			w.list.change(s, policy.Removed)
		}
	}
}

// HealPartition ends what CutOff began: connections from before are reset, and the servers are as warm as they were.
func (w *Emulation) HealPartition() {
	for _, s := range w.servers {
		if s.cut {
			s.cut = false
			w.list.change(s, policy.Ready)
			for _, in := range w.instances {
				s.conns -= in.idle[s]
				in.reset(s)
			}
		}
	}
}

// DropResponses has a share of the answers never arrive.
func (w *Emulation) DropResponses(share float64) { w.lost = share }

// ResetConnections has a share of the attempts end with their connection reset after they have come; they run all the same.
func (w *Emulation) ResetConnections(share float64) { w.resets = share }

// InjectErrors makes a server answer a share of requests with an error at once.
func (w *Emulation) InjectErrors(place int, share float64) {
	for _, s := range w.servers {
		if s.addr == place {
			s.fails = share
		}
	}
}

// RestartAllBackends starts all servers anew at once, cold, under their names.
func (w *Emulation) RestartAllBackends() { w.RestartBackends(1) }

// RestartBackends is Chill of about that part of the servers, by their places.
func (w *Emulation) RestartBackends(part float64) {
	for _, s := range w.servers {
		if !s.gone && float64(s.addr*7919%1000) < 1000*part {
			s.started = w.now
			w.list.change(s, policy.Ready)
		}
	}
}

// list is what discovery has to tell, and what it can.
type list struct {
	w        *Emulation
	seq      int
	changes  []change
	freeAt   policy.Time // when it has worked through the calls so far
	watchers []*watcher
}

type change struct {
	seq   int
	told  policy.Time // from when on it is told
	entry policy.Endpoint
}

type watcher struct {
	in  *instance
	off bool
}

func newList(w *Emulation) *list {
	l := &list{w: w}
	for _, s := range w.servers {
		l.changes = append(l.changes, change{0, origin, s.entry(policy.Ready)})
	}
	return l
}

func (s *server) entry(state policy.EndpointState) policy.Endpoint {
	return policy.Endpoint{ID: policy.EndpointID(s.id), State: state, Zone: s.zone, Cell: s.cell, MachineType: s.kind.Name, Weight: 1, Started: s.started}
}

// change notes a change of the list, which is told later.
func (l *list) change(s *server, state policy.EndpointState) {
	l.seq++
	c := change{l.seq, l.w.now + l.w.day.Discovery.NotificationDelay, s.entry(state)}
	l.changes = append(l.changes, c)
	l.w.after(l.w.day.Discovery.NotificationDelay, func() {
		for _, x := range l.watchers {
			if !x.off {
				l.w.after(l.w.day.SameZoneDelay, func() { x.in.told(policy.UpdateDelta, []policy.Endpoint{c.entry}) })
			}
		}
	})
}

// whole is the list as it is told now.
func (l *list) whole() []policy.Endpoint {
	at := map[policy.EndpointID]int{}
	var all []policy.Endpoint
	for _, c := range l.changes {
		if c.told > l.w.now {
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

// call is a sidecar's call for a watch. Calls are worked through in turn.
func (l *list) call(in *instance) *watcher {
	x := &watcher{in: in}
	l.w.second().WatchRequests++
	each := time.Duration(float64(time.Second) / l.w.day.Discovery.WatchesPerSecond)
	begin := max(l.freeAt, l.w.now)
	if begin+each-l.w.now > l.w.day.Discovery.MaxQueueDelay {
		l.w.second().WatchRequestsRejected++
		l.w.after(2*l.w.day.SameZoneDelay, func() {
			if !x.off {
				x.off = true
				in.lost()
			}
		})
		return x
	}
	l.freeAt = begin + each
	l.w.after(l.freeAt-l.w.now+l.w.day.SameZoneDelay, func() {
		if !x.off {
			l.watchers = append(l.watchers, x)
			in.told(policy.UpdateFull, l.whole())
		}
	})
	return x
}
