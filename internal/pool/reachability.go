package pool

import "sorrelrudder/policy"

// reachability reports which endpoints do not answer this pool. The pool's mu guards it.
type reachability struct {
	report   func(endpoint string, unreachable bool) // nil: nothing is reported
	reported map[policy.EndpointID]bool              // reported unreachable, and not yet reachable again
}

// note takes the end of an attempt or a health check. A timeout may be load or chance: what follows from it is decided where the
// reports of several processes meet. A report is repeated while the fault lasts, since those that are not are forgotten there.
func (r *reachability) record(id policy.EndpointID, status policy.Status) {
	if r.report == nil {
		return
	}
	switch status {
	case policy.StatusConnectFailed, policy.StatusTimeout, policy.StatusReset:
		r.reported[id] = true
		r.report(string(id), true)
	case policy.StatusOK:
		r.clear(id)
	}
}

// clear takes the report on an endpoint back, which answers again, has restarted or is gone.
func (r *reachability) clear(id policy.EndpointID) {
	if r.reported[id] {
		delete(r.reported, id)
		r.report(string(id), false)
	}
}

// HintUnreachable has the decision module hear that an endpoint does not answer other processes; see
// policy.Balancer.HandleUnreachableHint.
func (p *Pool) HintUnreachable(endpoint string) {
	p.runEvent(func(now policy.Time) { p.balancer.HandleUnreachableHint(now, policy.EndpointID(endpoint)) })
}
