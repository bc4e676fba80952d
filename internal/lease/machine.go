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
	MaxSessions        = 8192
	MaxLeases          = 65536
	MaxWaitersPerLease = 2048 // of one name
	MaxHoldersPerLease = 1024 // of one name
	MaxNameLen         = 128
	// resultsKept is how many answers of a session are kept, so that what is asked again has the same answer. What has none and
	// is older is refused: its answer may have been forgotten. A session has half as many out at most.
	resultsKept = 128
)

// Op is what a command asks.
type Op string

const (
	OpOpen     Op = "open"    // a session of a member, by the nonce of its start
	OpAcquire  Op = "acquire" // a lease, or a place among those that wait for it
	OpRelease  Op = "release" // a lease, or the place
	OpTransfer Op = "pass"    // a lease to the member named To, before all that wait
	OpClose    Op = "close"   // the session, and with it all that it has
	OpExpire   Op = "expire"  // the same, by the council's leader
	OpRevoke   Op = "revoke"  // a lease, by an operator: it can't be renewed, and is free once its holder has surely stopped
	OpReclaim  Op = "free"    // a revoked lease whose holder has surely stopped, by the council's leader
)

// Command changes the state. It comes out of the council's log.
type Command struct {
	Op          Op     `json:"op"`
	Member      string `json:"member,omitempty"`
	Nonce       string `json:"nonce,omitempty"` // Open: of the process' start, and how often it has opened one
	KnownLastID uint64 `json:"after,omitempty"` // Open: the largest number that the council had given when the asker looked
	SessionID   uint64 `json:"session,omitempty"`
	Seq         uint64 `json:"seq,omitempty"` // of the session, above 0; asked again it keeps its number
	Name        string `json:"name,omitempty"`
	Limit       int    `json:"limit,omitempty"` // Acquire: how many may hold it at once
	Wait        bool   `json:"wait,omitempty"`
	To          string `json:"to,omitempty"`
	Token       uint64 `json:"token,omitempty"`
}

// Refusal says why a command was refused.
type Refusal string

const (
	RefusedNoSession     Refusal = "no such session"              // it has ended, or another process of that name has taken its place
	RefusedSuperseded    Refusal = "another process has the name" // the older of two processes with one name
	RefusedLimitReached  Refusal = "no room"
	RefusedHeld          Refusal = "held by others"
	RefusedLimitMismatch Refusal = "in use with another limit"
	RefusedNotHeld       Refusal = "not held by this session"
	RefusedUnknownMember Refusal = "no such member"
	RefusedStale         Refusal = "asked too long ago"
	RefusedMalformed     Refusal = "malformed"
)

// Result is what became of a command. Asked again, a command has the same one.
type Result struct {
	Refusal         Refusal `json:"why,omitempty"` // empty: it was done
	SessionID       uint64  `json:"session,omitempty"`
	Token           uint64  `json:"token,omitempty"`   // of the lease that is now held; 0: it waits
	QueuePosition   int     `json:"place,omitempty"`   // among those that wait, from 1
	Version         uint64  `json:"version,omitempty"` // of what the session holds, after the command
	PreviousVersion uint64  `json:"before,omitempty"`  // before it
}

// Grant is one holder of a lease.
type Grant struct {
	SessionID uint64 `json:"session"`
	Token     uint64 `json:"token"` // fencing token: larger than all that were given before, whatever their name
	Revoked   bool   `json:"revoked,omitempty"`
}

// Lease is a lease that somebody holds or waits for.
type Lease struct {
	Limit   int      `json:"limit"`
	Holders []Grant  `json:"holders,omitempty"`
	Waiters []uint64 `json:"waiters,omitempty"` // sessions, in the order in which they are served
}

// Session is one start of one member.
type Session struct {
	Member     string            `json:"member"`
	Nonce      string            `json:"nonce"`
	Superseded bool              `json:"superseded,omitempty"`
	Version    uint64            `json:"version"` // grows with each change of what it holds
	LastSeq    uint64            `json:"seq"`     // the largest that was applied
	Results    map[uint64]Result `json:"answers,omitempty"`
	Tokens     map[string]uint64 `json:"holds,omitempty"` // tokens by name; without the revoked
	Waiting    map[string]bool   `json:"waits,omitempty"`
}

