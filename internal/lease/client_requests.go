package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxInFlight bounds Client.inFlight. Responses are accepted only for the newest maxInFlight requests.
	maxInFlight = 64
	// openKey and closeKey are the keys of Client.pending for OpOpen and OpClose. No lease has these names.
	openKey  = "\x00open"
	closeKey = "\x00close"
)

// sentRequest is a request without a response yet.
type sentRequest struct {
	sentAt    time.Duration
	leaseName string // a lease name, openKey or closeKey; empty: a keepalive
	isOpen    bool
}

// pendingCommand is a command that is sent again until its result arrives.
type pendingCommand struct {
	Command
	retryAt time.Duration
}

// Next returns the requests to send now and the latest time for the next call.
func (c *Client) Next(now time.Duration) (requests []Request, at time.Duration) {
	if c.superseded || c.Closed() {
		return nil, now + c.timing.TTL
	}
	switch {
	case c.sessionID == 0 && !c.lastIDKnown:
		return c.requestLastID(now)
	case c.sessionID == 0:
		c.enqueue(openKey, Command{Op: OpOpen, Nonce: c.nonce(), KnownLastID: c.knownLastID})
	case c.closing:
		clear(c.pending)
		c.enqueue(closeKey, Command{Op: OpClose})
	default:
		c.enqueueAcquires()
		c.enqueueReleases()
		requests = c.keepAlive(now)
	}
	at = c.keepAliveAt
	if c.sessionID == 0 || c.closing {
		at = now + c.retryInterval()
	}
	return c.sendPending(now, requests, at)
}

// requestLastID returns a keepalive without a session. Its response has the KnownLastID for the next OpOpen.
func (c *Client) requestLastID(now time.Duration) ([]Request, time.Duration) {
	if now < c.keepAliveAt {
		return nil, c.keepAliveAt
	}
	request := c.newRequest(now, sentRequest{}, Request{})
	c.keepAliveAt = now + c.retryInterval()
	return []Request{request}, c.keepAliveAt
}

// keepAlive returns a keepalive of the session if one is due.
func (c *Client) keepAlive(now time.Duration) []Request {
	if !c.refreshDue && now < c.keepAliveAt {
		return nil
	}
	c.refreshDue = false
	c.keepAliveAt = now + c.retryInterval()
	return []Request{c.newRequest(now, sentRequest{}, Request{KnownVersion: c.holdingsVersion})}
}

// enqueueAcquires enqueues OpAcquire for the leases in acquireQueue, as far as the bound on pending commands allows.
func (c *Client) enqueueAcquires() {
	for len(c.acquireQueue) > 0 {
		name := c.acquireQueue[0]
		w, wanted := c.wanted[name]
		if wanted && !w.registered && c.pending[name] == nil {
			if !c.enqueue(name, Command{Op: OpAcquire, Name: name, Limit: w.limit, Wait: true}) {
				return
			}
		}
		c.acquireQueue = c.acquireQueue[1:] // handleResult queues a lease with a pending command again
	}
}

// enqueueReleases enqueues OpRelease or OpTransfer for the leases in releasing.
func (c *Client) enqueueReleases() {
	for _, name := range slices.Sorted(maps.Keys(c.releasing)) {
		if p := c.pending[name]; p != nil && p.Op == OpAcquire {
			continue // if the release overtook the OpAcquire, the lease would be granted afterwards and stay held
		}
		to := c.releasing[name]
		op := OpRelease
		if to != "" && c.tokens[name] != 0 {
			op = OpTransfer
		}
		c.enqueue(name, Command{Op: op, Name: name, To: to, Token: c.tokens[name]})
	}
}

// enqueue makes a command pending. It reports false if a command with the same key is pending, whose result has to arrive first. It also
// reports false if there are so many commands in flight that the leader could drop a result before the client has received it.
func (c *Client) enqueue(key string, command Command) bool {
	if c.pending[key] != nil {
		return false
	}
	for _, p := range c.pending {
		if p.Op != OpOpen && c.lastSeq+1 >= p.Seq+maxResults/2 {
			return false
		}
	}
	if command.Op == OpRelease || command.Op == OpTransfer {
		delete(c.tokens, command.Name)
	}
	command.Member, command.SessionID = c.member, c.sessionID
	if command.Op != OpOpen {
		c.lastSeq++
		command.Seq = c.lastSeq
	}
	c.pending[key] = &pendingCommand{Command: command}
	c.revision++
	return true
}

// sendPending appends the pending commands that are due to requests, in the order of their sequence numbers. It returns the earlier of at
// and the time of the next retry.
func (c *Client) sendPending(now time.Duration, requests []Request, at time.Duration) ([]Request, time.Duration) {
	keys := slices.SortedFunc(maps.Keys(c.pending), func(a, b string) int {
		return cmp.Compare(c.pending[a].Seq, c.pending[b].Seq)
	})
	for _, key := range keys {
		p := c.pending[key]
		if now >= p.retryAt {
			p.retryAt = now + c.retryInterval()
			command := p.Command
			sent := sentRequest{leaseName: key, isOpen: p.Op == OpOpen}
			requests = append(requests, c.newRequest(now, sent, Request{Command: &command}))
		}
		at = min(at, p.retryAt)
	}
	return requests, at
}

// newRequest sets the ID, member and session of a request and records it in inFlight until its response.
func (c *Client) newRequest(now time.Duration, sent sentRequest, r Request) Request {
	c.lastRequestID++
	sent.sentAt = now
	c.inFlight[c.lastRequestID] = sent
	delete(c.inFlight, c.lastRequestID-maxInFlight)
	r.ID, r.Member, r.SessionID = c.lastRequestID, c.member, c.sessionID
	return r
}
