package lease

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Ask is what a process asks the council for its session: to renew it, or to carry out a command.
type Ask struct {
	ID      uint64   `json:"id"` // of this asking; the answer bears it
	Member  string   `json:"member"`
	Session uint64   `json:"session,omitempty"`
	Have    uint64   `json:"have,omitempty"` // Renew: the version of the listing that the asker has
	Command *Command `json:"command,omitempty"`
}

// Answer is the council's.
type Answer struct {
	ID      uint64   `json:"id"`
	Why     Why      `json:"why,omitempty"`  // of a renewal that was refused
	Last    uint64   `json:"last,omitempty"` // of a renewal without a session: Command.After of the next Open
	Result  *Result  `json:"result,omitempty"`
	Listing *Listing `json:"listing,omitempty"` // of a renewal, if it differs from what the asker has
}

// Keeper is a process' own side: it decides what to ask next, and until when the process may act. Its times are of the process'
// monotonic clock.
type Keeper struct {
	rules  Rules
	member string
	start  string // nonce of the process' start

	session  uint64
	opened   int    // how often a session was opened: each has another nonce
	after    uint64 // for the next Open
	looked   bool   // after is known
	seq      uint64
	until    time.Duration // the session may be relied on until then
	version  uint64
	holds    map[string]uint64
	wants    map[string]want
	queue    []string // wanted names that are to be asked for; one may be there twice
	changes  uint64
	passing  map[string]string // names that are to be given up, and to whom; empty: to whoever waits
	again    map[string]int    // of those the ones that are wanted again then, and their limits
	closing  bool
	gone     bool // another process has the name
	lastID   uint64
	sent     map[uint64]asked
	renewAt  time.Duration
	stale    bool // what the session holds has changed in a way that was not told
	commands map[string]*command
}

type want struct {
	limit  int
	placed bool // the council knows
}

// asked is an ask that was sent.
type asked struct {
	at   time.Duration
	name string // of the command; empty: a renewal
	open bool
}

// command is one that is being asked, until it has its answer.
type command struct {
	Command
	next time.Duration // when it is asked again
}

const (
	// mostAsked bounds the asks that are remembered: an answer to an older one is not used.
	mostAsked = 64
	// openName and closeName stand for commands that concern no lease; no lease has these names.
	openName, closeName = "\x00open", "\x00close"
)

// NewKeeper returns that of a process without a session. start differs at each start of any process.
func NewKeeper(r Rules, member, start string) *Keeper {
	return &Keeper{
		rules: r, member: member, start: start, until: -1, holds: map[string]uint64{}, wants: map[string]want{}, passing: map[string]string{}, again: map[string]int{},
		sent: map[uint64]asked{}, commands: map[string]*command{},
	}
}

// Want has the process hold name, of which limit may be held at once, or wait for it.
func (k *Keeper) Want(name string, limit int) {
	if _, had := k.wants[name]; !had {
		k.wants[name] = want{limit: limit}
		k.queue = append(k.queue, name)
		delete(k.passing, name)
		k.changes++
	}
}

// Changes counts what may have changed Held beside the time.
func (k *Keeper) Changes() uint64 { return k.changes }

// Until is until when the session may be relied on, with all that it holds.
func (k *Keeper) Until() time.Duration { return k.until }

// Unwant gives up name, to the member named to or, if that is empty, to whoever waits. From now on the process may not act on it: what
// it does about it must have ended.
func (k *Keeper) Unwant(name, to string) {
	if _, had := k.wants[name]; had {
		delete(k.wants, name)
		k.passing[name] = to
		k.changes++
	}
}

// Handover gives name up to the member named to, and waits for it again behind all others. What the process does about it must have ended.
func (k *Keeper) Handover(name, to string) {
	w, had := k.wants[name]
	if !had || k.holds[name] == 0 {
		return
	}
	k.Unwant(name, to)
	k.again[name] = w.limit
}

// Close gives up all at once and for good. What the process does about its leases must have ended.
func (k *Keeper) Close() {
	k.closing = true
	k.changes++
	clear(k.holds)
}

// Closed reports whether nothing is left to give up.
func (k *Keeper) Closed() bool { return k.closing && k.session == 0 }

// Gone reports whether another process has this one's name: it gets no session any more.
func (k *Keeper) Gone() bool { return k.gone }

// Start is the nonce of the process' start: its incarnation.
func (k *Keeper) Start() string { return k.start }

