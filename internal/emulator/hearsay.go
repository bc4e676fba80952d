package emulator

import (
	"time"

	"sorrelrudder/policy"
)

// sayAgain is how long one does not tell others of a server again.
const sayAgain = time.Second

// sayTimes is how often within that time the others hear it.
const sayTimes = 5

// tells has the others hear of a server that has just not answered, after the lag. What comes of it is the module's: see
// policy.Balancer.Hint.
func (in *instance) tells(now policy.Time, s *server, st policy.Status) {
	w := in.w
	if w.fleet != nil && s != nil {
		w.fleet.saw(in, policy.EndpointID(s.id), st)
	}
	if !w.day.Sharing.Unreachable || s == nil || st != policy.StatusConnectFailed && st != policy.StatusTimeout && st != policy.StatusReset {
		return
	}
	id := policy.EndpointID(s.id)
	if at, had := in.said[id]; had && now < at+sayAgain {
		return
	}
	in.said[id] = now
	w.after(w.day.Sharing.Delay, func() {
		if !w.enough(id, in) {
			return
		}
		for again := range sayTimes { // own answers of late count for more than hearsay, until there are none
			w.after(time.Duration(again)*sayAgain/sayTimes, func() {
				for _, other := range w.instances {
					if other != in {
						other.do(func(now policy.Time) { other.b.HandleUnreachableHint(now, id) })
					}
				}
			})
		}
	})
}

// witness is one that told of a server, and when.
type witness struct {
	in *instance
	at policy.Time
}

// enough notes a witness, and reports whether as many as are wanted have told of the server of late.
func (w *Emulation) enough(id policy.EndpointID, in *instance) bool {
	kept := w.witnesses[id][:0]
	for _, x := range w.witnesses[id] {
		if x.in != in && x.at > w.now-sayAgain {
			kept = append(kept, x)
		}
	}
	if w.witnesses == nil {
		w.witnesses = map[policy.EndpointID][]witness{}
	}
	w.witnesses[id] = append(kept, witness{in, w.now})
	return len(w.witnesses[id]) >= max(1, w.day.Sharing.Quorum)
}

// reports has the others take a report for one of their own probes', after the lag. That would be bold; it measures what room that all see
// would be worth at most.
func (in *instance) reports(to policy.EndpointID, st policy.Status, l *policy.LoadReport) {
	w := in.w
	if !w.day.Sharing.LoadReports || st != policy.StatusOK {
		return
	}
	w.after(w.day.Sharing.Delay, func() {
		for _, other := range w.instances {
			if other != in && other.known[to] != nil && other.known[to].zone == other.zone {
				other.do(func(now policy.Time) {
					other.b.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: to, Status: policy.StatusOK, Load: l}, other)
				})
			}
		}
	})
}

// inherit has one that starts while others run learn from one of these what it would find out for itself: how slow servers are, and the line
// of delays. Ejections are left out.
func (in *instance) inherit() {
	w := in.w
	if !w.day.Sharing.LearnedState || w.Elapsed() <= w.day.StartupWindow {
		return
	}
	for range 20 {
		from := w.instances[w.rng.IntN(len(w.instances))]
		if from == in || !from.up {
			continue
		}
		l := from.b.ExportLearnedState(w.now)
		for id, s := range l.Endpoints {
			s.EjectedFor, s.ConsecutiveFailures = 0, 0
			l.Endpoints[id] = s
		}
		w.after(w.day.Sharing.Delay, func() { in.do(func(now policy.Time) { in.b.ImportLearnedState(now, l) }) })
		return
	}
}
