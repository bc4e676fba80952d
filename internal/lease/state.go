package lease

import (
	"maps"
	"slices"
)

// Bounds of the replicated state. A command that would exceed MaxSessions, MaxLeases or MaxWaitersPerLease is refused with
// RefusedLimitReached. A command with a Limit above MaxHoldersPerLease or a name longer than MaxNameLen is refused with RefusedMalformed.
const (
	MaxSessions        = 8192
	MaxLeases          = 65536
	MaxWaitersPerLease = 2048
	MaxHoldersPerLease = 1024
	MaxNameLen         = 128 // bytes of the name of a lease or a member
)

// maxResults is the number of results that are kept for each session, so that a command that is sent again has the same result. A client
// has at most half as many commands in flight.
const maxResults = 128

// StateMachine is the replicated state of sessions and leases. It is deterministic: the same commands in the same order lead to the same
// state. It is not safe for concurrent use.
//
// Invariants:
//   - A lease has at most Limit holders. It has waiters only while it has Limit holders.
//   - A lease without holders and waiters is deleted.
//   - Session.Tokens and Session.Waiting agree with Lease.Holders and Lease.Waiters.
//   - A revoked grant is in Revoked and not in Session.Tokens.
//   - Fencing tokens increase strictly over all leases.
type StateMachine struct {
	// LastID is the largest number allocated. Session IDs, fencing tokens and versions share one sequence.
	LastID   uint64              `json:"last"`
	Sessions map[uint64]*Session `json:"sessions"`
	Leases   map[string]*Lease   `json:"names"`
	// Revoked maps the tokens that were revoked and not yet reclaimed to the names of their leases.
	Revoked map[uint64]string `json:"revoked"`

	// changedMembers holds the members that TakeChangedMembers returns. It is not part of the replicated state.
	changedMembers map[string]bool
}

// Session is a session of a member.
type Session struct {
	Member     string            `json:"member"`
	Nonce      string            `json:"nonce"`
	Superseded bool              `json:"superseded,omitempty"` // a newer session of the member exists, and this one can't be renewed
	Version    uint64            `json:"version"`              // grows with each change of Tokens
	LastSeq    uint64            `json:"seq"`                  // the largest Command.Seq that was applied
	Results    map[uint64]Result `json:"answers,omitempty"`    // by Command.Seq
	Tokens     map[string]uint64 `json:"holds,omitempty"`      // fencing tokens by lease name, without revoked ones
	Waiting    map[string]bool   `json:"waits,omitempty"`      // by lease name
}

// Lease is a lease that is held or waited for.
type Lease struct {
	Limit   int      `json:"limit"`
	Holders []Grant  `json:"holders,omitempty"`
	Waiters []uint64 `json:"waiters,omitempty"` // session IDs in FIFO order
}

// Grant is one holder of a lease.
type Grant struct {
	SessionID uint64 `json:"session"`
	Token     uint64 `json:"token"` // fencing token, larger than all earlier ones of any lease
	Revoked   bool   `json:"revoked,omitempty"`
}

// NewStateMachine returns an empty state.
func NewStateMachine() *StateMachine {
	return &StateMachine{Sessions: map[uint64]*Session{}, Leases: map[string]*Lease{}, Revoked: map[uint64]string{}}
}

// SessionOf returns the ID and the session of a member, or 0 and nil without one. Superseded sessions are ignored.
func (m *StateMachine) SessionOf(member string) (uint64, *Session) {
	newest := uint64(0)
	for id, s := range m.Sessions {
		if s.Member == member && !s.Superseded && id > newest {
			newest = id
		}
	}
	return newest, m.Sessions[newest]
}

// HoldingsOf returns the leases of a session. If their version equals knownVersion, only the version is set. The refusal is set if the
// session can't be renewed.
func (m *StateMachine) HoldingsOf(sessionID, knownVersion uint64) (Holdings, Refusal) {
	s := m.Sessions[sessionID]
	switch {
	case s == nil:
		return Holdings{}, RefusedNoSession
	case s.Superseded:
		return Holdings{}, RefusedSuperseded
	}
	if s.Version == knownVersion {
		return Holdings{Version: knownVersion}, ""
	}
	return Holdings{s.Version, maps.Clone(s.Tokens)}, ""
}

// TakeChangedMembers returns the sorted members whose leases have changed since the last call other than by a command of their own.
func (m *StateMachine) TakeChangedMembers() []string {
	members := slices.Sorted(maps.Keys(m.changedMembers))
	m.changedMembers = nil
	return members
}

// markChanged records that TakeChangedMembers is to return the session's member.
func (m *StateMachine) markChanged(s *Session) {
	if m.changedMembers == nil {
		m.changedMembers = map[string]bool{}
	}
	m.changedMembers[s.Member] = true
}

// nextID allocates the next number for a session ID, token or version.
func (m *StateMachine) nextID() uint64 {
	m.LastID++
	return m.LastID
}

// Apply applies a committed command and returns its result.
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
	return m.applyOnce(c)
}

// applyOnce applies a command of a session. A command that was applied before has its stored result again and changes nothing.
func (m *StateMachine) applyOnce(c Command) Result {
	s := m.Sessions[c.SessionID]
	switch {
	case s == nil:
		return Result{Refusal: RefusedNoSession}
	case s.Superseded:
		return Result{Refusal: RefusedSuperseded}
	case c.Seq == 0:
		return Result{Refusal: RefusedMalformed}
	case c.Seq+maxResults <= s.LastSeq:
		return Result{Refusal: RefusedStale}
	}
	if r, known := s.Results[c.Seq]; known {
		return r
	}
	if c.Op == OpClose {
		m.endSession(c.SessionID)
		return Result{}
	}
	previous := s.Version
	r := m.applyToLease(s, c)
	r.SessionID, r.PreviousVersion, r.Version = c.SessionID, previous, s.Version
	s.keepResult(c.Seq, r)
	return r
}

// applyToLease applies a command on a lease.
func (m *StateMachine) applyToLease(s *Session, c Command) Result {
	switch c.Op {
	case OpAcquire:
		return m.acquire(s, c)
	case OpRelease:
		return m.release(s, c)
	case OpTransfer:
		return m.transfer(s, c)
	}
	return Result{Refusal: RefusedMalformed}
}

// keepResult stores the result of a command and drops the results of commands that are too old to be sent again.
func (s *Session) keepResult(seq uint64, r Result) {
	s.LastSeq = max(s.LastSeq, seq)
	s.Results[seq] = r
	for old := range s.Results {
		if old+maxResults <= s.LastSeq {
			delete(s.Results, old)
		}
	}
}
