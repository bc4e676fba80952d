package policy

import (
	"slices"
	"time"
)

const (
	// minTimeoutVotes is the lead from which the usual client timeout of a class counts as known.
	minTimeoutVotes = 2
	// maxTimeoutVotes bounds the lead, so that a change of the timeout is noticed.
	maxTimeoutVotes = 4 * minTimeoutVotes
	// timeoutToleranceTicks is how far client timeouts may lie apart and count as equal, in ticks of Config.TimerResolution.
	timeoutToleranceTicks = 2
	// startTolerance is how far an estimated start may be off: what passes between the client's clock and this one.
	startTolerance = 10 * time.Millisecond
	// maxUnanswered bounds the requests remembered as unanswered; the oldest are dropped.
	maxUnanswered = 1024
)

// classState is a class and what is known of its clients' retries. Few clients mark their retries as such, but a retry counts
// against the latency objective from the first try on.
type classState struct {
	Class
	usualTimeout time.Duration // that clients give most tries; the last try of a request gets all that is left of the deadline
	timeoutVotes int           // lead of the usual timeout in a majority vote (Boyer and Moore)
	unanswered   []*request    // ended without a response: their clients may retry
}

// estimateStart estimates when the client first sent the request of which q is a try; now if q seems to be the first.
func (c *classState) estimateStart(now Time, q Request, timerResolution time.Duration) Time {
	tolerance := timeoutToleranceTicks * timerResolution
	timeout := q.Expires - now
	usual := (timeout - c.usualTimeout).Abs() <= tolerance
	known := c.timeoutVotes >= minTimeoutVotes
	c.voteTimeout(timeout, usual)
	c.unanswered = slices.DeleteFunc(c.unanswered, func(r *request) bool { return now > r.startedAt+c.Deadline })
	if r := c.takeRetriedRequest(q, tolerance); r != nil {
		return r.startedAt
	}
	if known && !usual {
		return c.startOfLastTry(now, q, timerResolution)
	}
	return now
}

// voteTimeout takes a client timeout as a vote for the usual one, or against it.
func (c *classState) voteTimeout(timeout time.Duration, usual bool) {
	switch {
	case usual:
		c.timeoutVotes = min(c.timeoutVotes+1, maxTimeoutVotes)
	case c.timeoutVotes == 0:
		c.usualTimeout, c.timeoutVotes = timeout, 1
	default:
		c.timeoutVotes--
	}
}

// takeRetriedRequest returns the unanswered request of which q is a retry: one of the same tenant, key and expected work, that a retry
// could be of now. Without key and expected work nothing counts as a retry: with much traffic some request is always
// unanswered, and new ones taken for its retries would be rejected as late, be unanswered in turn, and so on for ever.
func (c *classState) takeRetriedRequest(q Request, tolerance time.Duration) *request {
	if q.Key == "" && q.ExpectedWork <= 0 {
		return nil
	}
	for i, r := range c.unanswered {
		same := r.Tenant == q.Tenant && r.Key == q.Key && r.ExpectedWork == q.ExpectedWork
		if same && q.Expires <= r.startedAt+c.Deadline+tolerance {
			c.unanswered = slices.Delete(c.unanswered, i, i+1)
			return r
		}
	}
	return nil
}

// startOfLastTry estimates the start by the unusual timeout of q: that of a last try ends with the deadline, which tells the start
// if an unanswered request started then. Otherwise the client just has another timeout, and its request is new.
func (c *classState) startOfLastTry(now Time, q Request, timerResolution time.Duration) Time {
	start := min(now, max(now, q.Expires)-c.Deadline)
	startedThen := func(r *request) bool { return (r.startedAt - start).Abs() <= startTolerance+timerResolution }
	if slices.ContainsFunc(c.unanswered, startedThen) {
		return start
	}
	return now
}

// addUnanswered notes that r ended without a response while its client may retry.
func (c *classState) addUnanswered(r *request) {
	if len(c.unanswered) >= maxUnanswered {
		c.unanswered = slices.Delete(c.unanswered, 0, 1)
	}
	c.unanswered = append(c.unanswered, r)
}
