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

const (
	rejectionLogInterval = time.Second // minimum between two log lines about rejected connections
	acceptRetryPause     = 20 * time.Millisecond
)

var errTooManyConnections = errors.New("too many inbound connections: at most 2048 are served at a time")

// linkTo returns the link to another member and creates it at its first use. It returns nil for this process and for an unknown name. It
// creates no link after the host has closed, and returns nil instead. The caller must hold mu.
func (h *Host) linkTo(name string) *link {
	if l := h.links[name]; l != nil {
		return l
	}
	address := h.cfg.Members[name]
	if address == "" || name == h.cfg.Name || h.ctx.Err() != nil {
		return nil
	}
	l := newLink(address, h.secret, func() hello { return h.helloTo(name) }, h.handleFrame, func(err error) { h.handleLinkError(name, err) })
	l.traffic, l.onHello = &h.traffic, h.notePeerFleet
	h.links[name] = l
	h.goroutines.Go(func() { l.run(h.ctx) })
	return l
}

// helloTo returns the hello of this process to the member of that name, or to any peer if name is empty.
func (h *Host) helloTo(name string) hello {
	h.mu.Lock()
	defer h.mu.Unlock()
	return hello{Name: h.cfg.Name, To: name, Fleet: h.fleetID}
}

// handleLinkError marks a member as unreachable after its link has failed. It logs an error that differs from the last one logged for this
// member, even if the link worked in between.
func (h *Host) handleLinkError(name string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader.Unreachable(h.clock.Now(), name)
	if h.linkErrors[name] != err.Error() {
		h.linkErrors[name] = err.Error()
		h.log.Warn("link to member failed: it is dialed again for later messages", "member", name, "err", err)
	}
}

// notePeerFleet records the fleet ID that a member reports.
func (h *Host) notePeerFleet(peer hello) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peerFleetID = cmp.Or(peer.Fleet, h.peerFleetID)
}

// acceptConnections accepts connections of members and operators until the host closes, maxInboundConnections at a time.
func (h *Host) acceptConnections() {
	semaphore := make(chan struct{}, maxInboundConnections)
	for {
		raw, err := h.listener.Accept()
		if err != nil {
			select {
			case <-h.ctx.Done():
				return
			case <-time.After(acceptRetryPause): // the process may have no free file descriptors
			}
			continue
		}
		select {
		case semaphore <- struct{}{}:
		default:
			raw.Close()
			h.logRejectedConnection("", errTooManyConnections)
			continue
		}
		h.goroutines.Go(func() {
			defer func() { <-semaphore }()
			h.serveConnection(raw)
		})
	}
}

// serveConnection authenticates the peer of a connection and handles its frames until the connection breaks.
func (h *Host) serveConnection(raw net.Conn) {
	defer raw.Close()
	stop := context.AfterFunc(h.ctx, func() { raw.Close() })
	defer stop()
	local := h.helloTo("")
	c, err := acceptConn(raw, h.secret, local, func(peer hello) error { return h.checkPeer(local, peer) })
	if err != nil {
		h.logRejectedConnection(raw.RemoteAddr().String(), err)
		return
	}
	c.traffic = &h.traffic
	h.addConnection(c)
	defer h.removeConnection(c)
	for {
		c.SetReadDeadline(time.Now().Add(2 * idleTimeout))
		kind, payload, err := c.read(maxFrameBytes)
		if err != nil {
			if errors.Is(err, errBadTag) || errors.Is(err, errFrameLength) {
				h.logRejectedConnection(c.peer.Name, err)
			}
			return
		}
		h.handleFrame(c, kind, payload)
	}
}

func (h *Host) addConnection(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peerFleetID = cmp.Or(c.peer.Fleet, h.peerFleetID)
	h.conns[c] = struct{}{}
	h.inbound[c.peer.Name] = c
}

func (h *Host) removeConnection(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
	if h.inbound[c.peer.Name] == c {
		delete(h.inbound, c.peer.Name)
	}
}

// checkPeer returns an error unless peer is an operator or a member of this fleet that intends to connect to this process.
func (h *Host) checkPeer(local, peer hello) error {
	switch {
	case peer.Name != operatorName && h.cfg.Members[peer.Name] == "":
		return fmt.Errorf("peer %q: %w", peer.Name, errUnknownMember)
	case peer.To != "" && peer.To != h.cfg.Name:
		return fmt.Errorf("peer %q expects member %q at this address", peer.Name, peer.To)
	case peer.Fleet != "" && local.Fleet != "" && peer.Fleet != local.Fleet:
		return fmt.Errorf("peer %q belongs to fleet %s, this process to fleet %s", peer.Name, peer.Fleet, local.Fleet)
	}
	return nil
}

// logRejectedConnection logs a rejected connection or message, at most once per rejectionLogInterval, with the number of rejections since
// the last line.
func (h *Host) logRejectedConnection(from string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejectedConnections++
	if now := h.clock.Now(); now >= h.rejectionLoggedAt+rejectionLogInterval {
		h.log.Warn("rejected a connection or message from a peer", "from", from, "err", err, "count", h.rejectedConnections)
		h.rejectedConnections, h.rejectionLoggedAt = 0, now
	}
}

// handleFrame dispatches a frame of a peer by its kind.
func (h *Host) handleFrame(c *conn, kind byte, payload []byte) {
	var err error
	switch kind {
	case kindRaft:
		err = h.handleRaftMessage(c.peer.Name, payload)
	case kindRequest:
		var request rpc
		if err = json.Unmarshal(payload, &request); err == nil {
			h.serveRequest(c, request)
		}
	case kindResponse:
		var response rpc
		if err = json.Unmarshal(payload, &response); err == nil {
			h.handleResponse(response.Handle, response.Response)
		}
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
	if err != nil {
		h.logRejectedConnection(c.peer.Name, err)
	}
}

// handleRaftMessage passes a raft message of a member to the raft node.
func (h *Host) handleRaftMessage(from string, payload []byte) error {
	m, err := consensus.DecodeMessage(payload)
	if err != nil {
		return err
	}
	h.enqueue(func(v *voter) {
		if v.node == nil {
			return
		}
		v.node.LearnName(m.GetFrom(), from)
		if err := v.node.Step(h.clock.Now(), m); err != nil {
			h.logRejectedConnection(from, err)
		}
	})
	return nil
}
