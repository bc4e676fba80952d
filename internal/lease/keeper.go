package lease

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Request is what a process asks the council for its session: to renew it, or to carry out a command.
type Request struct {
	ID           uint64   `json:"id"` // of this asking; the answer bears it
	Member       string   `json:"member"`
	SessionID    uint64   `json:"session,omitempty"`
	KnownVersion uint64   `json:"have,omitempty"` // Renew: the version of the listing that the asker has
	Command      *Command `json:"command,omitempty"`
}

// Response is the council's.
type Response struct {
	ID       uint64    `json:"id"`
	Refusal  Refusal   `json:"why,omitempty"`  // of a renewal that was refused
	LastID   uint64    `json:"last,omitempty"` // of a renewal without a session: Command.After of the next Open
	Result   *Result   `json:"result,omitempty"`
	Holdings *Holdings `json:"listing,omitempty"` // of a renewal, if it differs from what the asker has
}

// Client is a process' own side: it decides what to ask next, and until when the process may act. Its times are of the process'
// monotonic clock.
type Client struct {
	timing      Timing
	member      string
	incarnation string // nonce of the process' start

	sessionID       uint64
	openCount       int    // how often a session was opened: each has another nonce
	knownLastID     uint64 // for the next Open
	lastIDKnown     bool   // after is known
	lastSeq         uint64
	validUntil      time.Duration // the session may be relied on until then
	holdingsVersion uint64
	tokens          map[string]uint64
	wanted          map[string]wantedLease
	acquireQueue    []string // wanted names that are to be asked for; one may be there twice
	revision        uint64
	releasing       map[string]string // names that are to be given up, and to whom; empty: to whoever waits
	reacquire       map[string]int    // of those the ones that are wanted again then, and their limits
	closing         bool
	superseded      bool // another process has the name
	lastRequestID   uint64
	inFlight        map[uint64]sentRequest
	keepAliveAt     time.Duration
	refreshDue      bool // what the session holds has changed in a way that was not told
	pending         map[string]*pendingCommand
}

type wantedLease struct {
	limit      int
	registered bool // the council knows
}

// sentRequest is an ask that was sent.
type sentRequest struct {
	sentAt    time.Duration
	leaseName string // of the command; empty: a renewal
	isOpen    bool
}

// pendingCommand is one that is being asked, until it has its answer.
type pendingCommand struct {
	Command
	retryAt time.Duration // when it is asked again
}

const (
	// maxInFlight bounds the asks that are remembered: an answer to an older one is not used.
	maxInFlight = 64
	// openKey and closeName stand for commands that concern no lease; no lease has these names.
	openKey, closeKey = "\x00open", "\x00close"
)

// NewClient returns that of a process without a session. start differs at each start of any process.
func NewClient(r Timing, member, start string) *Client {
	return &Client{
		timing: r, member: member, incarnation: start, validUntil: -1, tokens: map[string]uint64{}, wanted: map[string]wantedLease{}, releasing: map[string]string{}, reacquire: map[string]int{},
		inFlight: map[uint64]sentRequest{}, pending: map[string]*pendingCommand{},
	}
}

// Acquire has the process hold name, of which limit may be held at once, or wait for it.
func (k *Client) Acquire(name string, limit int) {
	if _, had := k.wanted[name]; !had {
		k.wanted[name] = wantedLease{limit: limit}
		k.acquireQueue = append(k.acquireQueue, name)
		delete(k.releasing, name)
		k.revision++
	}
}

// Revision counts what may have changed Held beside the time.
func (k *Client) Revision() uint64 { return k.revision }

// ValidUntil is until when the session may be relied on, with all that it holds.
func (k *Client) ValidUntil() time.Duration { return k.validUntil }

// Release gives up name, to the member named to or, if that is empty, to whoever waits. From now on the process may not act on it: what
// it does about it must have ended.
func (k *Client) Release(name, to string) {
	if _, had := k.wanted[name]; had {
		delete(k.wanted, name)
		k.releasing[name] = to
		k.revision++
	}
}

// Transfer gives name up to the member named to, and waits for it again behind all others. What the process does about it must have ended.
func (k *Client) Transfer(name, to string) {
	w, had := k.wanted[name]
	if !had || k.tokens[name] == 0 {
		return
	}
	k.Release(name, to)
	k.reacquire[name] = w.limit
}

// Close gives up all at once and for good. What the process does about its leases must have ended.
func (k *Client) Close() {
	k.closing = true
	k.revision++
	clear(k.tokens)
}

// Closed reports whether nothing is left to give up.
func (k *Client) Closed() bool { return k.closing && k.sessionID == 0 }

// Superseded reports whether another process has this one's name: it gets no session any more.
func (k *Client) Superseded() bool { return k.superseded }

// Incarnation is the nonce of the process' start: its incarnation.
func (k *Client) Incarnation() string { return k.incarnation }

// SessionID is the number of the present session, 0 without one.
func (k *Client) SessionID() uint64 { return k.sessionID }

