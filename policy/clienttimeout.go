package policy

import (
	"slices"
	"time"
)

// minTimeoutVotes tells that the usual time of a try is known.
const minTimeoutVotes = 2

// startTolerance is how far from the end of its client's patience less the deadline a request may have begun: what passes
// between the client's clock and this one, and the rounding of what it tells.
const startTolerance = 10 * time.Millisecond

// maxUnanswered bounds the requests that are owed: under a flood of refusals the oldest are given up.
const maxUnanswered = 1024

type classState struct {
	Class
	usualTimeout time.Duration // the time that clients give most tries; the last one gets all that is left
	timeoutVotes int           // by how many the tries of the usual time lead
	unanswered   []*request    // ended unanswered while their clients go on: a try of each may follow
}

// estimateStart estimates when the request began of which q is a try, as few clients mark their retries. A last
// try, which gets all the time that is left of the deadline rather than the usual, tells it exactly, if a request that is
// owed began then: a client may as well be of little patience, and its request new.
// Another is taken for a retry of a request owed to the same tenant, with the same key and expected work, if one could
// come now. Where neither key nor work is told nothing is taken for a retry: at a sidecar with much traffic some request
// is always owed, and new ones taken for its retries would be refused as late, be owed in turn, and so on for ever.
func (c *classState) estimateStart(now Time, q Request, tick time.Duration) Time {
	left := q.Expires - now
	near := (left - c.usualTimeout).Abs() <= 2*tick
	known := c.timeoutVotes >= minTimeoutVotes
	switch { // the majority vote of Boyer and Moore
	case near:
		c.timeoutVotes = min(c.timeoutVotes+1, 4*minTimeoutVotes)
	case c.timeoutVotes == 0:
		c.usualTimeout, c.timeoutVotes = left, 1
	default:
		c.timeoutVotes--
	}
	c.unanswered = slices.DeleteFunc(c.unanswered, func(r *request) bool { return now > r.startedAt+c.Deadline })
	for i, r := range c.unanswered {
		if r.Tenant == q.Tenant && r.Key == q.Key && r.ExpectedWork == q.ExpectedWork && (q.Key != "" || q.ExpectedWork > 0) && q.Expires <= r.startedAt+c.Deadline+2*tick {
			c.unanswered = slices.Delete(c.unanswered, i, i+1)
			return r.startedAt
		}
	}
	first := min(now, max(now, q.Expires)-c.Deadline)
	if known && !near && slices.ContainsFunc(c.unanswered, func(r *request) bool { return (r.startedAt - first).Abs() <= startTolerance+tick }) {
		return first
	}
	return now
}

// addUnanswered notes that r ended unanswered while its client goes on.
func (c *classState) addUnanswered(r *request) {
	if len(c.unanswered) >= maxUnanswered {
		c.unanswered = slices.Delete(c.unanswered, 0, 1)
	}
	c.unanswered = append(c.unanswered, r)
}
