package upstream

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// maxWaitFraction is the fraction of a peer's response time that a request waits for an idle connection at most. Where responses take
	// long, a short wait changes their latency less than a new connection with its handshake.
	maxWaitFraction = 0.2
	// responseTimeWeight is the weight of a new sample in the moving average of response times.
	responseTimeWeight = 0.1
)

// awaitReusable waits until the least recently used idle connection to p has been idle for minIdleBeforeReuse. It returns nil if there is
// none, if the wait would take more than maxWaitFraction of the peer's response time, or if the connection can't be used after it.
func (u *ConnPool) awaitReusable(ctx context.Context, p *Peer) *Conn {
	c := u.reserveResting(p)
	if c == nil {
		return nil
	}
	wait := time.NewTimer(time.Until(c.idleSince.Add(minIdleBeforeReuse)))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	if !c.nothingToRead() || ctx.Err() != nil {
		c.Discard()
		return nil
	}
	return c
}

// reserveResting removes and returns the least recently used idle connection to p if it can be reused within maxWaitFraction of the peer's
// response time. Otherwise it returns nil.
func (u *ConnPool) reserveResting(p *Peer) *Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[0]
	maxWait := time.Duration(maxWaitFraction * float64(p.responseTime.average()))
	if time.Until(c.idleSince.Add(minIdleBeforeReuse)) > maxWait {
		return nil
	}
	u.setIdle(p, slices.Delete(p.idle, 0, 1))
	return c
}

// responseTime is a moving average of the response times of a peer. Its methods are safe for concurrent use.
type responseTime struct{ nanoseconds atomic.Int64 }

// average returns the average, or 0 before the first sample.
func (r *responseTime) average() time.Duration { return time.Duration(r.nanoseconds.Load()) }

// observe adds a sample. One of two concurrent samples may be lost.
func (r *responseTime) observe(sample time.Duration) {
	average := r.nanoseconds.Load()
	if average > 0 {
		sample = time.Duration(average) + time.Duration(responseTimeWeight*float64(int64(sample)-average))
	}
	r.nanoseconds.Store(int64(sample))
}

// observeResponse records the response time of a client's request. It ignores failures, which may be faster, and requests with a long body,
// which the client may have sent slowly.
func (c *Conn) observeResponse(q *Request, response *http.Response) {
	if c.purpose == ForHealthCheck || q.StreamedBody != nil || response.StatusCode >= http.StatusInternalServerError {
		return
	}
	c.peer.responseTime.observe(time.Since(c.sentAt))
}