// Token says whether the process may act on name now, with which fencing token, and until when.
func (k *Client) Token(now time.Duration, name string) (token uint64, until time.Duration, ok bool) {
	token = k.tokens[name]
	if _, wanted := k.wanted[name]; token == 0 || !wanted || k.closing || now >= k.validUntil {
		return 0, 0, false
	}
	return token, k.validUntil, true
}

// Held are the names that the process may act on now.
func (k *Client) Held(now time.Duration) []string {
	if now >= k.validUntil || k.closing {
		return nil
	}
	return slices.Sorted(maps.Keys(k.tokens))
}

// retryInterval is how long an answer is waited for.
func (k *Client) retryInterval() time.Duration { return k.timing.KeepAliveInterval() / 2 }

// Next returns what to ask now, and when to look again at the latest.
func (k *Client) Next(now time.Duration) (asks []Request, at time.Duration) {
	if k.superseded || k.Closed() {
		return nil, now + k.timing.TTL
	}
	switch {
	case k.sessionID == 0 && !k.lastIDKnown:
		// A look at the council first: Command.After is what tells a late copy of Open from a new one.
		if now >= k.keepAliveAt {
			asks = append(asks, k.newRequest(now, sentRequest{}, Request{}))
			k.keepAliveAt = now + k.retryInterval()
		}
		return asks, k.keepAliveAt
	case k.sessionID == 0:
		k.enqueue(openKey, Command{Op: OpOpen, Nonce: k.nonce(), KnownLastID: k.knownLastID})
	case k.closing:
		clear(k.pending) // no other is of use any more
		k.enqueue(closeKey, Command{Op: OpClose})
	default:
		for len(k.acquireQueue) > 0 {
			name := k.acquireQueue[0]
			if w, wanted := k.wanted[name]; wanted && !w.registered && k.pending[name] == nil &&
				!k.enqueue(name, Command{Op: OpAcquire, Name: name, Limit: w.limit, Wait: true}) {
				break // as much is out as may be
			}
			k.acquireQueue = k.acquireQueue[1:] // one that is being asked comes back with its answer
		}
		for _, name := range slices.Sorted(maps.Keys(k.releasing)) {
			to := k.releasing[name]
			if c := k.pending[name]; c != nil && c.Op == OpAcquire {
				continue // its answer first: a release that overtakes it would leave the lease behind
			}
			op := OpRelease
			if to != "" && k.tokens[name] != 0 {
				op = OpTransfer
			}
			k.enqueue(name, Command{Op: op, Name: name, To: to, Token: k.tokens[name]})
		}
		if k.refreshDue || now >= k.keepAliveAt {
			k.refreshDue = false
			k.keepAliveAt = now + k.retryInterval()
			asks = append(asks, k.newRequest(now, sentRequest{}, Request{KnownVersion: k.holdingsVersion}))
		}
	}
	at = k.keepAliveAt
	if k.sessionID == 0 || k.closing {
		at = now + k.retryInterval()
	}
	names := slices.SortedFunc(maps.Keys(k.pending), func(a, b string) int {
		return int(int64(k.pending[a].Seq - k.pending[b].Seq))
	})
	for _, name := range names {
		c := k.pending[name]
		if now >= c.retryAt {
			c.retryAt = now + k.retryInterval()
			copied := c.Command
			asks = append(asks, k.newRequest(now, sentRequest{leaseName: name, isOpen: c.Op == OpOpen}, Request{Command: &copied}))
		}
		at = min(at, c.retryAt)
	}
	return asks, at
}

func (k *Client) nonce() string { return k.incarnation + "/" + strconv.Itoa(k.openCount) }

// enqueue begins to ask a command, unless one is being asked for that name, whose answer has to come first. The council forgets
// answers by number, so that the oldest that is out bounds the newest.
func (k *Client) enqueue(name string, c Command) bool {
	if k.pending[name] != nil {
		return false
	}
	for _, out := range k.pending {
		if out.Op != OpOpen && k.lastSeq+1 >= out.Seq+resultsKept/2 {
			return false
		}
	}
	if c.Op == OpRelease || c.Op == OpTransfer {
		delete(k.tokens, name) // nothing is done about it once this is asked, whatever the answer
	}
	c.Member, c.SessionID = k.member, k.sessionID
	if c.Op != OpOpen {
		k.lastSeq++
		c.Seq = k.lastSeq
	}
	k.pending[name] = &pendingCommand{Command: c}
	k.revision++
	return true
}

func (k *Client) newRequest(now time.Duration, what sentRequest, a Request) Request {
	k.lastRequestID++
	what.sentAt = now
	k.inFlight[k.lastRequestID] = what
	delete(k.inFlight, k.lastRequestID-maxInFlight)
	a.ID, a.Member, a.SessionID = k.lastRequestID, k.member, k.sessionID
	return a
}

// HandleResponse takes an answer. One that nobody waits for any more is not used.
func (k *Client) HandleResponse(a Response) {
	what, known := k.inFlight[a.ID]
	if !known {
		return
	}
	delete(k.inFlight, a.ID)
	switch {
	case what.leaseName == "":
		k.handleKeepAlive(what.sentAt, a)
	case a.Result != nil:
		k.handleResult(what, *a.Result)
	}
}

