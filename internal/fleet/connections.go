package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"sorrelrudder/internal/consensus"
)

// rejectionLogInterval is the least time between two log lines on rejected connections.
const rejectionLogInterval = time.Second

// linkTo is the way to a member, nil if there is none of that name. The caller has mu.
func (h *Host) linkTo(name string) *link {
	if l := h.links[name]; l != nil {
		return l
	}
	address := h.cfg.Members[name]
	if address == "" || name == h.cfg.Name || h.ctx.Err() != nil {
		return nil
	}
	l := newLink(address, h.secret, func() hello {
		h.mu.Lock()
		defer h.mu.Unlock()
		return hello{Name: h.cfg.Name, To: name, Fleet: h.fleetID}
	}, h.handleFrame, func(err error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.leader.Unreachable(h.clock.Now(), name)
		if h.linkErrors[name] != err.Error() {
			h.linkErrors[name] = err.Error()
			h.log.Warn("the link to a member is broken", "member", name, "err", err)
		}
	})
	l.traffic, l.onHello = &h.traffic, h.notePeerFleet
	h.links[name] = l
	h.goroutines.Go(func() { l.run(h.ctx) })
	return l
}

// notePeerFleet notes of which fleet a member is.
func (h *Host) notePeerFleet(peer hello) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peerFleetID = cmp.Or(peer.Fleet, h.peerFleetID)
}

// acceptConnections takes the connections of others.
func (h *Host) acceptConnections() {
	room := make(chan struct{}, maxInboundConnections)
	for {
		raw, err := h.listener.Accept()
		if err != nil {
			if h.ctx.Err() != nil {
				return
			}
			select {
			case <-h.ctx.Done():
				return
			case <-time.After(20 * time.Millisecond): // out of descriptors, say
			}
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			raw.Close()
			h.logRejectedConnection("", errors.New("too many connections"))
			continue
		}
		h.goroutines.Go(func() {
			defer func() { <-room }()
			h.serveConnection(raw)
		})
	}
}

func (h *Host) serveConnection(raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(h.ctx, func() { raw.Close() })
	defer stop()
	h.mu.Lock()
	me := hello{Name: h.cfg.Name, Fleet: h.fleetID}
	h.mu.Unlock()
	c, err := acceptConn(raw, h.secret, me, func(peer hello) error { return h.checkPeer(me, peer) })
	if err != nil {
		h.logRejectedConnection(raw.RemoteAddr().String(), err)
		return
	}
	c.traffic = &h.traffic
	h.mu.Lock()
	h.peerFleetID = cmp.Or(c.peer.Fleet, h.peerFleetID)
	h.conns[c] = struct{}{}
	h.inbound[c.peer.Name] = c
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		if h.inbound[c.peer.Name] == c {
			delete(h.inbound, c.peer.Name)
		}
		h.mu.Unlock()
	}()
	for {
		c.SetReadDeadline(time.Now().Add(2 * idleTimeout))
		kind, payload, err := c.read(maxFrameBytes)
		if err != nil {
			if errors.Is(err, errBadTag) || errors.Is(err, errFrameTooLong) {
				h.logRejectedConnection(c.peer.Name, err)
			}
			return
		}
		h.handleFrame(c, kind, payload)
	}
}

// checkPeer returns an error unless peer is an operator or a member of this fleet that means to talk to this process.
func (h *Host) checkPeer(local, peer hello) error {
	switch {
	case peer.Name != operatorName && h.cfg.Members[peer.Name] == "":
		return fmt.Errorf("%q: %w", peer.Name, errUnknownMember)
	case peer.To != "" && peer.To != h.cfg.Name:
		return fmt.Errorf("%q looks for %q here", peer.Name, peer.To)
	case peer.Fleet != "" && local.Fleet != "" && peer.Fleet != local.Fleet:
		return fmt.Errorf("%q is of the fleet %s, and this process of %s", peer.Name, peer.Fleet, local.Fleet)
	}
	return nil
}

// logRejectedConnection logs connections that are turned away, once a second at most.
func (h *Host) logRejectedConnection(from string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejectedConnections++
	if now := h.clock.Now(); now >= h.rejectionLoggedAt+rejectionLogInterval {
		h.log.Warn("a connection to the tier was turned away", "from", from, "err", err, "count", h.rejectedConnections)
		h.rejectedConnections, h.rejectionLoggedAt = 0, now
	}
}

// handleFrame takes a frame.
func (h *Host) handleFrame(c *conn, kind byte, payload []byte) {
	switch kind {
	case kindRaft:
		m, err := consensus.DecodeMessage(payload)
		if err != nil {
			h.logRejectedConnection(c.peer.Name, err)
			return
		}
		from := c.peer.Name
		h.enqueue(func(s *voter) {
			if s.node == nil {
				return
			}
			s.node.LearnName(m.GetFrom(), from)
			if err := s.node.Step(h.clock.Now(), m); err != nil {
				h.logRejectedConnection(from, err)
			}
		})
	case kindRequest:
		var a rpc
		if err := json.Unmarshal(payload, &a); err != nil {
			h.logRejectedConnection(c.peer.Name, err)
			return
		}
		h.serveRequest(c, a)
	case kindResponse:
		var a rpc
		if err := json.Unmarshal(payload, &a); err != nil {
			h.logRejectedConnection(c.peer.Name, err)
			return
		}
		h.handleResponse(a.Handle, a.Response)
	case kindPing:
		if c.write(kindPong, nil) != nil {
			c.Close()
		}
	case kindGossip:
		h.handleGossip(c.peer.Name, payload)
	case kindWake:
		h.mu.Lock()
		h.session.Refresh()
		h.runDue()
		h.mu.Unlock()
	}
}

// serveRequest answers a request of another process, or of an operator: of those it finds out itself who can answer.
func (h *Host) serveRequest(c *conn, a rpc) {
	say := func(b rpc) {
		b.Handle = a.Handle
		data, err := json.Marshal(b)
		if err != nil {
			h.log.Error("an answer that can't be written", "err", err)
			return
		}
		if err := c.write(kindResponse, data); err != nil {
			c.Close()
		}
	}
	answer := func(r consensus.Response, s *Status) { say(rpc{Response: r, Status: s}) }
	done := func(err error) {
		if err != nil {
			say(rpc{Why: err.Error()})
			return
		}
		say(rpc{})
	}
	switch {
	case c.peer.Name == operatorName && a.Found:
		h.enqueue(func(s *voter) { done(h.bootstrap(s)) })
	case c.peer.Name == operatorName && a.Handover != nil:
		done(h.startHandover(*a.Handover))
	case c.peer.Name == operatorName && a.Forget != "":
		done(h.forgetEntry(a.Forget))
	case a.Request.Status:
		h.status(func(s *Status) { answer(consensus.Response{}, s) })
	case c.peer.Name == operatorName:
		h.mu.Lock()
		defer h.mu.Unlock()
		c := &pendingRequest{request: a.Request, onResponse: func(r consensus.Response) { h.goroutines.Go(func() { answer(r, nil) }) }}
		if o := a.Request.Decision; o != nil && o.Conditional { // its answer may be lost with a leader: asking again has no second effect
			c.onLost = func() { c.onResponse(consensus.Response{NotLeader: true}) }
		}
		h.submit(c)
	case h.store == nil:
		answer(consensus.Response{NotLeader: true}, nil)
	default:
		h.enqueue(func(s *voter) { h.propose(s, a.Request, func(r consensus.Response) { answer(r, nil) }) })
	}
}
