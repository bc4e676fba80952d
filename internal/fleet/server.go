package fleet

import (
	"encoding/json"

	"sorrelrudder/internal/consensus"
)

// serveRequest answers a request of another process or of an operator. For an operator, this process finds the leader and forwards the
// request to it. Other processes find the leader themselves.
func (h *Host) serveRequest(c *conn, request rpc) {
	operator := c.peer.Name == operatorName
	respond := func(r consensus.Response) { h.respond(c, rpc{Handle: request.Handle, Response: r}) }
	switch {
	case operator && request.Bootstrap:
		h.enqueue(func(v *voter) { h.respondDone(c, request.Handle, h.bootstrap(v)) })
	case operator && request.Handover != nil:
		h.respondDone(c, request.Handle, h.startHandover(*request.Handover))
	case operator && request.Forget != "":
		h.respondDone(c, request.Handle, h.forgetEntry(request.Forget))
	case request.Request.Status:
		h.status(func(s *Status) { h.respond(c, rpc{Handle: request.Handle, Status: s}) })
	case operator:
		h.submitForOperator(request.Request, respond)
	case h.store == nil:
		respond(consensus.Response{NotLeader: true})
	default:
		h.enqueue(func(v *voter) { h.submitToVoter(v, request.Request, respond) })
	}
}

// submitForOperator sends an operator's request to the leader.
func (h *Host) submitForOperator(request consensus.Request, respond func(consensus.Response)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &pendingRequest{request: request}
	p.onResponse = func(r consensus.Response) { h.goroutines.Go(func() { respond(r) }) } // a connection must not be written while mu is held
	if d := request.Decision; d != nil && d.Conditional {
		// The response may have been lost with a leader. A conditional decision can safely be requested again.
		p.onLost = func() { p.onResponse(consensus.Response{NotLeader: true}) }
	}
	h.submit(p)
}

// respondDone responds to an operator's request with its error, or with an empty one on success.
func (h *Host) respondDone(c *conn, handle uint64, err error) {
	response := rpc{Handle: handle}
	if err != nil {
		response.Why = err.Error()
	}
	h.respond(c, response)
}

// respond writes a response. It closes a connection whose write fails.
func (h *Host) respond(c *conn, response rpc) {
	data, err := json.Marshal(response)
	if err != nil {
		h.log.Error("response not sent: encoding failed", "err", err)
		return
	}
	if err := c.write(kindResponse, data); err != nil {
		c.Close()
	}
}
