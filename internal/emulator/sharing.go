package emulator

import (
	"time"

	"sorrelrudder/policy"
)

const (
	// hintInterval is the minimum time between two reports of one instance on the same backend.
	hintInterval = time.Second
	// hintRepeats is the number of times that a hint is sent to the other instances within hintInterval.
	hintRepeats = 5
	// learnedStateDraws is the maximum number of random draws of an instance to import learned state from.
	learnedStateDraws = 20
)

// indicatesFailure reports whether a status means that the backend did not respond.
func indicatesFailure(status policy.Status) bool {
	return status == policy.StatusConnectFailed || status == policy.StatusTimeout || status == policy.StatusReset
}

// shareFailure reports the status of an attempt or a health check to the zone controller, if there is one. With Sharing.Unreachable, it
// also reports a backend that did not respond, at most once per hintInterval. The other instances receive a hint once Sharing.Quorum
// instances have reported the backend.
func (in *instance) shareFailure(now policy.Time, target *backend, status policy.Status) {
	e := in.emulation
	if e.zones != nil && target != nil {
		e.zones.recordOutcome(in, policy.EndpointID(target.id), status)
	}
	if !e.scenario.Sharing.Unreachable || target == nil || !indicatesFailure(status) {
		return
	}
	endpoint := policy.EndpointID(target.id)
	if last, reported := in.lastHint[endpoint]; reported && now < last+hintInterval {
		return
	}
	in.lastHint[endpoint] = now
	e.scheduler.After(e.scenario.Sharing.Delay, func() {
		if e.addFailureReport(endpoint, in) >= max(1, e.scenario.Sharing.Quorum) {
			in.hintOthers(endpoint)
		}
	})
}

// hintOthers sends the other instances the hint that an endpoint is unreachable. The hint is repeated because a balancer ignores hints for
// a while after it has received a response from the endpoint itself.
func (in *instance) hintOthers(endpoint policy.EndpointID) {
	e := in.emulation
	for repeat := range hintRepeats {
		e.scheduler.After(time.Duration(repeat)*hintInterval/hintRepeats, func() {
			for _, other := range e.instances {
				if other != in {
					other.handle(func(now policy.Time) { other.balancer.HandleUnreachableHint(now, endpoint) })
				}
			}
		})
	}
}

// failureReporter is an instance that has reported a backend, with the time of the report.
type failureReporter struct {
	instance *instance
	at       policy.Time
}

// addFailureReport records an instance's report of an endpoint. It returns the number of instances that have reported the endpoint within
// hintInterval.
func (e *Emulation) addFailureReport(endpoint policy.EndpointID, in *instance) int {
	recent := e.failureReporters[endpoint][:0]
	for _, reporter := range e.failureReporters[endpoint] {
		if reporter.instance != in && reporter.at > e.scheduler.Now()-hintInterval {
			recent = append(recent, reporter)
		}
	}
	if e.failureReporters == nil {
		e.failureReporters = map[policy.EndpointID][]failureReporter{}
	}
	e.failureReporters[endpoint] = append(recent, failureReporter{in, e.scheduler.Now()})
	return len(e.failureReporters[endpoint])
}

// shareLoadReport passes a load report to the other instances of the backend's zone as if it came from their own health checks. The gain
// measured this way is an upper bound of the gain of sharing load reports.
func (in *instance) shareLoadReport(endpoint policy.EndpointID, status policy.Status, load *policy.LoadReport) {
	e := in.emulation
	if !e.scenario.Sharing.LoadReports || status != policy.StatusOK {
		return
	}
	e.scheduler.After(e.scenario.Sharing.Delay, func() {
		for _, other := range e.instances {
			if other == in || other.backends[endpoint] == nil || other.backends[endpoint].zone != other.zone {
				continue
			}
			other.handle(func(now policy.Time) {
				result := policy.HealthCheckResult{Endpoint: endpoint, Status: policy.StatusOK, Load: load}
				other.balancer.HandleHealthCheck(now, result, other)
			})
		}
	})
}

// importLearnedState gives an instance that starts late the learned state of another instance, without the ejections.
func (in *instance) importLearnedState() {
	if !in.emulation.scenario.Sharing.LearnedState || !in.startsLate() {
		return
	}
	e := in.emulation
	for range learnedStateDraws {
		from := e.instances[e.rng.IntN(len(e.instances))]
		if from == in || !from.up {
			continue
		}
		learned := from.balancer.ExportLearnedState(e.scheduler.Now())
		for id, endpoint := range learned.Endpoints {
			endpoint.EjectedFor, endpoint.ConsecutiveFailures = 0, 0
			learned.Endpoints[id] = endpoint
		}
		e.scheduler.After(e.scenario.Sharing.Delay, func() {
			in.handle(func(now policy.Time) { in.balancer.ImportLearnedState(now, learned) })
		})
		return
	}
}
