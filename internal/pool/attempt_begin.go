package pool

import (
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// beginDenial is the reason why an attempt that the decision module has started must not send its first byte, or beginAllowed.
type beginDenial int

const (
	beginAllowed beginDenial = iota
	deniedRequestEnded
	deniedClientGone
	deniedClientUnknown    // the client may have left unseen, and the attempt is not the first or begins late
	deniedEndpointGone     // removed, restarted or moved to another address
	deniedEndpointDraining // draining on the list, or excluded
	deniedDeadline
	deniedDedupWindowExpired
)

var beginDenialTexts = [...]string{
	beginAllowed:             "allowed",
	deniedRequestEnded:       "request ended",
	deniedClientGone:         "client gone",
	deniedClientUnknown:      "client may be gone",
	deniedEndpointGone:       "endpoint gone",
	deniedEndpointDraining:   "endpoint draining",
	deniedDeadline:           "deadline passed",
	deniedDedupWindowExpired: "dedup window expired",
}

// String returns the text of the denial for logs.
func (d beginDenial) String() string { return beginDenialTexts[d] }

// maxBeginAfterClose is how long after its client has closed its connection an attempt may begin.
const maxBeginAfterClose = 100 * time.Millisecond

// clientState is what is known of the client of a request.
type clientState int

const (
	clientPresent clientState = iota
	clientUnknown             // it may have left
	clientLeft
)

// clientState looks at the connection of the client of an attempt. A first attempt that begins at once counts as one of a client that is there,
// unless it is seen to have left. What is unread of a client that sends a long body is that body: if the client leaves before its end, no
// attempt becomes complete.
func (p *Pool) clientState(a *attempt) clientState {
	r := a.request
	if r.clientGone != nil && r.clientGone() {
		return clientLeft
	}
	atOnce := a.number == 0 && p.clock.now()-r.acceptedAt <= maxBeginAfterClose
	if !atOnce && r.streamedBody == nil && r.clientMayBeGone != nil && r.clientMayBeGone() {
		return clientUnknown
	}
	return clientPresent
}

// checkBegin checks whether an attempt may still send its first byte to peer. Time has passed since the decision module started the
// attempt: a slow dial, a wait for a file descriptor or a process that was not scheduled may have delayed it. An attempt that is denied
// was not executed.
func (p *Pool) checkBegin(a *attempt, peer *upstream.Peer) beginDenial {
	r := a.request
	client := p.clientState(a)
	denial := deniedRequestEnded // the result if the pool is closed
	p.runEvent(func(now policy.Time) {
		denial = p.checkBeginLocked(now, a, peer, client)
		if denial == deniedClientGone {
			p.balancer.HandleRequestAbandoned(now, r.id, p)
			p.finish(r, httpmsg.Response{Status: http.StatusBadGateway}) // unblocks the receiver of the response
		}
	})
	return denial
}

// checkBeginLocked evaluates the conditions of checkBegin in order. The caller holds mu.
func (p *Pool) checkBeginLocked(now policy.Time, a *attempt, peer *upstream.Peer, client clientState) beginDenial {
	listed, isListed := p.endpoints[a.endpoint]
	switch {
	case a.request.ended:
		return deniedRequestEnded
	case client == clientLeft:
		return deniedClientGone
	case client == clientUnknown:
		return deniedClientUnknown
	case !isListed || p.peers[a.endpoint] != peer:
		return deniedEndpointGone
	case p.policyEndpoint(listed).State != policy.Ready:
		return deniedEndpointDraining
	case !time.Now().Before(a.deadline):
		return deniedDeadline
	case p.dedupWindowExpired(now, a):
		return deniedDedupWindowExpired
	}
	return beginAllowed
}

// dedupWindowExpired reports whether attempt a retries a request with an idempotency key after the dedup window of another attempt that
// may have been executed. By then endpoints may have dropped the key, and would execute the request again. The caller holds mu.
func (p *Pool) dedupWindowExpired(now policy.Time, a *attempt) bool {
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
