// Package lease decides who may act: the state that a council replicates (sessions, leases, who waits), when the council's leader
// takes a session for ended, and until when a holder may act. It has no I/O and no clock: events and the time of the caller's own
// monotonic clock go in, decisions come out.
//
// Why two never hold one lease at once (docs/design/lease.md has the proof in full): a holder reckons from before it asked and for
// Rules.Budget, the council from after it has confirmed that it is still the council, and for Rules.Term; a new leader lets
// every session live a whole term more; and Budget is so much shorter than Term that two clocks apart by the stated drift can't turn
// the one into the other.
package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Bounds of what the state holds. What goes beyond is refused and changes nothing.
const (
	MostSessions = 8192
	MostNames    = 65536
	MostWaiters  = 2048 // of one name
	MostHolders  = 1024 // of one name
	MostNameLen  = 128
	// answersKept is how many answers of a session are kept, so that what is asked again has the same answer. What has none and
	// is older is refused: its answer may have been forgotten. A session has half as many out at most.
	answersKept = 128
)

// Op is what a command asks.
type Op string

const (
	Open    Op = "open"    // a session of a member, by the nonce of its start
	Acquire Op = "acquire" // a lease, or a place among those that wait for it
	Release Op = "release" // a lease, or the place
	Pass    Op = "pass"    // a lease to the member named To, before all that wait
	Close   Op = "close"   // the session, and with it all that it has
	Expire  Op = "expire"  // the same, by the council's leader
	Revoke  Op = "revoke"  // a lease, by an operator: it can't be renewed, and is free once its holder has surely stopped
	Free    Op = "free"    // a revoked lease whose holder has surely stopped, by the council's leader
)

// Command changes the state. It comes out of the council's log.
type Command struct {
	Op      Op     `json:"op"`
	Member  string `json:"member,omitempty"`
	Nonce   string `json:"nonce,omitempty"` // Open: of the process' start, and how often it has opened one
	After   uint64 `json:"after,omitempty"` // Open: the largest number that the council had given when the asker looked
	Session uint64 `json:"session,omitempty"`
	Seq     uint64 `json:"seq,omitempty"` // of the session, above 0; asked again it keeps its number
	Name    string `json:"name,omitempty"`
	Limit   int    `json:"limit,omitempty"` // Acquire: how many may hold it at once
	Wait    bool   `json:"wait,omitempty"`
	To      string `json:"to,omitempty"`
	Token   uint64 `json:"token,omitempty"`
}

// Why says why a command was refused.
type Why string

const (
	NoSession  Why = "no such session"              // it has ended, or another process of that name has taken its place
	Superseded Why = "another process has the name" // the older of two processes with one name
	Full       Why = "no room"
	Taken      Why = "held by others"
	OtherLimit Why = "in use with another limit"
	NotHeld    Why = "not held by this session"
	NoMember   Why = "no such member"
	Forgotten  Why = "asked too long ago"
	Malformed  Why = "malformed"
)

// Result is what became of a command. Asked again, a command has the same one.
type Result struct {
	Why     Why    `json:"why,omitempty"` // empty: it was done
	Session uint64 `json:"session,omitempty"`
	Token   uint64 `json:"token,omitempty"`   // of the lease that is now held; 0: it waits
	Place   int    `json:"place,omitempty"`   // among those that wait, from 1
	Version uint64 `json:"version,omitempty"` // of what the session holds, after the command
	Before  uint64 `json:"before,omitempty"`  // before it
}

// Hold is one holder of a lease.
type Hold struct {
	Session uint64 `json:"session"`
	Token   uint64 `json:"token"` // fencing token: larger than all that were given before, whatever their name
	Revoked bool   `json:"revoked,omitempty"`
}

// Entry is a lease that somebody holds or waits for.
type Entry struct {
	Limit   int      `json:"limit"`
	Holders []Hold   `json:"holders,omitempty"`
	Waiters []uint64 `json:"waiters,omitempty"` // sessions, in the order in which they are served
}

// Session is one start of one member.
type Session struct {
	Member     string            `json:"member"`
	Nonce      string            `json:"nonce"`
	Superseded bool              `json:"superseded,omitempty"`
	Version    uint64            `json:"version"` // grows with each change of what it holds
	Seq        uint64            `json:"seq"`     // the largest that was applied
	Answers    map[uint64]Result `json:"answers,omitempty"`
	Holds      map[string]uint64 `json:"holds,omitempty"` // tokens by name; without the revoked
	Waits      map[string]bool   `json:"waits,omitempty"`
}

