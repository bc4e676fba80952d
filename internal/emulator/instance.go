package emulator

import (
	"time"

	"sorrelrudder/policy"
)

// instance is a sidecar: a host of the module.
type instance struct {
	w       *Emulation
	ordinal int
	zone    string
	b       *policy.Balancer
	seed    uint64
	tries   map[policy.RequestID]*try
	lastID  policy.RequestID
	up      bool
	known   map[policy.EndpointID]*server     // by the list that it was told
	starts  map[policy.EndpointID]policy.Time // of the servers, as it was told
	idle    map[*server]int                   // connections on which nothing is asked
	watcher *watcher
	after   []func()
	inside  bool
	said    map[policy.EndpointID]policy.Time // when it told others of a server

	// Where zones are decided for all.
	list     map[policy.EndpointID]policy.Endpoint // as it was told
	avoids   map[string]bool
	returned map[policy.EndpointID]policy.Time
	leftBorn map[policy.EndpointID]policy.Time // of those it avoids, as the list had their start then
}

// try is a request as an instance has it.
type try struct {
	root     *root
	in       *instance
	id       policy.RequestID
	class    policy.Class
	expires  policy.Time
	attempts []*attempt
	ended    bool
	told     bool // the client has its answer, or is gone
}

// attempt is one send of a try.
type attempt struct {
	try    *try
	number int
	s      *server
	sent   policy.Time
	done   bool
	ran    bool
	begun  bool // its last byte is with the server
}

func newInstance(w *Emulation, ordinal int) (*instance, error) {
	in := &instance{
		w: w, ordinal: ordinal, zone: w.day.Zones[ordinal%len(w.day.Zones)], seed: w.day.Seed<<16 + uint64(ordinal),
	}
	return in, in.renew()
}

// renew makes a module that knows nothing.
func (in *instance) renew() error {
	cfg := in.w.day.Policy
	cfg.InstanceIndex, cfg.InstanceCount, cfg.Zone = in.ordinal, in.w.day.InstanceCount, in.zone
	cfg.SlowStartMinCapacity, cfg.SlowStartDuration = in.w.day.SlowStartMinCapacity, in.w.day.SlowStartDuration
	cfg.Classes = nil
	for _, c := range in.w.day.Classes {
		cfg.Classes = append(cfg.Classes, c.Class)
	}
	in.seed++
	b, err := policy.New(cfg, in.seed)
	in.b, in.tries, in.known, in.idle, in.watcher = b, map[policy.RequestID]*try{}, map[policy.EndpointID]*server{}, map[*server]int{}, nil
	in.said, in.starts = map[policy.EndpointID]policy.Time{}, map[policy.EndpointID]policy.Time{}
	in.list, in.avoids, in.returned = map[policy.EndpointID]policy.Endpoint{}, nil, map[policy.EndpointID]policy.Time{}
	in.leftBorn = map[policy.EndpointID]policy.Time{}
	return err
}

// do hands the module one event, and those that its actions gave rise to.
func (in *instance) do(f func(now policy.Time)) {
	if !in.up {
		return
	}
	if in.inside {
		in.after = append(in.after, func() { f(in.w.now) })
		return
	}
	in.inside = true
	f(in.w.now)
	for len(in.after) > 0 {
		next := in.after
		in.after = nil
		for _, g := range next {
			g()
		}
	}
	in.inside = false
}

// start starts the process with the list as it was at the day's start, which may be old.
func (in *instance) start() {
	in.up = true
	old := in.w.list.changes
	var known []policy.Endpoint
	for _, c := range old {
		if c.seq == 0 {
			known = append(known, c.entry)
		}
	}
	if in.w.day.Sharing.EndpointList && in.w.Elapsed() > in.w.day.StartupWindow {
		known = in.w.list.whole()
	}
	in.told(policy.UpdateCached, known)
	in.inherit()
}

// RestartInstances kills the instances that match and starts them anew after down; clients of one that is down are told nothing and try
// again.
func (w *Emulation) RestartInstances(match func(ordinal int) bool, down time.Duration) {
	for _, in := range w.instances {
		if !match(in.ordinal) || !in.up {
			continue
		}
		in.up = false
		if in.watcher != nil {
			in.watcher.off = true
		}
		for s, n := range in.idle {
			s.conns -= n
		}
		var open []*try
		for id := policy.RequestID(1); id <= in.lastID; id++ {
			if t := in.tries[id]; t != nil {
				open = append(open, t)
			}
		}
		for _, t := range open {
			for _, a := range t.attempts {
				if !a.done {
					a.done = true
					a.s.conns--
				}
			}
			if !t.told {
				t.told, t.ended = true, true
				w.watch.forget(t)
				t.root.ended(w, givenUp, 0)
			}
		}
		if err := in.renew(); err != nil {
			panic(err) // the same configuration was taken at the start
		}
		w.after(down, in.start)
	}
}

