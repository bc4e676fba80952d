package lease

import (
	"maps"
	"slices"
)

// openSession opens a session, or returns the one that the same nonce opened. Older sessions of the member are superseded: they can't be
// renewed, but keep their leases until they expire, because their process may merely be paused.
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
			return Result{Refusal: RefusedStale} // the member has opened a session since the sender read LastID
		}
	}
	m.supersede(c.Member)
	id := m.nextID()
	m.Sessions[id] = &Session{
		Member: c.Member, Nonce: c.Nonce, Version: id, Results: map[uint64]Result{}, Tokens: map[string]uint64{}, Waiting: map[string]bool{},
	}
	return Result{SessionID: id, Version: id}
}

// supersede marks the sessions of a member as superseded and removes them from all queues.
func (m *StateMachine) supersede(member string) {
	for id, s := range m.Sessions {
		if s.Member != member || s.Superseded {
			continue
		}
		s.Superseded = true
		for _, name := range slices.Sorted(maps.Keys(s.Waiting)) {
			m.stopWaiting(id, s, name)
		}
	}
}

// endSession ends a session and grants its leases to their waiters.
func (m *StateMachine) endSession(id uint64) {
	s := m.Sessions[id]
	if s == nil {
		return
	}
	delete(m.Sessions, id)
	names := append(slices.Collect(maps.Keys(s.Tokens)), slices.Collect(maps.Keys(s.Waiting))...)
	for token, name := range m.Revoked {
		if slices.Contains(m.Leases[name].Holders, Grant{SessionID: id, Token: token, Revoked: true}) {
			delete(m.Revoked, token)
			names = append(names, name)
		}
	}
	slices.Sort(names) // the order of the grants, and with it their tokens, must be the same at all replicas
	for _, name := range slices.Compact(names) {
		l := m.Leases[name]
		l.Holders = slices.DeleteFunc(l.Holders, func(g Grant) bool { return g.SessionID == id })
		l.removeWaiter(id)
		m.grantWaiters(name)
	}
}