// StateMachine is the replicated state: equal commands in equal order make equal machines.
type StateMachine struct {
	LastID   uint64              `json:"last"` // the largest number given, of sessions, tokens and versions
	Sessions map[uint64]*Session `json:"sessions"`
	Leases   map[string]*Lease   `json:"names"`
	Revoked  map[uint64]string   `json:"revoked"` // names by the tokens that were revoked and are not free yet

	// changedMembers are members whose holdings have changed without their asking, since Changed was last called. No part of the state.
	changedMembers map[string]bool
}

// TakeChangedMembers returns the members whose leases have changed since it was last called, in order: they want to hear of it soon.
func (m *StateMachine) TakeChangedMembers() []string {
	all := slices.Sorted(maps.Keys(m.changedMembers))
	m.changedMembers = nil
	return all
}

func (m *StateMachine) markChanged(s *Session) {
	if m.changedMembers == nil {
		m.changedMembers = map[string]bool{}
	}
	m.changedMembers[s.Member] = true
}

// NewStateMachine returns one without sessions.
func NewStateMachine() *StateMachine {
	return &StateMachine{Sessions: map[uint64]*Session{}, Leases: map[string]*Lease{}, Revoked: map[uint64]string{}}
}

// Restore reads what Snapshot wrote.
func Restore(data []byte) (*StateMachine, error) {
	m := NewStateMachine()
	if err := json.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("lease: snapshot: %w", err)
	}
	return m, m.validate()
}

// validate says what of a state that was read can't be: all that Apply takes for granted.
func (m *StateMachine) validate() error {
	if m.Sessions == nil || m.Leases == nil || m.Revoked == nil {
		return errors.New("lease: snapshot: sessions, names or revocations are missing")
	}
	for id, s := range m.Sessions {
		if s == nil || id > m.LastID || s.Results == nil && s.LastSeq > 0 {
			return fmt.Errorf("lease: snapshot: session %d is not whole", id)
		}
		s.Results, s.Tokens, s.Waiting = nonNilMap(s.Results), nonNilMap(s.Tokens), nonNilMap(s.Waiting)
		for name, token := range s.Tokens {
			if e := m.Leases[name]; e == nil || !slices.ContainsFunc(e.Holders, func(h Grant) bool { return h.Token == token && h.SessionID == id }) {
				return fmt.Errorf("lease: snapshot: session %d holds %q, which does not know of it", id, name)
			}
		}
	}
	for name, e := range m.Leases {
		if e == nil {
			return fmt.Errorf("lease: snapshot: name %q is not whole", name)
		}
		for _, h := range e.Holders {
			if m.Sessions[h.SessionID] == nil || h.Token > m.LastID || h.Revoked != (m.Revoked[h.Token] == name) {
				return fmt.Errorf("lease: snapshot: a holder of %q is not whole", name)
			}
		}
		for _, w := range e.Waiters {
			if m.Sessions[w] == nil || !m.Sessions[w].Waiting[name] {
				return fmt.Errorf("lease: snapshot: one that waits for %q is not whole", name)
			}
		}
	}
	return nil
}

func nonNilMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}

// Snapshot writes the whole state; equal states are equal bytes.
func (m *StateMachine) Snapshot() ([]byte, error) { return json.Marshal(m) }

func (m *StateMachine) nextID() uint64 {
	m.LastID++
	return m.LastID
}

// SessionOf returns the live session of a member, and its number; nil if there is none.
func (m *StateMachine) SessionOf(member string) (uint64, *Session) {
	best := uint64(0)
	for id, s := range m.Sessions {
		if s.Member == member && !s.Superseded && id > best {
			best = id
		}
	}
	return best, m.Sessions[best]
}

// Apply carries out a command.
func (m *StateMachine) Apply(c Command) Result {
	if len(c.Name) > MaxNameLen || len(c.Member) > MaxNameLen || len(c.Nonce) > MaxNameLen || len(c.To) > MaxNameLen {
		return Result{Refusal: RefusedMalformed}
	}
	switch c.Op {
	case OpOpen:
		return m.openSession(c)
	case OpExpire:
		m.endSession(c.SessionID)
		return Result{}
	case OpRevoke:
		return m.revoke(c)
	case OpReclaim:
		return m.reclaim(c)
	}
	s := m.Sessions[c.SessionID]
	switch {
	case s == nil:
		return Result{Refusal: RefusedNoSession}
	case s.Superseded:
		return Result{Refusal: RefusedSuperseded}
	case c.Seq == 0:
		return Result{Refusal: RefusedMalformed}
	case c.Seq+resultsKept <= s.LastSeq:
		return Result{Refusal: RefusedStale}
	}
	if r, had := s.Results[c.Seq]; had {
		return r
	}
	before := s.Version
	var r Result
	switch c.Op {
	case OpAcquire:
		r = m.acquire(s, c)
	case OpRelease:
		r = m.release(s, c, nil)
	case OpTransfer:
		to, target := m.SessionOf(c.To)
		if target == nil || to == c.SessionID {
			r = Result{Refusal: RefusedUnknownMember}
			break
		}
		r = m.release(s, c, func(e *Lease) { m.grantFirst(e, c.Name, to, target) })
	case OpClose:
		m.endSession(c.SessionID)
		return Result{}
	default:
		r = Result{Refusal: RefusedMalformed}
	}
	r.SessionID, r.PreviousVersion, r.Version = c.SessionID, before, s.Version
	s.LastSeq = max(s.LastSeq, c.Seq)
	s.Results[c.Seq] = r
	for seq := range s.Results {
		if seq+resultsKept <= s.LastSeq {
			delete(s.Results, seq)
		}
	}
	return r
}