// Machine is the replicated state: equal commands in equal order make equal machines.
type Machine struct {
	Last     uint64              `json:"last"` // the largest number given, of sessions, tokens and versions
	Sessions map[uint64]*Session `json:"sessions"`
	Names    map[string]*Entry   `json:"names"`
	Revoked  map[uint64]string   `json:"revoked"` // names by the tokens that were revoked and are not free yet

	// changed are members whose holdings have changed without their asking, since Changed was last called. No part of the state.
	changed map[string]bool
}

// Changed returns the members whose leases have changed since it was last called, in order: they want to hear of it soon.
func (m *Machine) Changed() []string {
	all := slices.Sorted(maps.Keys(m.changed))
	m.changed = nil
	return all
}

func (m *Machine) touch(s *Session) {
	if m.changed == nil {
		m.changed = map[string]bool{}
	}
	m.changed[s.Member] = true
}

// NewMachine returns one without sessions.
func NewMachine() *Machine {
	return &Machine{Sessions: map[uint64]*Session{}, Names: map[string]*Entry{}, Revoked: map[uint64]string{}}
}

// Restore reads what Snapshot wrote.
func Restore(data []byte) (*Machine, error) {
	m := NewMachine()
	if err := json.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("lease: snapshot: %w", err)
	}
	return m, m.whole()
}

// whole says what of a state that was read can't be: all that Apply takes for granted.
func (m *Machine) whole() error {
	if m.Sessions == nil || m.Names == nil || m.Revoked == nil {
		return errors.New("lease: snapshot: sessions, names or revocations are missing")
	}
	for id, s := range m.Sessions {
		if s == nil || id > m.Last || s.Answers == nil && s.Seq > 0 {
			return fmt.Errorf("lease: snapshot: session %d is not whole", id)
		}
		s.Answers, s.Holds, s.Waits = made(s.Answers), made(s.Holds), made(s.Waits)
		for name, token := range s.Holds {
			if e := m.Names[name]; e == nil || !slices.ContainsFunc(e.Holders, func(h Hold) bool { return h.Token == token && h.Session == id }) {
				return fmt.Errorf("lease: snapshot: session %d holds %q, which does not know of it", id, name)
			}
		}
	}
	for name, e := range m.Names {
		if e == nil {
			return fmt.Errorf("lease: snapshot: name %q is not whole", name)
		}
		for _, h := range e.Holders {
			if m.Sessions[h.Session] == nil || h.Token > m.Last || h.Revoked != (m.Revoked[h.Token] == name) {
				return fmt.Errorf("lease: snapshot: a holder of %q is not whole", name)
			}
		}
		for _, w := range e.Waiters {
			if m.Sessions[w] == nil || !m.Sessions[w].Waits[name] {
				return fmt.Errorf("lease: snapshot: one that waits for %q is not whole", name)
			}
		}
	}
	return nil
}

func made[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}

// Snapshot writes the whole state; equal states are equal bytes.
func (m *Machine) Snapshot() ([]byte, error) { return json.Marshal(m) }

func (m *Machine) next() uint64 {
	m.Last++
	return m.Last
}

// Of returns the live session of a member, and its number; nil if there is none.
func (m *Machine) Of(member string) (uint64, *Session) {
	best := uint64(0)
	for id, s := range m.Sessions {
		if s.Member == member && !s.Superseded && id > best {
			best = id
		}
	}
	return best, m.Sessions[best]
}

