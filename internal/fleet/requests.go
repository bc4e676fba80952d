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

// pendingRequest is a request of this process to the council.
type pendingRequest struct {
	request    consensus.Request
	onResponse func(consensus.Response) // called under mu
	forwards   int
	sentAt     time.Duration
	sentTo     string // whom it went to last
	late       bool   // it was not answered in time
	onLost     func() // called under mu once no answer is waited for any more; nil: it is asked again by itself
}

// rpc is a request as it goes over a link, and its answer.
type rpc struct {
	Handle   uint64             `json:"handle"`
	Request  consensus.Request  `json:"request,omitzero"`
	Response consensus.Response `json:"response,omitzero"`
	Status   *Status            `json:"status,omitempty"`

	// Of operators, to this very process; Why says what became of it.
	Found    bool             `json:"found,omitempty"`
	Handover *handoverRequest `json:"handover,omitempty"`
	Forget   string           `json:"forget,omitempty"`
	Why      string           `json:"why,omitempty"`
}

// submit asks the council, by whom this process takes for its leader. The caller has mu.
func (h *Host) submit(c *pendingRequest) {
	if len(h.pending) >= maxPendingRequests {
		if c.onLost != nil {
			c.onLost()
		}
		return // it is asked again
	}
	h.lastHandle++
	c.sentAt = h.clock.Now()
	h.pending[h.lastHandle] = c
	h.sendToLeader(h.lastHandle, c)
}

// sendToLeader sends a request to whom this process takes for the leader. The caller has mu.
func (h *Host) sendToLeader(handle uint64, c *pendingRequest) {
	now := h.clock.Now()
	to := h.leader.Pick(now)
	c.sentTo = to
	if to == h.cfg.Name && h.store != nil {
		q := c.request
		if !h.tryEnqueue(func(s *voter) { h.propose(s, q, func(r consensus.Response) { h.handleResponse(handle, r) }) }) {
			h.leader.Unreachable(now, to)
		}
		return
	}
	data, err := json.Marshal(rpc{Handle: handle, Request: c.request})
	if err != nil {
		h.log.Error("a request that can't be written", "err", err)
		return
	}
	l := h.linkTo(to)
	if l == nil || !l.send(kindRequest, data) {
		h.leader.Unreachable(now, to)
	}
}

// handleResponse takes an answer of the council. One who does not lead says who may: the same request goes there, a few times.
func (h *Host) handleResponse(handle uint64, r consensus.Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.pending[handle]
	if c == nil {
		return
	}
	if r.NotLeader {
		if h.leader.Redirected(h.clock.Now(), c.sentTo, r.Leader) && c.forwards < maxForwards {
			c.forwards++
			h.sendToLeader(handle, c)
			return
		}
		delete(h.pending, handle)
		c.onResponse(r)
		return
	}
	h.leader.LeaderConfirmed(c.sentTo)
	delete(h.pending, handle)
	c.onResponse(r)
	h.runDue()
}