// openSession begins a session. The one that another start of the member may have had can't be renewed from now on, but lives until
// the leader takes it for ended: its process may only be paused.
func (m *StateMachine) openSession(c Command) Result {
	if c.Member == "" || c.Nonce == "" {
		return Result{Refusal: RefusedMalformed}
	}
	for id, s := range m.Sessions {
		if s.Member == c.Member && s.Nonce == c.Nonce {
			if s.Superseded {
				return Result{Refusal: RefusedSuperseded}
			}
			return Result{SessionID: id, Version: s.Version}
		}
	}
	if len(m.Sessions) >= MaxSessions {
		return Result{Refusal: RefusedLimitReached}
	}
	for id, s := range m.Sessions {
		if s.Member == c.Member && id > c.KnownLastID {
			return Result{Refusal: RefusedStale} // a late copy: the asker has one since, or another process of its name
		}
	}
	for id, s := range m.Sessions {
		if s.Member == c.Member && !s.Superseded {
			s.Superseded = true
			for _, name := range slices.Sorted(maps.Keys(s.Waiting)) {
				m.stopWaiting(id, s, name)
			}
		}
	}
	id := m.nextID()
	m.Sessions[id] = &Session{Member: c.Member, Nonce: c.Nonce, Version: id, Results: map[uint64]Result{}, Tokens: map[string]uint64{}, Waiting: map[string]bool{}}
	return Result{SessionID: id, Version: id}
}

func (m *StateMachine) acquire(s *Session, c Command) Result {
	if c.Name == "" || c.Limit < 1 || c.Limit > MaxHoldersPerLease {
		return Result{Refusal: RefusedMalformed}
	}
	if token := s.Tokens[c.Name]; token != 0 {
		return Result{Token: token}
	}
	e := m.Leases[c.Name]
	switch {
	case e == nil && len(m.Leases) >= MaxLeases:
		return Result{Refusal: RefusedLimitReached}
	case e == nil:
		e = &Lease{Limit: c.Limit}
		m.Leases[c.Name] = e
	case e.Limit != c.Limit:
		// Two files that differ in how many may hold it: neither is obeyed silently.
		return Result{Refusal: RefusedLimitMismatch}
	}
	if s.Waiting[c.Name] {
		return Result{QueuePosition: 1 + slices.Index(e.Waiters, c.SessionID)}
	}
	if len(e.Holders) >= e.Limit || len(e.Waiters) > 0 {
		if !c.Wait {
			return Result{Refusal: RefusedHeld}
		}
		if len(e.Waiters) >= MaxWaitersPerLease {
			return Result{Refusal: RefusedLimitReached}
		}
		e.Waiters = append(e.Waiters, c.SessionID)
		s.Waiting[c.Name] = true
		return Result{QueuePosition: len(e.Waiters)}
	}
	return Result{Token: m.grant(e, c.Name, c.SessionID, s)}
}

func (m *StateMachine) grant(e *Lease, name string, id uint64, s *Session) uint64 {
	token := m.nextID()
	e.Holders = append(e.Holders, Grant{SessionID: id, Token: token})
	s.Tokens[name] = token
	s.Version = token
	return token
}

// grantFirst gives a free place of e to a session, before all that wait.
func (m *StateMachine) grantFirst(e *Lease, name string, id uint64, s *Session) {
	if s.Tokens[name] != 0 {
		return
	}
	if s.Waiting[name] {
		delete(s.Waiting, name)
		e.Waiters = slices.DeleteFunc(e.Waiters, func(w uint64) bool { return w == id })
	}
	m.grant(e, name, id, s)
	m.markChanged(s)
}

