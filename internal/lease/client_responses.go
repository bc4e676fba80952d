package lease

import (
	"maps"
	"slices"
	"time"
)

// HandleResponse processes the response to a request that Next returned. A response to an unknown or already answered request is ignored.
func (c *Client) HandleResponse(r Response) {
	sent, known := c.inFlight[r.ID]
	if !known {
		return
	}
	delete(c.inFlight, r.ID)
	switch {
	case sent.leaseName == "":
		c.handleKeepAlive(sent.sentAt, r)
	case r.Result != nil:
		c.handleResult(sent, *r.Result)
	}
}

// handleKeepAlive extends validUntil after a keepalive that was sent at sentAt. The validity counts from sentAt and not from the arrival of
// the response, because the leader may have counted its TTL from just after the request was sent.
func (c *Client) handleKeepAlive(sentAt time.Duration, r Response) {
	if c.sessionID == 0 {
		if r.Refusal == RefusedNoSession {
			c.knownLastID, c.lastIDKnown = r.LastID, true
		}
		return
	}
	switch r.Refusal {
	case "":
	case RefusedNoSession, RefusedSuperseded:
		c.loseSession(r.Refusal)
		return
	default:
		return
	}
	c.validUntil = max(c.validUntil, sentAt+c.timing.ClientTTL())
	c.keepAliveAt = max(c.keepAliveAt, sentAt+c.timing.KeepAliveInterval())
	if r.Holdings != nil && r.Holdings.Version >= c.holdingsVersion {
		c.applyHoldings(*r.Holdings)
	}
}

// applyHoldings replaces the known holdings of the session.
func (c *Client) applyHoldings(h Holdings) {
	c.holdingsVersion = h.Version
	c.tokens = nonNilMap(maps.Clone(h.Tokens))
	c.revision++
	c.requeueMissing()
	for name, p := range c.pending {
		if p.Op == OpRelease || p.Op == OpTransfer {
			delete(c.tokens, name)
		}
	}
	for name := range c.tokens {
		if w, wanted := c.wanted[name]; wanted {
			c.wanted[name] = wantedLease{limit: w.limit, registered: true}
		} else if _, releasing := c.releasing[name]; !releasing {
			c.releasing[name] = ""
		}
	}
}

// requeueMissing queues OpAcquire again for the registered leases that are not held: the session waits for them, or they were revoked.
func (c *Client) requeueMissing() {
	for _, name := range slices.Sorted(maps.Keys(c.wanted)) {
		if w := c.wanted[name]; w.registered && c.tokens[name] == 0 {
			c.wanted[name] = wantedLease{limit: w.limit}
			c.acquireQueue = append(c.acquireQueue, name)
		}
	}
}

// loseSession drops a session that can't be renewed. All wanted leases are requested again under the next session.
func (c *Client) loseSession(reason Refusal) {
	c.sessionID, c.holdingsVersion, c.validUntil, c.lastSeq = 0, 0, -1, 0
	c.lastIDKnown, c.keepAliveAt = false, 0
	c.openCount++
	clear(c.tokens)
	clear(c.pending)
	clear(c.inFlight)
	clear(c.releasing)
	for name, limit := range c.reacquire {
		c.wanted[name] = wantedLease{limit: limit}
	}
	clear(c.reacquire)
	c.acquireQueue = slices.Sorted(maps.Keys(c.wanted))
	for _, name := range c.acquireQueue {
		c.wanted[name] = wantedLease{limit: c.wanted[name].limit}
	}
	c.revision++
	c.superseded = reason == RefusedSuperseded
}

// handleResult processes the result of a pending command.
func (c *Client) handleResult(sent sentRequest, r Result) {
	p := c.pending[sent.leaseName]
	if p == nil || sent.isOpen != (p.Op == OpOpen) {
		return
	}
	delete(c.pending, sent.leaseName)
	c.revision++
	c.applyResult(p.Command, r)
	if w, wanted := c.wanted[p.Name]; wanted && !w.registered {
		c.acquireQueue = append(c.acquireQueue, p.Name)
	}
}

// applyResult updates the client's state after the result of a command.
func (c *Client) applyResult(command Command, r Result) {
	if r.Refusal == RefusedNoSession || r.Refusal == RefusedSuperseded {
		c.loseSession(r.Refusal)
		return
	}
	switch command.Op {
	case OpOpen:
		c.handleOpened(r)
		return
	case OpClose:
		c.sessionID = 0
		return
	case OpAcquire:
		if w, wanted := c.wanted[command.Name]; wanted {
			c.wanted[command.Name] = wantedLease{limit: w.limit, registered: r.acquireSettled()}
		}
	case OpRelease, OpTransfer:
		c.handleReleased(command, r)
	}
	c.updateToken(command, r)
}

// handleOpened processes the result of OpOpen.
func (c *Client) handleOpened(r Result) {
	if r.Refusal != "" {
		// After RefusedStale, the member has a newer session, so the next OpOpen needs a new nonce and KnownLastID. After any other refusal
		// they do no harm.
		c.lastIDKnown = false
		c.openCount++
		return
	}
	c.sessionID, c.holdingsVersion, c.lastSeq = r.SessionID, r.Version, 0
	c.refreshDue = true
}

// acquireSettled reports whether sending OpAcquire again would have no effect until the holdings change.
func (r Result) acquireSettled() bool {
	return r.Refusal == "" || r.Refusal == RefusedLimitMismatch || r.Refusal == RefusedLimitReached
}

// handleReleased processes the result of OpRelease or OpTransfer.
func (c *Client) handleReleased(command Command, r Result) {
	if command.Op == OpTransfer && r.Refusal == RefusedUnknownMember {
		c.releasing[command.Name] = "" // release the lease to its queue instead
		return
	}
	delete(c.releasing, command.Name)
	if limit, wanted := c.reacquire[command.Name]; wanted {
		delete(c.reacquire, command.Name)
		c.Acquire(command.Name, limit)
	}
}

// updateToken applies the change of the holdings by one command. If the known holdings are not the ones before the command, it requests the
// whole holdings instead.
func (c *Client) updateToken(command Command, r Result) {
	if r.Version == c.holdingsVersion {
		return
	}
	if r.PreviousVersion != c.holdingsVersion {
		c.refreshDue = true
		return
	}
	c.holdingsVersion = r.Version
	if command.Op == OpAcquire && r.Token != 0 {
		c.tokens[command.Name] = r.Token
	} else {
		delete(c.tokens, command.Name)
	}
}