// Apply carries out a command.
func (m *Machine) Apply(c Command) Result {
	if len(c.Name) > MostNameLen || len(c.Member) > MostNameLen || len(c.Nonce) > MostNameLen || len(c.To) > MostNameLen {
		return Result{Why: Malformed}
	}
	switch c.Op {
	case Open:
		return m.open(c)
	case Expire:
		m.end(c.Session)
		return Result{}
	case Revoke:
		return m.revoke(c)
	case Free:
		return m.free(c)
	}
	s := m.Sessions[c.Session]
	switch {
	case s == nil:
		return Result{Why: NoSession}
	case s.Superseded:
		return Result{Why: Superseded}
	case c.Seq == 0:
		return Result{Why: Malformed}
	case c.Seq+answersKept <= s.Seq:
		return Result{Why: Forgotten}
	}
	if r, had := s.Answers[c.Seq]; had {
		return r
	}
	before := s.Version
	var r Result
	switch c.Op {
	case Acquire:
		r = m.acquire(s, c)
	case Release:
		r = m.release(s, c, nil)
	case Pass:
		to, target := m.Of(c.To)
		if target == nil || to == c.Session {
			r = Result{Why: NoMember}
			break
		}
		r = m.release(s, c, func(e *Entry) { m.first(e, c.Name, to, target) })
	case Close:
		m.end(c.Session)
		return Result{}
	default:
		r = Result{Why: Malformed}
	}
	r.Session, r.Before, r.Version = c.Session, before, s.Version
	s.Seq = max(s.Seq, c.Seq)
	s.Answers[c.Seq] = r
	for seq := range s.Answers {
		if seq+answersKept <= s.Seq {
			delete(s.Answers, seq)
		}
	}
	return r
}

// open begins a session. The one that another start of the member may have had can't be renewed from now on, but lives until
// the leader takes it for ended: its process may only be paused.
func (m *Machine) open(c Command) Result {
	if c.Member == "" || c.Nonce == "" {
		return Result{Why: Malformed}
	}
	for id, s := range m.Sessions {
		if s.Member == c.Member && s.Nonce == c.Nonce {
			if s.Superseded {
				return Result{Why: Superseded}
			}
			return Result{Session: id, Version: s.Version}
		}
	}
	if len(m.Sessions) >= MostSessions {
		return Result{Why: Full}
	}
	for id, s := range m.Sessions {
		if s.Member == c.Member && id > c.After {
			return Result{Why: Forgotten} // a late copy: the asker has one since, or another process of its name
		}
	}
	for id, s := range m.Sessions {
		if s.Member == c.Member && !s.Superseded {
			s.Superseded = true
			for _, name := range slices.Sorted(maps.Keys(s.Waits)) {
				m.leave(id, s, name)
			}
		}
	}
	id := m.next()
	m.Sessions[id] = &Session{Member: c.Member, Nonce: c.Nonce, Version: id, Answers: map[uint64]Result{}, Holds: map[string]uint64{}, Waits: map[string]bool{}}
	return Result{Session: id, Version: id}
}

func (m *Machine) acquire(s *Session, c Command) Result {
	if c.Name == "" || c.Limit < 1 || c.Limit > MostHolders {
		return Result{Why: Malformed}
	}
	if token := s.Holds[c.Name]; token != 0 {
		return Result{Token: token}
	}
	e := m.Names[c.Name]
	switch {
	case e == nil && len(m.Names) >= MostNames:
		return Result{Why: Full}
	case e == nil:
		e = &Entry{Limit: c.Limit}
		m.Names[c.Name] = e
	case e.Limit != c.Limit:
		// Two files that differ in how many may hold it: neither is obeyed silently.
		return Result{Why: OtherLimit}
	}
	if s.Waits[c.Name] {
		return Result{Place: 1 + slices.Index(e.Waiters, c.Session)}
	}
	if len(e.Holders) >= e.Limit || len(e.Waiters) > 0 {
		if !c.Wait {
			return Result{Why: Taken}
		}
		if len(e.Waiters) >= MostWaiters {
			return Result{Why: Full}
		}
		e.Waiters = append(e.Waiters, c.Session)
		s.Waits[c.Name] = true
		return Result{Place: len(e.Waiters)}
	}
	return Result{Token: m.grant(e, c.Name, c.Session, s)}
}

func (m *Machine) grant(e *Entry, name string, id uint64, s *Session) uint64 {
	token := m.next()
	e.Holders = append(e.Holders, Hold{Session: id, Token: token})
	s.Holds[name] = token
	s.Version = token
	return token
}

// first gives a free place of e to a session, before all that wait.
func (m *Machine) first(e *Entry, name string, id uint64, s *Session) {
	if s.Holds[name] != 0 {
		return
	}
	if s.Waits[name] {
		delete(s.Waits, name)
		e.Waiters = slices.DeleteFunc(e.Waiters, func(w uint64) bool { return w == id })
	}
	m.grant(e, name, id, s)
	m.touch(s)
}