func (k *Client) handleKeepAlive(askedAt time.Duration, a Response) {
	if k.sessionID == 0 {
		if a.Refusal == RefusedNoSession {
			k.knownLastID, k.lastIDKnown = a.LastID, true
		}
		return
	}
	switch a.Refusal {
	case "":
	case RefusedNoSession, RefusedSuperseded:
		k.loseSession(a.Refusal)
		return
	default:
		return
	}
	// From before it was asked, not from when the answer came: the council may have reckoned from just after it was sent.
	k.validUntil = max(k.validUntil, askedAt+k.timing.ClientTTL())
	k.keepAliveAt = max(k.keepAliveAt, askedAt+k.timing.KeepAliveInterval())
	if a.Holdings != nil && a.Holdings.Version >= k.holdingsVersion {
		k.applyHoldings(*a.Holdings)
	}
}

// applyHoldings takes over what the session holds.
func (k *Client) applyHoldings(l Holdings) {
	k.holdingsVersion = l.Version
	k.tokens = nonNilMap(maps.Clone(l.Tokens))
	k.revision++
	for _, name := range slices.Sorted(maps.Keys(k.wanted)) {
		if w := k.wanted[name]; w.registered && k.tokens[name] == 0 {
			// Either it still waits, or the lease was revoked: asking again tells.
			k.wanted[name] = wantedLease{limit: w.limit}
			k.acquireQueue = append(k.acquireQueue, name)
		}
	}
	for name, c := range k.pending {
		if c.Op == OpRelease || c.Op == OpTransfer {
			delete(k.tokens, name)
		}
	}
	for name := range k.tokens {
		if w, wanted := k.wanted[name]; wanted {
			k.wanted[name] = wantedLease{limit: w.limit, registered: true}
		} else if _, passing := k.releasing[name]; !passing {
			k.releasing[name] = ""
		}
	}
}

// loseSession gives up a session that can't be renewed.
func (k *Client) loseSession(why Refusal) {
	k.sessionID, k.holdingsVersion, k.validUntil, k.lastSeq = 0, 0, -1, 0
	k.lastIDKnown, k.keepAliveAt = false, 0
	k.openCount++
	clear(k.tokens)
	clear(k.pending)
	clear(k.inFlight) // what is still to come concerns the old one
	clear(k.releasing)
	for name, limit := range k.reacquire {
		k.wanted[name] = wantedLease{limit: limit}
	}
	clear(k.reacquire)
	k.acquireQueue = slices.Sorted(maps.Keys(k.wanted))
	for _, name := range k.acquireQueue {
		k.wanted[name] = wantedLease{limit: k.wanted[name].limit}
	}
	k.revision++
	k.superseded = why == RefusedSuperseded
}

// handleResult takes the result of a command.
func (k *Client) handleResult(what sentRequest, r Result) {
	c := k.pending[what.leaseName]
	if c == nil || what.isOpen != (c.Op == OpOpen) {
		return
	}
	delete(k.pending, what.leaseName)
	k.revision++
	defer func() {
		if w, wanted := k.wanted[c.Name]; wanted && !w.registered {
			k.acquireQueue = append(k.acquireQueue, c.Name)
		}
	}()
	switch r.Refusal {
	case RefusedNoSession, RefusedSuperseded:
		k.loseSession(r.Refusal)
		return
	}
	switch c.Op {
	case OpOpen:
		if r.Refusal != "" { // a newer session has the name: a look tells whose
			k.lastIDKnown = false
			k.openCount++
			return
		}
		k.sessionID, k.holdingsVersion, k.lastSeq = r.SessionID, r.Version, 0
		k.refreshDue = true
		return
	case OpClose:
		k.sessionID = 0
		return
	case OpAcquire:
		if w, wanted := k.wanted[c.Name]; wanted {
			k.wanted[c.Name] = wantedLease{limit: w.limit, registered: r.Refusal == "" || r.Refusal == RefusedLimitMismatch || r.Refusal == RefusedLimitReached}
		}
	case OpRelease, OpTransfer:
		if c.Op == OpTransfer && r.Refusal == RefusedUnknownMember {
			k.releasing[c.Name] = "" // then to whoever waits
			break
		}
		delete(k.releasing, c.Name)
		if limit, wanted := k.reacquire[c.Name]; wanted {
			delete(k.reacquire, c.Name)
			k.Acquire(c.Name, limit)
		}
	}
	if r.Version == k.holdingsVersion {
		return
	}
	if r.PreviousVersion != k.holdingsVersion {
		// Something has changed besides: only a whole listing tells what.
		k.refreshDue = true
		return
	}
	k.holdingsVersion = r.Version
	if c.Op == OpAcquire && r.Token != 0 {
		k.tokens[c.Name] = r.Token
	} else {
		delete(k.tokens, c.Name)
	}
}

// Refresh has the next look renew at once: the council says that something has changed.
func (k *Client) Refresh() { k.refreshDue = true }