// Session is the number of the present session, 0 without one.
func (k *Keeper) Session() uint64 { return k.session }

// Holding says whether the process may act on name now, with which fencing token, and until when.
func (k *Keeper) Holding(now time.Duration, name string) (token uint64, until time.Duration, ok bool) {
	token = k.holds[name]
	if _, wanted := k.wants[name]; token == 0 || !wanted || k.closing || now >= k.until {
		return 0, 0, false
	}
	return token, k.until, true
}

// Held are the names that the process may act on now.
func (k *Keeper) Held(now time.Duration) []string {
	if now >= k.until || k.closing {
		return nil
	}
	return slices.Sorted(maps.Keys(k.holds))
}

// retry is how long an answer is waited for.
func (k *Keeper) retry() time.Duration { return k.rules.RenewEvery() / 2 }

// Next returns what to ask now, and when to look again at the latest.
func (k *Keeper) Next(now time.Duration) (asks []Ask, at time.Duration) {
	if k.gone || k.Closed() {
		return nil, now + k.rules.Term
	}
	switch {
	case k.session == 0 && !k.looked:
		// A look at the council first: Command.After is what tells a late copy of Open from a new one.
		if now >= k.renewAt {
			asks = append(asks, k.ask(now, asked{}, Ask{}))
			k.renewAt = now + k.retry()
		}
		return asks, k.renewAt
	case k.session == 0:
		k.demand(openName, Command{Op: Open, Nonce: k.nonce(), After: k.after})
	case k.closing:
		clear(k.commands) // no other is of use any more
		k.demand(closeName, Command{Op: Close})
	default:
		for len(k.queue) > 0 {
			name := k.queue[0]
			if w, wanted := k.wants[name]; wanted && !w.placed && k.commands[name] == nil &&
				!k.demand(name, Command{Op: Acquire, Name: name, Limit: w.limit, Wait: true}) {
				break // as much is out as may be
			}
			k.queue = k.queue[1:] // one that is being asked comes back with its answer
		}
		for _, name := range slices.Sorted(maps.Keys(k.passing)) {
			to := k.passing[name]
			if c := k.commands[name]; c != nil && c.Op == Acquire {
				continue // its answer first: a release that overtakes it would leave the lease behind
			}
			op := Release
			if to != "" && k.holds[name] != 0 {
				op = Pass
			}
			k.demand(name, Command{Op: op, Name: name, To: to, Token: k.holds[name]})
		}
		if k.stale || now >= k.renewAt {
			k.stale = false
			k.renewAt = now + k.retry()
			asks = append(asks, k.ask(now, asked{}, Ask{Have: k.version}))
		}
	}
	at = k.renewAt
	if k.session == 0 || k.closing {
		at = now + k.retry()
	}
	names := slices.SortedFunc(maps.Keys(k.commands), func(a, b string) int {
		return int(int64(k.commands[a].Seq - k.commands[b].Seq))
	})
	for _, name := range names {
		c := k.commands[name]
		if now >= c.next {
			c.next = now + k.retry()
			copied := c.Command
			asks = append(asks, k.ask(now, asked{name: name, open: c.Op == Open}, Ask{Command: &copied}))
		}
		at = min(at, c.next)
	}
	return asks, at
}

func (k *Keeper) nonce() string { return k.start + "/" + strconv.Itoa(k.opened) }

// demand begins to ask a command, unless one is being asked for that name, whose answer has to come first. The council forgets
// answers by number, so that the oldest that is out bounds the newest.
func (k *Keeper) demand(name string, c Command) bool {
	if k.commands[name] != nil {
		return false
	}
	for _, out := range k.commands {
		if out.Op != Open && k.seq+1 >= out.Seq+answersKept/2 {
			return false
		}
	}
	if c.Op == Release || c.Op == Pass {
		delete(k.holds, name) // nothing is done about it once this is asked, whatever the answer
	}
	c.Member, c.Session = k.member, k.session
	if c.Op != Open {
		k.seq++
		c.Seq = k.seq
	}
	k.commands[name] = &command{Command: c}
	k.changes++
	return true
}

func (k *Keeper) ask(now time.Duration, what asked, a Ask) Ask {
	k.lastID++
	what.at = now
	k.sent[k.lastID] = what
	delete(k.sent, k.lastID-mostAsked)
	a.ID, a.Member, a.Session = k.lastID, k.member, k.session
	return a
}