// grantWaiters gives free places to those that wait, and forgets a name that nobody has or wants.
func (m *StateMachine) grantWaiters(name string) {
	e := m.Leases[name]
	for len(e.Holders) < e.Limit && len(e.Waiters) > 0 {
		id := e.Waiters[0]
		e.Waiters = e.Waiters[1:]
		s := m.Sessions[id]
		delete(s.Waiting, name)
		m.grant(e, name, id, s)
		m.markChanged(s) // who asks for itself hears of it by the answer
	}
	if len(e.Holders) == 0 && len(e.Waiters) == 0 {
		delete(m.Leases, name)
	}
}

// release gives back what the session has of the name. Before those that wait, then may give it to somebody.
func (m *StateMachine) release(s *Session, c Command, then func(*Lease)) Result {
	e := m.Leases[c.Name]
	token := s.Tokens[c.Name]
	switch {
	case token != 0 && (c.Token == 0 || c.Token == token):
		e.Holders = slices.DeleteFunc(e.Holders, func(h Grant) bool { return h.Token == token })
		delete(s.Tokens, c.Name)
		s.Version = m.nextID()
		if then != nil {
			then(e)
		}
	case then == nil && s.Waiting[c.Name]:
		m.stopWaiting(c.SessionID, s, c.Name)
		return Result{}
	default:
		return Result{Refusal: RefusedNotHeld}
	}
	m.grantWaiters(c.Name)
	return Result{}
}

// stopWaiting gives up a place among those that wait.
func (m *StateMachine) stopWaiting(id uint64, s *Session, name string) {
	delete(s.Waiting, name)
	e := m.Leases[name]
	e.Waiters = slices.DeleteFunc(e.Waiters, func(w uint64) bool { return w == id })
	m.grantWaiters(name)
}

// endSession ends a session. Its leases go to those that wait, in the order of the names.
func (m *StateMachine) endSession(id uint64) {
	s := m.Sessions[id]
	if s == nil {
		return
	}
	delete(m.Sessions, id)
	touched := append(slices.Collect(maps.Keys(s.Tokens)), slices.Collect(maps.Keys(s.Waiting))...)
	for token, name := range m.Revoked {
		if slices.Contains(m.Leases[name].Holders, Grant{id, token, true}) {
			delete(m.Revoked, token)
			touched = append(touched, name)
		}
	}
	slices.Sort(touched) // maps have no order, and the replicas must agree who gets which token
	for _, name := range slices.Compact(touched) {
		e := m.Leases[name]
		e.Holders = slices.DeleteFunc(e.Holders, func(h Grant) bool { return h.SessionID == id })
		e.Waiters = slices.DeleteFunc(e.Waiters, func(w uint64) bool { return w == id })
		m.grantWaiters(name)
	}
}

// revoke takes a lease from all that hold it, or from the one with the token. Nobody else has it until Free: the holder may not know yet.
func (m *StateMachine) revoke(c Command) Result {
	e := m.Leases[c.Name]
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
			s := m.Sessions[h.SessionID]
			delete(s.Tokens, c.Name)
			s.Version = m.nextID()
			m.markChanged(s)
		}
	}
	if !found {
		return Result{Refusal: RefusedNotHeld}
	}
	return Result{}
}

func (m *StateMachine) reclaim(c Command) Result {
	e := m.Leases[c.Name]
	if e == nil || !slices.ContainsFunc(e.Holders, func(h Grant) bool { return h.Revoked && h.Token == c.Token }) {
		return Result{Refusal: RefusedNotHeld}
	}
	e.Holders = slices.DeleteFunc(e.Holders, func(h Grant) bool { return h.Token == c.Token })
	delete(m.Revoked, c.Token)
	m.grantWaiters(c.Name)
	return Result{}
}

// Holdings is what a session holds, as it is told.
type Holdings struct {
	Version uint64            `json:"version"` // larger ones replace smaller ones
	Tokens  map[string]uint64 `json:"holds,omitempty"`
}

// HoldingsOf returns what a session holds, without the leases if the asker has that version; a reason if it can't be renewed.
func (m *StateMachine) HoldingsOf(session, have uint64) (Holdings, Refusal) {
	s := m.Sessions[session]
	switch {
	case s == nil:
		return Holdings{}, RefusedNoSession
	case s.Superseded:
		return Holdings{}, RefusedSuperseded
	}
	if s.Version == have {
		return Holdings{Version: have}, ""
	}
	return Holdings{s.Version, maps.Clone(s.Tokens)}, ""
}
