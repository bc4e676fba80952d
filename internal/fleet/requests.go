package fleet

import (
	"encoding/json"
	"time"

	"sorrelrudder/internal/consensus"
)

const (
	maxPendingRequests = 1024 // requests of this process that have no answer yet
	maxForwards        = 3    // times that one request is sent on to another member
)

// pendingRequest is a request of this process to the leader. It leaves Host.pending once: by handleResponse or expirePending. Its functions are
// called under Host.mu.
type pendingRequest struct {
	request    consensus.Request
	onResponse func(consensus.Response)
	onLost     func() // no response is waited for any more; nil: whoever wants one asks again
	forwards   int
	sentAt     time.Duration
	sentTo     string
	late       bool // the member it was sent to counts as unreachable since
}

// rpc is a request between processes, or its response.
type rpc struct {
	Handle   uint64             `json:"handle"`
	Request  consensus.Request  `json:"request,omitzero"`
	Response consensus.Response `json:"response,omitzero"`
	Status   *Status            `json:"status,omitempty"`

	// Requests of operators to this very process, and the error of one.
	Bootstrap bool             `json:"found,omitempty"`
	Handover  *handoverRequest `json:"handover,omitempty"`
	Forget    string           `json:"forget,omitempty"`
	Why       string           `json:"why,omitempty"`
}

// submit sends a request to the leader. One too many is lost at once. The caller has mu.
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

// sendToLeader sends a request to the member that this process takes for the leader. The caller has mu.
func (h *Host) sendToLeader(handle uint64, p *pendingRequest) {
	now := h.clock.Now()
	to := h.leader.Pick(now)
	p.sentTo = to
	if !h.sendRequest(handle, to, p.request) {
		h.leader.Unreachable(now, to)
	}
}

// sendRequest reports whether a request was queued, for this process' own voter or for a member. The caller has mu.
func (h *Host) sendRequest(handle uint64, to string, request consensus.Request) bool {
	if to == h.cfg.Name && h.store != nil {
		return h.tryEnqueue(func(v *voter) {
			h.submitToVoter(v, request, func(r consensus.Response) { h.handleResponse(handle, r) })
		})
	}
	data, err := json.Marshal(rpc{Handle: handle, Request: request})
	if err != nil {
		h.log.Error("encoding a request failed", "err", err)
		return true // it says nothing about the member
	}
	l := h.linkTo(to)
	return l != nil && l.send(kindRequest, data)
}

// handleResponse takes the response to a request of this process. A member that does not lead may name the leader: the request is forwarded
// there, up to maxForwards times.
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

// expirePending takes members whose responses are late for unreachable, and gives up requests that are older than a lease. The caller has mu.
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