// serve gives free places to those that wait, and forgets a name that nobody has or wants.
func (m *Machine) serve(name string) {
	e := m.Names[name]
	for len(e.Holders) < e.Limit && len(e.Waiters) > 0 {
		id := e.Waiters[0]
		e.Waiters = e.Waiters[1:]
		s := m.Sessions[id]
		delete(s.Waits, name)
		m.grant(e, name, id, s)
		m.touch(s) // who asks for itself hears of it by the answer
	}
	if len(e.Holders) == 0 && len(e.Waiters) == 0 {
		delete(m.Names, name)
	}
}

// release gives back what the session has of the name. Before those that wait, then may give it to somebody.
func (m *Machine) release(s *Session, c Command, then func(*Entry)) Result {
	e := m.Names[c.Name]
	token := s.Holds[c.Name]
	switch {
	case token != 0 && (c.Token == 0 || c.Token == token):
		e.Holders = slices.DeleteFunc(e.Holders, func(h Hold) bool { return h.Token == token })
		delete(s.Holds, c.Name)
		s.Version = m.next()
		if then != nil {
			then(e)
		}
	case then == nil && s.Waits[c.Name]:
		m.leave(c.Session, s, c.Name)
		return Result{}
	default:
		return Result{Why: NotHeld}
	}
	m.serve(c.Name)
	return Result{}
}

// leave gives up a place among those that wait.
func (m *Machine) leave(id uint64, s *Session, name string) {
	delete(s.Waits, name)
	e := m.Names[name]
	e.Waiters = slices.DeleteFunc(e.Waiters, func(w uint64) bool { return w == id })
	m.serve(name)
}

// end ends a session. Its leases go to those that wait, in the order of the names.
func (m *Machine) end(id uint64) {
	s := m.Sessions[id]
	if s == nil {
		return
	}
	delete(m.Sessions, id)
	touched := append(slices.Collect(maps.Keys(s.Holds)), slices.Collect(maps.Keys(s.Waits))...)
	for token, name := range m.Revoked {
		if slices.Contains(m.Names[name].Holders, Hold{id, token, true}) {
			delete(m.Revoked, token)
			touched = append(touched, name)
		}
	}
	slices.Sort(touched) // maps have no order, and the replicas must agree who gets which token
	for _, name := range slices.Compact(touched) {
		e := m.Names[name]
		e.Holders = slices.DeleteFunc(e.Holders, func(h Hold) bool { return h.Session == id })
		e.Waiters = slices.DeleteFunc(e.Waiters, func(w uint64) bool { return w == id })
		m.serve(name)
	}
}

// revoke takes a lease from all that hold it, or from the one with the token. Nobody else has it until Free: the holder may not know yet.
func (m *Machine) revoke(c Command) Result {
	e := m.Names[c.Name]
	found := false
	if e != nil {
		for i := range e.Holders {
			h := &e.Holders[i]
			if h.Revoked || c.Token != 0 && c.Token != h.Token {
				continue
			}
			found = true
			h.Revoked = true
			m.Revoked[h.Token] = c.Name
			s := m.Sessions[h.Session]
			delete(s.Holds, c.Name)
			s.Version = m.next()
			m.touch(s)
		}
	}
	if !found {
		return Result{Why: NotHeld}
	}
	return Result{}
}

func (m *Machine) free(c Command) Result {
	e := m.Names[c.Name]
	if e == nil || !slices.ContainsFunc(e.Holders, func(h Hold) bool { return h.Revoked && h.Token == c.Token }) {
		return Result{Why: NotHeld}
	}
	e.Holders = slices.DeleteFunc(e.Holders, func(h Hold) bool { return h.Token == c.Token })
	delete(m.Revoked, c.Token)
	m.serve(c.Name)
	return Result{}
}

// Listing is what a session holds, as it is told.
type Listing struct {
	Version uint64            `json:"version"` // larger ones replace smaller ones
	Holds   map[string]uint64 `json:"holds,omitempty"`
}

// List returns what a session holds, without the leases if the asker has that version; a reason if it can't be renewed.
func (m *Machine) List(session, have uint64) (Listing, Why) {
	s := m.Sessions[session]
	switch {
	case s == nil:
		return Listing{}, NoSession
	case s.Superseded:
		return Listing{}, Superseded
	}
	if s.Version == have {
		return Listing{Version: have}, ""
	}
	return Listing{s.Version, maps.Clone(s.Holds)}, ""
}
