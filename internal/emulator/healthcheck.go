package emulator

import (
	"time"

	"sorrelrudder/policy"
)

// healthCheckTimeout is the time that an instance waits for the response to a health check.
const healthCheckTimeout = 400 * time.Millisecond

// healthCheck is a health check that an instance has started.
type healthCheck struct {
	instance *instance
	balancer *policy.Balancer // balancer that requested the check
	endpoint policy.EndpointID
	backend  *backend // nil: the instance has no backend of that name
}

// CheckHealth sends a health check to a backend.
func (in *instance) CheckHealth(endpoint policy.EndpointID) {
	check := &healthCheck{instance: in, balancer: in.balancer, endpoint: endpoint, backend: in.backends[endpoint]}
	in.emulation.counts().HealthChecks++
	if check.backend == nil {
		in.deferred = append(in.deferred, func() { check.finish(policy.StatusNotSent, nil) })
		return
	}
	in.connect(check.backend, func(connected bool) {
		if !connected {
			check.finish(policy.StatusConnectFailed, nil)
			return
		}
		in.emulation.scheduler.After(in.delayTo(check.backend), check.arrive)
	})
}

// arrive handles the arrival of the check at the backend, which responds unless it is unreachable.
func (c *healthCheck) arrive() {
	in := c.instance
	if c.backend.unreachable() {
		in.emulation.scheduler.After(healthCheckTimeout, func() {
			c.backend.connections--
			c.finish(policy.StatusTimeout, nil)
		})
		return
	}
	queue := c.backend.reportedQueueLength(in.emulation)
	in.emulation.scheduler.After(in.delayTo(c.backend), func() {
		in.idleConnections[c.backend]++
		c.finish(policy.StatusOK, &policy.LoadReport{Queue: queue, InFlight: -1, Latency: -1, ErrorRate: -1})
	})
}

// finish passes the result to the balancer that requested the check, and to the other instances. It drops the result if the instance was
// killed in the meantime.
func (c *healthCheck) finish(status policy.Status, load *policy.LoadReport) {
	in := c.instance
	if in.balancer != c.balancer {
		return
	}
	in.handle(func(now policy.Time) {
		in.balancer.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: c.endpoint, Status: status, Load: load}, in)
		in.shareFailure(now, c.backend, status)
		in.shareLoadReport(c.endpoint, status, load)
	})
}