// Answered takes an answer. One that nobody waits for any more is not used.
func (k *Keeper) Answered(now time.Duration, a Answer) {
	what, known := k.sent[a.ID]
	if !known {
		return
	}
	delete(k.sent, a.ID)
	switch {
	case what.name == "":
		k.renewed(now, what.at, a)
	case a.Result != nil:
		k.done(what, *a.Result)
	}
}

func (k *Keeper) renewed(now, askedAt time.Duration, a Answer) {
	if k.session == 0 {
		if a.Why == NoSession {
			k.after, k.looked = a.Last, true
		}
		return
	}
	switch a.Why {
	case "":
	case NoSession, Superseded:
		k.lost(a.Why)
		return
	default:
		return
	}
	// From before it was asked, not from when the answer came: the council may have reckoned from just after it was sent.
	k.until = max(k.until, askedAt+k.rules.Budget())
	k.renewAt = max(k.renewAt, askedAt+k.rules.RenewEvery())
	if a.Listing != nil && a.Listing.Version >= k.version {
		k.list(*a.Listing)
	}
}

// list takes over what the session holds.
func (k *Keeper) list(l Listing) {
	k.version = l.Version
	k.holds = made(maps.Clone(l.Holds))
	k.changes++
	for _, name := range slices.Sorted(maps.Keys(k.wants)) {
		if w := k.wants[name]; w.placed && k.holds[name] == 0 {
			// Either it still waits, or the lease was revoked: asking again tells.
			k.wants[name] = want{limit: w.limit}
			k.queue = append(k.queue, name)
		}
	}
	for name, c := range k.commands {
		if c.Op == Release || c.Op == Pass {
			delete(k.holds, name)
		}
	}
	for name := range k.holds {
		if w, wanted := k.wants[name]; wanted {
			k.wants[name] = want{limit: w.limit, placed: true}
		} else if _, passing := k.passing[name]; !passing {
			k.passing[name] = ""
		}
	}
}

// lost gives up a session that can't be renewed.
func (k *Keeper) lost(why Why) {
	k.session, k.version, k.until, k.seq = 0, 0, -1, 0
	k.looked, k.renewAt = false, 0
	k.opened++
	clear(k.holds)
	clear(k.commands)
	clear(k.sent) // what is still to come concerns the old one
	clear(k.passing)
	for name, limit := range k.again {
		k.wants[name] = want{limit: limit}
	}
	clear(k.again)
	k.queue = slices.Sorted(maps.Keys(k.wants))
	for _, name := range k.queue {
		k.wants[name] = want{limit: k.wants[name].limit}
	}
	k.changes++
	k.gone = why == Superseded
}

// done takes the result of a command.
func (k *Keeper) done(what asked, r Result) {
	c := k.commands[what.name]
	if c == nil || what.open != (c.Op == Open) {
		return
	}
	delete(k.commands, what.name)
	k.changes++
	defer func() {
		if w, wanted := k.wants[c.Name]; wanted && !w.placed {
			k.queue = append(k.queue, c.Name)
		}
	}()
	switch r.Why {
	case NoSession, Superseded:
		k.lost(r.Why)
		return
	}
	switch c.Op {
	case Open:
		if r.Why != "" { // a newer session has the name: a look tells whose
			k.looked = false
			k.opened++
			return
		}
		k.session, k.version, k.seq = r.Session, r.Version, 0
		k.stale = true
		return
	case Close:
		k.session = 0
		return
	case Acquire:
		if w, wanted := k.wants[c.Name]; wanted {
			k.wants[c.Name] = want{limit: w.limit, placed: r.Why == "" || r.Why == OtherLimit || r.Why == Full}
		}
	case Release, Pass:
		if c.Op == Pass && r.Why == NoMember {
			k.passing[c.Name] = "" // then to whoever waits
			break
		}
		delete(k.passing, c.Name)
		if limit, wanted := k.again[c.Name]; wanted {
			delete(k.again, c.Name)
			k.Want(c.Name, limit)
		}
	}
	if r.Version == k.version {
		return
	}
	if r.Before != k.version {
		// Something has changed besides: only a whole listing tells what.
		k.stale = true
		return
	}
	k.version = r.Version
	if c.Op == Acquire && r.Token != 0 {
		k.holds[c.Name] = r.Token
	} else {
		delete(k.holds, c.Name)
	}
}

// Wake has the next look renew at once: the council says that something has changed.
func (k *Keeper) Wake() { k.stale = true }
