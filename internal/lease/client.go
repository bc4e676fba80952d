package lease

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Client is a process's side of its session: it decides what to send to the leader, and until when the process may act on its leases.
// Its times are of the process's monotonic clock. The caller sends what [Client.Next] returns, and hands the answers to
// [Client.HandleResponse]. It is not safe for concurrent use.
//
// Invariants: validUntil is never later than ClientTTL after a keepalive was sent that succeeded, so that a process that was paused may
// not act once it runs again; a lease that is being released is not in tokens from the moment its release is sent.
type Client struct {
	timing      Timing
	member      string
	incarnation string

	// The session. openCount makes the nonce of each opening differ.
	sessionID     uint64 // 0: none
	openCount     int
	knownLastID   uint64
	lastIDKnown   bool // knownLastID may be used for the next OpOpen
	validUntil    time.Duration
	keepAliveAt   time.Duration
	refreshDue    bool // the holdings have changed in a way that the client does not know yet
	closing       bool
	superseded    bool
	lastSeq       uint64
	lastRequestID uint64

	// The leases of the session, as of holdingsVersion.
	holdingsVersion uint64
	tokens          map[string]uint64
	revision        uint64

	// What the process wants: leases to hold, those to ask for (a name may be queued twice), those to give up and to whom (empty: to its
	// queue), and those to ask for again after that, with their limits.
	wanted       map[string]wantedLease
	acquireQueue []string
	releasing    map[string]string
	reacquire    map[string]int

	// What is on its way: requests by ID, and commands by lease name, openKey or closeKey.
	inFlight map[uint64]sentRequest
	pending  map[string]*pendingCommand
}

type wantedLease struct {
	limit      int
	registered bool // the leader has answered: asking again changes nothing before the holdings change
}

// NewClient returns the client of a process without a session. incarnation must differ at each start of any process.
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

// Acquire has the process hold the lease name, or wait for it. limit is how many sessions may hold it at once.
func (c *Client) Acquire(name string, limit int) {
	if _, wanted := c.wanted[name]; wanted {
		return
	}
	c.wanted[name] = wantedLease{limit: limit}
	c.acquireQueue = append(c.acquireQueue, name)
	delete(c.releasing, name)
	c.revision++
}

// Release gives up the lease name, to the member to or, if that is empty, to its queue. The process must have stopped acting on it.
func (c *Client) Release(name, to string) {
	if _, wanted := c.wanted[name]; !wanted {
		return
	}
	delete(c.wanted, name)
	c.releasing[name] = to
	c.revision++
}

// Transfer gives a lease that is held to the member to, and waits for it again at the end of its queue. The process must have stopped
// acting on it.
func (c *Client) Transfer(name, to string) {
	w, wanted := c.wanted[name]
	if !wanted || c.tokens[name] == 0 {
		return
	}
	c.Release(name, to)
	c.reacquire[name] = w.limit
}

// Close gives up the session and all its leases for good. The process must have stopped acting on them.
func (c *Client) Close() {
	c.closing = true
	c.revision++
	clear(c.tokens)
}

// Closed reports whether Close has taken effect at the leader, or there was no session to give up.
func (c *Client) Closed() bool { return c.closing && c.sessionID == 0 }

// Superseded reports whether another process has this one's name. Such a client gets no session any more.
func (c *Client) Superseded() bool { return c.superseded }

// Incarnation is the value that tells this start of the process from others.
func (c *Client) Incarnation() string { return c.incarnation }

// SessionID is the ID of the session, 0 without one.
func (c *Client) SessionID() uint64 { return c.sessionID }

// ValidUntil is the time until which the process may act on the leases that it holds; below 0 without a session.
func (c *Client) ValidUntil() time.Duration { return c.validUntil }

// Revision grows with each change of what Held may return, except those that come by the passing of time.
func (c *Client) Revision() uint64 { return c.revision }

// Token returns the fencing token of a lease and the time until which the process may act on it. ok is false if it may not act now.
func (c *Client) Token(now time.Duration, name string) (token uint64, until time.Duration, ok bool) {
	token = c.tokens[name]
	if _, wanted := c.wanted[name]; token == 0 || !wanted || c.closing || now >= c.validUntil {
		return 0, 0, false
	}
	return token, c.validUntil, true
}

// Held returns, sorted, the names of the leases of the session, none once the process may no longer act.
func (c *Client) Held(now time.Duration) []string {
	if now >= c.validUntil || c.closing {
		return nil
	}
	return slices.Sorted(maps.Keys(c.tokens))
}

// Refresh has the next call of Next send a keepalive: the leader says that the holdings have changed.
func (c *Client) Refresh() { c.refreshDue = true }

// nonce identifies the next opening of a session.
func (c *Client) nonce() string { return c.incarnation + "/" + strconv.Itoa(c.openCount) }

// retryInterval is the time after which a request without an answer is sent again.
func (c *Client) retryInterval() time.Duration { return c.timing.KeepAliveInterval() / 2 }
