package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// checker is an Actions that stands in for the host. It keeps its own records of requests, endpoints and attempts, checks each action
// against them independently of the Balancer's state, and reports violations of the rules.
type checker struct {
	t            *testing.T
	cfg          Config
	now          Time
	classes      map[string]Class
	endpoints    map[EndpointID]Endpoint
	notReady     map[EndpointID]bool // draining or removed
	requests     map[RequestID]*openRequest
	timers       []timerEvent
	healthChecks []EndpointID
	log          []string
	failed       bool
}

type timerEvent struct {
	at    Time
	token string
}

type openRequest struct {
	Request
	class          Class
	attempts       []openAttempt
	ended          bool
	bodyConsumed   bool // its streamed body is being sent or was sent
	bodyInTransfer bool // its streamed body is being sent
}

type openAttempt struct {
	endpoint Endpoint
	sentAt   Time
	inFlight bool
	status   Status
}

func (c *checker) reportViolation(format string, args ...any) {
	c.t.Helper()
	c.failed = true
	c.t.Errorf("at %v: %s", c.now, fmt.Sprintf(format, args...))
}

func (c *checker) StartAttempt(id RequestID, endpointID EndpointID, timeout time.Duration) {
	c.log = append(c.log, fmt.Sprint("send ", id, endpointID, timeout))
	r := c.requests[id]
	e, ok := c.endpoints[endpointID]
	switch {
	case r == nil || r.ended:
		c.reportViolation("attempt of the ended or unknown request %d", id)
		return
	case !ok:
		c.reportViolation("attempt at the unknown endpoint %s", endpointID)
		return
	case c.notReady[endpointID]:
		c.reportViolation("attempt at %s, which drains or was removed", endpointID)
	case r.bodyConsumed:
		c.reportViolation("attempt of request %d, whose body is consumed", id)
	case r.StreamedBody && slices.ContainsFunc(r.attempts, func(a openAttempt) bool { return a.inFlight }):
		c.reportViolation("second attempt in flight of request %d, whose body can be read only once", id)
	case len(r.attempts) >= c.cfg.MaxAttempts:
		c.reportViolation("attempt number %d of one request, want at most MaxAttempts = %d", len(r.attempts)+1, c.cfg.MaxAttempts)
	}
	for _, a := range r.attempts {
		if a.inFlight && !c.cfg.HedgingAllowed {
			c.reportViolation("second attempt in flight of request %d without HedgingAllowed", id)
		}
		proven := !a.inFlight && (a.status == StatusOverloaded || a.status == StatusConnectFailed || a.status == StatusNotSent)
		if proven || r.class.Idempotency == Idempotent {
			continue
		}
		switch {
		case r.class.Idempotency == NonIdempotent:
			c.reportViolation("request %d is not idempotent and was sent again", id)
		case c.now > a.sentAt+r.class.DedupWindow:
			c.reportViolation("request %d with an idempotency key sent again %v after an attempt, after its dedup window", id, c.now-a.sentAt)
		case r.class.DedupScope == DedupZone && a.endpoint.Zone != e.Zone,
			r.class.DedupScope == DedupCell && a.endpoint.Cell != e.Cell:
			c.reportViolation("request %d with an idempotency key sent again outside its dedup scope", id)
		}
	}
	r.attempts = append(r.attempts, openAttempt{endpoint: e, sentAt: c.now, inFlight: true})
}

func (c *checker) recordEnd(id RequestID) *openRequest {
	r := c.requests[id]
	if r == nil {
		c.reportViolation("end of the unknown request %d", id)
		return nil
	}
	if r.ended {
		c.reportViolation("second end of request %d", id)
	}
	if c.now > r.Expires+c.cfg.ResponseGrace && !r.bodyInTransfer {
		c.reportViolation("request %d ended %v after its deadline", id, c.now-r.Expires)
	}
	r.ended = true
	return r
}

func (c *checker) Reject(id RequestID, d time.Duration) {
	c.log = append(c.log, fmt.Sprint("reject ", id, d))
	r := c.recordEnd(id)
	if r == nil || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupEverywhere {
		return
	}
	for _, a := range r.attempts {
		if a.inFlight || a.status != StatusOverloaded && a.status != StatusConnectFailed && a.status != StatusNotSent {
			c.reportViolation("request %d is rejected although it may have been executed", id)
		}
	}
}

func (c *checker) Fail(id RequestID) {
	c.log = append(c.log, fmt.Sprint("fail ", id))
	c.recordEnd(id)
}

func (c *checker) CancelAttempt(id RequestID, attempt int) {
	c.log = append(c.log, fmt.Sprint("cancel ", id, attempt))
	if r := c.requests[id]; r == nil || attempt >= len(r.attempts) {
		c.reportViolation("cancellation of attempt %d of request %d, which was never started", attempt, id)
	}
	if !c.cfg.CancellationAllowed {
		c.reportViolation("cancellation without CancellationAllowed")
	}
}

func (c *checker) SetTimer(d time.Duration, token string) {
	c.log = append(c.log, fmt.Sprint("timer ", d, token))
	if d > 71*time.Minute || token == "" || len(token) > 64 {
		c.reportViolation("timer of %v with token %q: want at most 71m and a token of 1 to 64 bytes", d, token)
	}
	c.timers = append(c.timers, timerEvent{c.now + max(d, c.cfg.TimerResolution), token})
}

func (c *checker) CheckHealth(endpointID EndpointID) {
	c.log = append(c.log, fmt.Sprint("check ", endpointID))
	if !c.cfg.HealthChecksAllowed {
		c.reportViolation("health check without HealthChecksAllowed")
	}
	if _, ok := c.endpoints[endpointID]; !ok {
		c.reportViolation("health check of the unknown endpoint %s", endpointID)
	}
	c.healthChecks = append(c.healthChecks, endpointID)
}

func (c *checker) WatchEndpoints(on bool) { c.log = append(c.log, fmt.Sprint("watch ", on)) }
func (c *checker) Log(text string)        { c.log = append(c.log, "log "+text) }
