package fleet

import (
	"encoding/json"
	"time"

	"sorrelrudder/internal/consensus"
)

const (
	maxPendingRequests = 1024 // requests of this process without a response
	maxForwards        = 3    // how often one request is forwarded to another member
)

// pendingRequest is a request of this process to the leader. It is removed from Host.pending once, by handleResponse or expirePending. Its
// functions are called while Host.mu is held.
type pendingRequest struct {
	request    consensus.Request
	onResponse func(consensus.Response)
	onLost     func() // called when the request is dropped without a response; nil: the caller sends a new request by itself
	forwards   int
	sentAt     time.Duration
	sentTo     string
	late       bool // the response is late, and sentTo has been marked as unreachable
}

// rpc is a request between processes, or its response.
type rpc struct {
	Handle   uint64             `json:"handle"`
	Request  consensus.Request  `json:"request,omitzero"`
	Response consensus.Response `json:"response,omitzero"`
	Status   *Status            `json:"status,omitempty"`

	// Requests of operators to this process itself, and the error in the response.
	Bootstrap bool             `json:"found,omitempty"`
	Handover  *handoverRequest `json:"handover,omitempty"`
	Forget    string           `json:"forget,omitempty"`
	Why       string           `json:"why,omitempty"`
}

// submit sends a request to the leader. With maxPendingRequests requests pending, the request is lost at once. The caller must hold mu.
func (h *Host) submit(p *pendingRequest) {
	if len(h.pending) >= maxPendingRequests {
		if p.onLost != nil {
			p.onLost()
		}
		return
	}
	h.lastHandle++
	p.sentAt = h.clock.Now()
	h.pending[h.lastHandle] = p
	h.sendToLeader(h.lastHandle, p)
}

// sendToLeader sends a request to the member that this process assumes to be the leader. The caller must hold mu.
func (h *Host) sendToLeader(handle uint64, p *pendingRequest) {
	now := h.clock.Now()
	to := h.leader.Pick(now)
	p.sentTo = to
	if !h.sendRequest(handle, to, p.request) {
		h.leader.Unreachable(now, to)
	}
}

// sendRequest queues a request for this process's own voter or for a member, and reports whether there was room. The caller must hold mu.
func (h *Host) sendRequest(handle uint64, to string, request consensus.Request) bool {
	if to == h.cfg.Name && h.store != nil {
		return h.tryEnqueue(func(v *voter) {
			h.submitToVoter(v, request, func(r consensus.Response) { h.handleResponse(handle, r) })
		})
	}
	data, err := json.Marshal(rpc{Handle: handle, Request: request})
	if err != nil {
		h.log.Error("request not sent: encoding failed", "err", err)
		return true // the member is not at fault and must not count as unreachable
	}
	l := h.linkTo(to)
	return l != nil && l.send(kindRequest, data)
}

// handleResponse handles the response to a request of this process. A member that is not the leader may name the leader. The request is
// then forwarded to the leader, up to maxForwards times.
func (h *Host) handleResponse(handle uint64, r consensus.Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pending[handle]
	if p == nil {
		return
	}
	if r.NotLeader {
		if h.leader.Redirected(h.clock.Now(), p.sentTo, r.Leader) && p.forwards < maxForwards {
			p.forwards++
			h.sendToLeader(handle, p)
			return
		}
		delete(h.pending, handle)
		p.onResponse(r)
		return
	}
	h.leader.LeaderConfirmed(p.sentTo)
	delete(h.pending, handle)
	p.onResponse(r)
	h.runDue()
}

// expirePending marks members whose responses are late as unreachable, and drops requests that are older than a lease's TTL. The caller
// must hold mu.
func (h *Host) expirePending(now time.Duration) {
	for handle, p := range h.pending {
		if !p.late && now > p.sentAt+h.cfg.LeaseTiming.KeepAliveInterval()/2 {
			p.late = true
			h.leader.Unreachable(now, p.sentTo)
		}
		if now <= p.sentAt+h.cfg.LeaseTiming.TTL {
			continue
		}
		delete(h.pending, handle)
		if p.onLost != nil {
			p.onLost()
		}
	}
}