// told takes a message about the list.
func (in *instance) told(kind policy.UpdateKind, entries []policy.Endpoint) {
	in.do(func(now policy.Time) {
		in.w.watch.told(in, kind, entries)
		if kind != policy.UpdateDelta {
			clear(in.known)
		}
		for _, e := range entries {
			in.starts[e.ID] = e.Started
			var at *server
			for _, s := range in.w.servers {
				if policy.EndpointID(s.id) == e.ID && (at == nil || !s.gone) {
					at = s
				}
			}
			if e.State == policy.Removed {
				delete(in.known, e.ID)
			} else {
				in.known[e.ID] = at
			}
		}
		in.b.UpdateEndpoints(now, kind, in.listed(kind, entries), in)
	})
}

// lost takes the end of a call or of a watch.
func (in *instance) lost() {
	in.do(func(now policy.Time) {
		in.watcher = nil
		in.b.UpdateEndpoints(now, policy.UpdatePollFailed, nil, in)
	})
}

// take takes a request whose client waits so long.
func (in *instance) take(q *root, wait time.Duration) {
	if !in.up {
		in.w.after(in.w.day.SameZoneDelay, func() { q.ended(in.w, givenUp, 0) })
		return
	}
	in.lastID++
	t := &try{root: q, in: in, id: in.lastID, class: q.class.Class, expires: in.w.now + wait}
	in.tries[t.id] = t
	in.w.watch.taken(t)
	in.w.after(wait, func() {
		if !t.told { // the client has left
			t.told = true
			q.ended(in.w, givenUp, 0)
			in.w.watch.expired(t)
		}
	})
	in.do(func(now policy.Time) {
		in.b.HandleRequest(now, policy.Request{ID: t.id, Class: q.class.Name, Expires: t.expires, ExpectedWork: q.work}, in)
	})
}

func (in *instance) forget(t *try) {
	if !t.ended {
		return
	}
	for _, a := range t.attempts {
		if !a.done {
			return
		}
	}
	delete(in.tries, t.id)
}

// end gives the client the final answer.
func (t *try) end(how int, retryAfter time.Duration) {
	t.ended = true
	t.in.w.watch.answered(t, how)
	switch how {
	case refused:
		t.in.w.second().Rejected++
	case failed:
		t.in.w.second().Failed++
	}
	if !t.told {
		t.told = true
		t.root.ended(t.in.w, how, retryAfter)
	}
}

// way is the time one way between the instance and a server.
func (in *instance) way(s *server) time.Duration {
	if s.zone == in.zone {
		return in.w.day.SameZoneDelay
	}
	return in.w.day.CrossZoneDelay
}

// connect calls then once there is a connection to s, with whether there is.
func (in *instance) connect(s *server, then func(up bool)) {
	w := in.w
	if in.idle[s] > 0 && !s.gone {
		in.idle[s]--
		w.after(0, func() { then(true) })
		return
	}
	w.second().Dials++
	switch way := in.way(s); {
	case s.silent || s.fallen || s.cut:
		w.after(w.day.Policy.DialTimeout, func() { then(false) })
	case s.gone, w.day.MaxConnections > 0 && s.conns >= w.day.MaxConnections:
		w.after(2*way, func() { then(false) })
	default:
		s.conns++
		w.after(2*way+w.day.HandshakeDuration, func() { then(true) })
	}
}

// settle tells the module the end of an attempt.
func (in *instance) settle(a *attempt, st policy.Status) {
	if a.done {
		return
	}
	a.done = true
	if in.w.settled != nil {
		in.w.settled(a, st)
	}
	switch st {
	case policy.StatusConnectFailed:
		in.w.second().ConnectFailures++
	case policy.StatusTimeout:
		in.w.second().Timeouts++
	case policy.StatusApplicationError:
		in.w.second().ApplicationErrors++
	case policy.StatusOverloaded:
		in.w.second().Overloaded++
	}
	if st != policy.StatusConnectFailed || a.begun {
		if st == policy.StatusOK || st == policy.StatusApplicationError || st == policy.StatusOverloaded {
			in.idle[a.s]++
		} else {
			a.s.conns--
		}
	}
	in.do(func(now policy.Time) {
		t := a.try
		if st == policy.StatusOK && !t.ended {
			t.end(served, 0)
		}
		in.w.watch.outcome(a, st)
		defer in.tells(now, a.s, st)
		in.b.HandleAttemptResult(now, policy.AttemptResult{ID: t.id, Attempt: a.number, Endpoint: policy.EndpointID(a.s.id), Status: st, Latency: now - a.sent, RequestEnded: t.ended}, in)
		in.forget(t)
	})
}

