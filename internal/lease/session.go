package lease

import (
	"maps"
	"slices"
)

// openSession opens a session. An older session of the same member is superseded: it is not renewed, but lives until the leader finds
// it expired, since its process may only be paused.
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
			return Result{Refusal: RefusedStale} // the sender, or another process of its name, has a session since
		}
	}
	m.supersede(c.Member)
	id := m.nextID()
	m.Sessions[id] = &Session{
		Member: c.Member, Nonce: c.Nonce, Version: id, Results: map[uint64]Result{}, Tokens: map[string]uint64{}, Waiting: map[string]bool{},
	}
	return Result{SessionID: id, Version: id}
}

// supersede marks the sessions of a member as superseded and takes them out of all queues.
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
	slices.Sort(names) // the replicas must agree on the order of the tokens
	for _, name := range slices.Compact(names) {
		l := m.Leases[name]
		l.Holders = slices.DeleteFunc(l.Holders, func(g Grant) bool { return g.SessionID == id })
		l.removeWaiter(id)
		m.grantWaiters(name)
	}
}
