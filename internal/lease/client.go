package lease

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Client is the client side of a process's session. It decides which requests to send to the leader, and until when the process may act
// on its leases. All times are readings of the process's monotonic clock. The caller sends the requests that [Client.Next] returns and
// passes the responses to [Client.HandleResponse]. It is not safe for concurrent use.
//
// Invariants:
//   - validUntil is at most ClientTTL after the sending of a successful keepalive, so a process that resumes after a longer pause may not
//     act on its leases.
//   - A lease is removed from tokens as soon as its release is enqueued.
type Client struct {
	timing      Timing
	member      string
	incarnation string

	// The session.
	sessionID     uint64 // 0: none
	openCount     int    // part of the nonce, so that each opening has its own
	knownLastID   uint64
	lastIDKnown   bool // knownLastID may be used for the next OpOpen
	validUntil    time.Duration
	keepAliveAt   time.Duration
	refreshDue    bool // the holdings have changed at the leader, and the next keepalive is to fetch them
	closing       bool
	superseded    bool
	lastSeq       uint64
	lastRequestID uint64

	// The leases of the session, as of holdingsVersion.
	holdingsVersion uint64
	tokens          map[string]uint64
	revision        uint64

	// The leases that the process wants to hold or release.
	wanted       map[string]wantedLease
	acquireQueue []string          // leases to send OpAcquire for; a name may occur twice
	releasing    map[string]string // leases to release, with the member to transfer each to (empty: the next in its queue)
	reacquire    map[string]int    // leases to acquire again after their transfer, with their limits

	// Requests and commands without a response yet.
	inFlight map[uint64]sentRequest     // by request ID
	pending  map[string]*pendingCommand // by lease name, openKey or closeKey
}

// wantedLease is a lease that the process wants to hold.
type wantedLease struct {
	limit      int
	registered bool // the leader has answered OpAcquire; sending it again has no effect until the holdings change
}

// NewClient returns a client without a session. incarnation must be unique to each start of each process.
func NewClient(t Timing, member, incarnation string) *Client {
	return &Client{
		timing:      t,
		member:      member,
		incarnation: incarnation,
		validUntil:  -1,
		tokens:      map[string]uint64{},
		wanted:      map[string]wantedLease{},
		releasing:   map[string]string{},
		reacquire:   map[string]int{},
		inFlight:    map[uint64]sentRequest{},
		pending:     map[string]*pendingCommand{},
	}
}

// Acquire requests a lease, and queues for it if it is not free. limit is the number of sessions that may hold the lease at once. A call
// for a lease that the process already wants has no effect.
func (c *Client) Acquire(name string, limit int) {
	if _, wanted := c.wanted[name]; wanted {
		return
	}
	c.wanted[name] = wantedLease{limit: limit}
	c.acquireQueue = append(c.acquireQueue, name)
	delete(c.releasing, name)
	c.revision++
}

// Release gives up a lease. If to is set, the lease is transferred to that member, otherwise to the first session in its queue. The process
// must have stopped acting on the lease before the call.
func (c *Client) Release(name, to string) {
	if _, wanted := c.wanted[name]; !wanted {
		return
	}
	delete(c.wanted, name)
	c.releasing[name] = to
	c.revision++
}

// Transfer transfers a held lease to another member, and queues for it again. A call for a lease that is not held has no effect. The
// process must have stopped acting on the lease before the call.
func (c *Client) Transfer(name, to string) {
	w, wanted := c.wanted[name]
	if !wanted || c.tokens[name] == 0 {
		return
	}
	c.Release(name, to)
	c.reacquire[name] = w.limit
}

// Close gives up the session and all its leases permanently. The process must have stopped acting on them before the call.
func (c *Client) Close() {
	c.closing = true
	c.revision++
	clear(c.tokens)
}

// Closed reports whether Close was called and the session has ended at the leader, or did not exist.
func (c *Client) Closed() bool { return c.closing && c.sessionID == 0 }

// Superseded reports whether a newer session of the same member exists. A superseded client opens no further session.
func (c *Client) Superseded() bool { return c.superseded }

// Incarnation returns the value that identifies this start of the process.
func (c *Client) Incarnation() string { return c.incarnation }

// SessionID returns the ID of the session, 0 without one.
func (c *Client) SessionID() uint64 { return c.sessionID }

// ValidUntil returns the time until which the process may act on the leases that it holds. It is negative without a session.
func (c *Client) ValidUntil() time.Duration { return c.validUntil }

// Revision returns a counter that grows with each change of the result of Held, except when the result changes only because
// ValidUntil has passed or was extended.
func (c *Client) Revision() uint64 { return c.revision }

// Token returns the fencing token of a lease and the time until which the process may act on it. ok is false if the process may not act on
// the lease now.
func (c *Client) Token(now time.Duration, name string) (token uint64, until time.Duration, ok bool) {
	token = c.tokens[name]
	if _, wanted := c.wanted[name]; token == 0 || !wanted || c.closing || now >= c.validUntil {
		return 0, 0, false
	}
	return token, c.validUntil, true
}

// Held returns the sorted names of the leases that the leader has granted to the session. It returns none once ValidUntil has passed or
// Close was called. It can contain a lease that was passed to Release or Transfer until Next sends its release; Token reports whether the
// process may act on a lease.
func (c *Client) Held(now time.Duration) []string {
	if now >= c.validUntil || c.closing {
		return nil
	}
	return slices.Sorted(maps.Keys(c.tokens))
}

// Refresh makes the next call of Next send a keepalive. The caller uses it when the leader reports that the holdings have changed.
func (c *Client) Refresh() { c.refreshDue = true }

// nonce returns the nonce of the next OpOpen.
func (c *Client) nonce() string { return c.incarnation + "/" + strconv.Itoa(c.openCount) }

// retryInterval returns the time after which a request without a response is sent again.
func (c *Client) retryInterval() time.Duration { return c.timing.KeepAliveInterval() / 2 }