// back brings the answer to an attempt.
func (a *attempt) back(w *Emulation, st policy.Status) {
	in := a.try.in
	if st == policy.StatusOK && w.lost > 0 && w.rng.Float64() < w.lost {
		return
	}
	w.after(in.way(a.s), func() { in.settle(a, st) })
}

// reset breaks what the instance has with a server whose process has ended.
func (in *instance) reset(s *server) {
	delete(in.idle, s)
	for id := policy.RequestID(1); id <= in.lastID; id++ {
		if t := in.tries[id]; t != nil {
			for _, a := range t.attempts {
				if a.s == s && !a.done && a.begun {
					in.w.after(in.way(s), func() { in.settle(a, policy.StatusReset) })
				}
			}
		}
	}
}

// The methods of policy.Actions.

func (in *instance) StartAttempt(id policy.RequestID, to policy.EndpointID, timeout time.Duration) {
	t, s := in.tries[id], in.known[to]
	if t == nil {
		in.w.watch.breach("1: %d sent something of a request that it has not", in.ordinal)
		return
	}
	a := &attempt{try: t, number: len(t.attempts), s: s, sent: in.w.now}
	in.w.watch.sends(a, to)
	t.attempts = append(t.attempts, a)
	sec := in.w.second()
	sec.Attempts++
	if a.number > 0 {
		sec.Retries++
	}
	if s == nil {
		a.done = true
		in.after = append(in.after, func() {
			in.b.HandleAttemptResult(in.w.now, policy.AttemptResult{ID: id, Attempt: a.number, Endpoint: to, Status: policy.StatusNotSent, RequestEnded: t.ended}, in)
			in.forget(t)
		})
		return
	}
	if s.warmth(in.w) < 1 {
		sec.WarmingAttempts++
	}
	if s.zone != in.zone {
		sec.CrossZoneAttempts++
	}
	in.w.after(timeout, func() { in.settle(a, policy.StatusTimeout) })
	in.connect(s, func(up bool) {
		switch {
		case !up:
			in.settle(a, policy.StatusConnectFailed)
		case a.done: // given up meanwhile
			in.idle[s]++
		default:
			a.begun = true
			in.w.after(in.way(s), func() { s.comes(in.w, a) })
			if in.w.resets > 0 && in.w.rng.Float64() < in.w.resets {
				in.w.after(2*in.way(s), func() { in.settle(a, policy.StatusReset) })
			}
		}
	})
}

func (in *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	if t := in.tries[id]; t != nil {
		t.end(refused, retryAfter)
		in.after = append(in.after, func() { in.forget(t) })
	}
}

func (in *instance) Fail(id policy.RequestID) {
	if t := in.tries[id]; t != nil {
		t.end(failed, 0)
		in.after = append(in.after, func() { in.forget(t) })
	}
}

func (in *instance) CancelAttempt(id policy.RequestID, n int) {
	if t := in.tries[id]; t != nil && n < len(t.attempts) {
		a := t.attempts[n]
		in.after = append(in.after, func() { in.settle(a, policy.StatusCanceled) })
	}
}

func (in *instance) SetTimer(after time.Duration, token string) {
	b := in.b
	in.w.after(after, func() {
		if in.b == b { // else the process that asked for it has ended
			in.do(func(now policy.Time) { b.HandleTimer(now, token, in) })
		}
	})
}

func (in *instance) CheckHealth(to policy.EndpointID) {
	s := in.known[to]
	in.w.second().HealthChecks++
	b := in.b
	answer := func(st policy.Status, l *policy.LoadReport) {
		if in.b == b {
			in.do(func(now policy.Time) {
				in.b.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: to, Status: st, Load: l}, in)
				in.tells(now, s, st)
				in.reports(to, st, l)
			})
		}
	}
	if s == nil {
		in.after = append(in.after, func() { answer(policy.StatusNotSent, nil) })
		return
	}
	in.connect(s, func(up bool) {
		if !up {
			answer(policy.StatusConnectFailed, nil)
			return
		}
		in.w.after(in.way(s), func() {
			if s.dead() {
				in.w.after(400*time.Millisecond, func() { s.conns--; answer(policy.StatusTimeout, nil) })
				return
			}
			queue := s.reported(in.w)
			in.w.after(in.way(s), func() {
				in.idle[s]++
				answer(policy.StatusOK, &policy.LoadReport{Queue: queue, InFlight: -1, Latency: -1, ErrorRate: -1})
			})
		})
	})
}

func (in *instance) WatchEndpoints(on bool) {
	if in.watcher != nil {
		in.watcher.off = true
		in.watcher = nil
	}
	if on {
		in.watcher = in.w.list.call(in)
	}
}

func (in *instance) Log(string) {}
