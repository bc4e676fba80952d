package emulator

import (
	"time"

	"sorrelrudder/policy"
)

// hintInterval is how long one does not tell others of a server again.
const hintInterval = time.Second

// hintRepeats is how often within that time the others hear it.
const hintRepeats = 5

// shareFailure has the others hear of a server that has just not answered, after the lag. What comes of it is the module's: see
// policy.Balancer.Hint.
func (in *instance) shareFailure(now policy.Time, s *backend, st policy.Status) {
	w := in.emulation
	if w.zones != nil && s != nil {
		w.zones.recordOutcome(in, policy.EndpointID(s.id), st)
	}
	if !w.scenario.Sharing.Unreachable || s == nil || st != policy.StatusConnectFailed && st != policy.StatusTimeout && st != policy.StatusReset {
		return
	}
	id := policy.EndpointID(s.id)
	if at, had := in.lastHint[id]; had && now < at+hintInterval {
		return
	}
	in.lastHint[id] = now
	w.after(w.scenario.Sharing.Delay, func() {
		if !w.quorumReports(id, in) {
			return
		}
		for again := range hintRepeats { // own answers of late count for more than hearsay, until there are none
			w.after(time.Duration(again)*hintInterval/hintRepeats, func() {
				for _, other := range w.instances {
					if other != in {
						other.handle(func(now policy.Time) { other.balancer.HandleUnreachableHint(now, id) })
					}
				}
			})
		}
	})
}

// failureReporter is one that told of a server, and when.
type failureReporter struct {
	instance *instance
	at       policy.Time
}

// quorumReports notes a witness, and reports whether as many as are wanted have told of the server of late.
func (w *Emulation) quorumReports(id policy.EndpointID, in *instance) bool {
	kept := w.failureReporters[id][:0]
	for _, x := range w.failureReporters[id] {
		if x.instance != in && x.at > w.now-hintInterval {
			kept = append(kept, x)
		}
	}
	if w.failureReporters == nil {
		w.failureReporters = map[policy.EndpointID][]failureReporter{}
	}
	w.failureReporters[id] = append(kept, failureReporter{in, w.now})
	return len(w.failureReporters[id]) >= max(1, w.scenario.Sharing.Quorum)
}

// shareLoadReport has the others take a report for one of their own probes', after the lag. That would be bold; it measures what room that all see
// would be worth at most.
func (in *instance) shareLoadReport(to policy.EndpointID, st policy.Status, l *policy.LoadReport) {
	w := in.emulation
	if !w.scenario.Sharing.LoadReports || st != policy.StatusOK {
		return
	}
	w.after(w.scenario.Sharing.Delay, func() {
		for _, other := range w.instances {
			if other != in && other.backends[to] != nil && other.backends[to].zone == other.zone {
				other.handle(func(now policy.Time) {
					other.balancer.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: to, Status: policy.StatusOK, Load: l}, other)
				})
			}
		}
	})
}

// importLearnedState has one that starts while others run learn from one of these what it would find out for itself: how slow servers are, and the line
// of delays. Ejections are left out.
func (in *instance) importLearnedState() {
	w := in.emulation
	if !w.scenario.Sharing.LearnedState || w.Elapsed() <= w.scenario.StartupWindow {
		return
	}
	for range 20 {
		from := w.instances[w.rng.IntN(len(w.instances))]
		if from == in || !from.up {
			continue
		}
		l := from.balancer.ExportLearnedState(w.now)
		for id, s := range l.Endpoints {
			s.EjectedFor, s.ConsecutiveFailures = 0, 0
			l.Endpoints[id] = s
		}
		w.after(w.scenario.Sharing.Delay, func() { in.handle(func(now policy.Time) { in.balancer.ImportLearnedState(now, l) }) })
		return
	}
}
