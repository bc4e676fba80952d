package policy

import (
	"slices"
	"time"
)

const (
	// minTimeoutVotes is the vote lead from which the usual client timeout of a class counts as known.
	minTimeoutVotes = 2
	// maxTimeoutVotes bounds the vote lead, so that a change of the client timeout is noticed.
	maxTimeoutVotes = 4 * minTimeoutVotes
	// timeoutToleranceTicks is the largest difference of client timeouts that count as equal, in ticks of Config.TimerResolution.
	timeoutToleranceTicks = 2
	// startTolerance is the largest error of an estimated start: the delay between the client and this instance.
	startTolerance = 10 * time.Millisecond
	// maxUnanswered bounds the unanswered requests that are kept per class; the oldest are dropped first.
	maxUnanswered = 1024
)

// classState is a class and the state from which retries of its clients are detected. Few clients mark their retries, but the latency
// objective is measured from the first try.
type classState struct {
	Class
	usualTimeout time.Duration // timeout of most tries; the last try of a request has the rest of the deadline as its timeout
	timeoutVotes int           // lead of usualTimeout in a Boyer-Moore majority vote
	unanswered   []*request    // requests that ended without a response, which their clients may retry
}

// estimateStart estimates when the client sent the first try of the request that q belongs to. It returns now if q seems to be the
// first try.
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

// voteTimeout counts a client timeout as a vote for or against usualTimeout.
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

// takeRetriedRequest returns the unanswered request that q retries and removes it from the list; nil if there is none. The two must have
// the same tenant, key and expected work, and q must expire within the client's deadline for the first try. This function never takes a
// request with neither key nor expected work for a retry, because under heavy traffic some request is always unanswered. New requests that
// were mistaken for its retries would be failed as late and become unanswered themselves, in an endless cycle. startOfLastTry may still
// take such a request for a last try.
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

// startOfLastTry estimates the start from the unusual timeout of q. A last try expires at the client's deadline, which determines the
// start. The estimate is used if an unanswered request started at that time. Otherwise the client merely uses a different timeout, q is a
// new request, and startOfLastTry returns now.
func (c *classState) startOfLastTry(now Time, q Request, timerResolution time.Duration) Time {
	start := min(now, max(now, q.Expires)-c.Deadline)
	startedThen := func(r *request) bool { return (r.startedAt - start).Abs() <= startTolerance+timerResolution }
	if slices.ContainsFunc(c.unanswered, startedThen) {
		return start
	}
	return now
}

// addUnanswered records that r ended without a response and that its client may retry.
func (c *classState) addUnanswered(r *request) {
	if len(c.unanswered) >= maxUnanswered {
		c.unanswered = slices.Delete(c.unanswered, 0, 1)
	}
	c.unanswered = append(c.unanswered, r)
}
