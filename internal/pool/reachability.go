package pool

import "sorrelrudder/policy"

// reachability reports which endpoints do not respond to this pool. The pool's mu guards it.
type reachability struct {
	report   func(endpoint string, unreachable bool) // nil: nothing is reported
	reported map[policy.EndpointID]bool              // the endpoints last reported as unreachable
}

// record records the result of an attempt or a health check. A single timeout may be due to load or chance, so it is only reported: the
// receiver combines the reports of several processes before it acts. The report is repeated with each failure, since the receiver drops
// reports that are not renewed.
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

// clear withdraws the report about an endpoint that responds again, has restarted, has moved to another address or was removed.
func (r *reachability) clear(id policy.EndpointID) {
	if r.reported[id] {
		delete(r.reported, id)
		r.report(string(id), false)
	}
}

// HintUnreachable tells the decision module that an endpoint does not respond to other processes; see
// policy.Balancer.HandleUnreachableHint.
func (p *Pool) HintUnreachable(endpoint string) {
	p.runEvent(func(now policy.Time) { p.balancer.HandleUnreachableHint(now, policy.EndpointID(endpoint)) })
}
