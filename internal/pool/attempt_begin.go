package pool

import (
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// beginDenial says why an attempt that the decision module has started must not send its first byte.
type beginDenial int

const (
	beginAllowed beginDenial = iota
	deniedRequestEnded
	deniedClientGone
	deniedEndpointGone // or restarted, or moved
	deniedEndpointDraining
	deniedDeadline
	deniedDedupWindowExpired
)

var beginDenialTexts = [...]string{
	beginAllowed:             "allowed",
	deniedRequestEnded:       "request ended",
	deniedClientGone:         "client gone",
	deniedEndpointGone:       "endpoint gone",
	deniedEndpointDraining:   "endpoint draining",
	deniedDeadline:           "deadline passed",
	deniedDedupWindowExpired: "dedup window expired",
}

// String describes the denial for logs.
func (d beginDenial) String() string { return beginDenialTexts[d] }

// beginDenied says whether an attempt, which the decision module has started some time ago, may still send its first byte to peer: a
// connection that came up late, a wait for a descriptor or a process that was not scheduled lie between. An attempt that is denied
// here was not executed.
func (p *Pool) beginDenied(a *attempt, peer *upstream.Peer) beginDenial {
	r := a.request
	clientGone := r.clientGone != nil && r.clientGone()
	denial := deniedRequestEnded // also of a pool that is closed
	p.runEvent(func(now policy.Time) {
		denial = p.beginDeniedLocked(now, a, peer, clientGone)
		if denial == deniedClientGone {
			p.balancer.HandleRequestAbandoned(now, r.id, p)
			p.finish(r, httpmsg.Response{Status: http.StatusBadGateway}) // releases whoever waits for the response
		}
	})
	return denial
}

// beginDeniedLocked is the rule of beginDenied. The caller holds mu.
func (p *Pool) beginDeniedLocked(now policy.Time, a *attempt, peer *upstream.Peer, clientGone bool) beginDenial {
	listed, isListed := p.endpoints[a.endpoint]
	switch {
	case a.request.ended:
		return deniedRequestEnded
	case clientGone:
		return deniedClientGone
	case !isListed || p.peers[a.endpoint] != peer:
		return deniedEndpointGone
	case p.policyEndpoint(listed).State != policy.Ready:
		return deniedEndpointDraining
	case !time.Now().Before(a.deadline):
		return deniedDeadline
	case p.pastDedupWindow(now, a):
		return deniedDedupWindowExpired
	}
	return beginAllowed
}

// pastDedupWindow reports whether a repeats a request with an idempotency key that may have been executed so long ago that endpoints
// have forgotten the key. The caller holds mu.
func (p *Pool) pastDedupWindow(now policy.Time, a *attempt) bool {
	r := a.request
	class := p.classes[r.policyRequest.Class]
	if class.Idempotency != policy.IdempotentByKey {
		return false
	}
	for _, other := range r.attempts {
		if other != a && other.mayHaveExecuted() && now >= other.sentAt+class.DedupWindow {
			return true
		}
	}
	for _, prior := range r.policyRequest.PriorAttempts {
		if !prior.NotExecuted && now >= r.acceptedAt+prior.DedupRemaining {
			return true
		}
	}
	return false
}
