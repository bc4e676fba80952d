package lease

import "slices"

// acquire grants a lease to a session, or queues the session for it.
func (m *StateMachine) acquire(s *Session, c Command) Result {
	if c.Name == "" || c.Limit < 1 || c.Limit > MaxHoldersPerLease {
		return Result{Refusal: RefusedMalformed}
	}
	if token := s.Tokens[c.Name]; token != 0 {
		return Result{Token: token}
	}
	l := m.Leases[c.Name]
	switch {
	case l == nil && len(m.Leases) >= MaxLeases:
		return Result{Refusal: RefusedLimitReached}
	case l == nil:
		l = &Lease{Limit: c.Limit}
		m.Leases[c.Name] = l
	case l.Limit != c.Limit: // two configurations disagree, and the conflict has to be visible
		return Result{Refusal: RefusedLimitMismatch}
	}
	if s.Waiting[c.Name] {
		return Result{QueuePosition: 1 + slices.Index(l.Waiters, c.SessionID)}
	}
	if len(l.Holders) >= l.Limit || len(l.Waiters) > 0 {
		return l.enqueue(s, c)
	}
	return Result{Token: m.grant(l, c.Name, c.SessionID, s)}
}

// enqueue appends a session to the queue if the command has Wait set.
func (l *Lease) enqueue(s *Session, c Command) Result {
	if !c.Wait {
		return Result{Refusal: RefusedHeld}
	}
	if len(l.Waiters) >= MaxWaitersPerLease {
		return Result{Refusal: RefusedLimitReached}
	}
	l.Waiters = append(l.Waiters, c.SessionID)
	s.Waiting[c.Name] = true
	return Result{QueuePosition: len(l.Waiters)}
}

// grant adds a session to the holders of a lease under a new fencing token.
func (m *StateMachine) grant(l *Lease, name string, sessionID uint64, s *Session) (token uint64) {
	token = m.nextID()
	l.Holders = append(l.Holders, Grant{SessionID: sessionID, Token: token})
	s.Tokens[name] = token
	s.Version = token
	return token
}

// grantWaiters grants a lease to its waiters in order, up to Limit holders. It deletes a lease without holders and waiters.
func (m *StateMachine) grantWaiters(name string) {
	l := m.Leases[name]
	for len(l.Holders) < l.Limit && len(l.Waiters) > 0 {
		id := l.Waiters[0]
		l.Waiters = l.Waiters[1:]
		s := m.Sessions[id]
		delete(s.Waiting, name)
		m.grant(l, name, id, s)
		m.markChanged(s)
	}
	if len(l.Holders) == 0 && len(l.Waiters) == 0 {
		delete(m.Leases, name)
	}
}

// release removes a session from the holders or from the queue of a lease.
func (m *StateMachine) release(s *Session, c Command) Result {
	switch {
	case s.holds(c):
		m.dropToken(s, c.Name)
		m.grantWaiters(c.Name)
	case s.Waiting[c.Name]:
		m.stopWaiting(c.SessionID, s, c.Name)
	default:
		return Result{Refusal: RefusedNotHeld}
	}
	return Result{}
}

// transfer moves a lease from a session to the session of another member, ahead of the waiters.
func (m *StateMachine) transfer(s *Session, c Command) Result {
	toID, to := m.SessionOf(c.To)
	if to == nil || toID == c.SessionID {
		return Result{Refusal: RefusedUnknownMember}
	}
	if !s.holds(c) {
		return Result{Refusal: RefusedNotHeld}
	}
	m.dropToken(s, c.Name)
	m.grantAhead(c.Name, toID, to)
	m.grantWaiters(c.Name)
	return Result{}
}

// holds reports whether the session holds the lease of a command, under the command's token if that is set.
func (s *Session) holds(c Command) bool {
	token := s.Tokens[c.Name]
	return token != 0 && (c.Token == 0 || c.Token == token)
}

// dropToken removes a session from the holders of a lease.
func (m *StateMachine) dropToken(s *Session, name string) {
	m.Leases[name].removeHolder(s.Tokens[name])
	delete(s.Tokens, name)
	s.Version = m.nextID()
}

// grantAhead grants a lease with fewer than Limit holders to a session, ahead of the queue. The session need not be in the queue.
func (m *StateMachine) grantAhead(name string, sessionID uint64, s *Session) {
	if s.Tokens[name] != 0 {
		return
	}
	l := m.Leases[name]
	if s.Waiting[name] {
		delete(s.Waiting, name)
		l.removeWaiter(sessionID)
	}
	m.grant(l, name, sessionID, s)
	m.markChanged(s)
}

// stopWaiting removes a session from the queue of a lease.
func (m *StateMachine) stopWaiting(sessionID uint64, s *Session, name string) {
	delete(s.Waiting, name)
	m.Leases[name].removeWaiter(sessionID)
	m.grantWaiters(name)
}

// revoke revokes the grant with the command's token, or all grants of the lease if the token is 0. A revoked grant still counts as a holder
// until OpReclaim, because its holder may not know of the revocation yet.
func (m *StateMachine) revoke(c Command) Result {
	l := m.Leases[c.Name]
	if l == nil {
		return Result{Refusal: RefusedNotHeld}
	}
	found := false
	for i := range l.Holders {
		g := &l.Holders[i]
		if g.Revoked || c.Token != 0 && c.Token != g.Token {
			continue
		}
		found = true
		g.Revoked = true
		m.Revoked[g.Token] = c.Name
		s := m.Sessions[g.SessionID]
		delete(s.Tokens, c.Name)
		s.Version = m.nextID()
		m.markChanged(s)
	}
	if !found {
		return Result{Refusal: RefusedNotHeld}
	}
	return Result{}
}

// reclaim removes a revoked grant, so that the next waiter can have the lease.
func (m *StateMachine) reclaim(c Command) Result {
	l := m.Leases[c.Name]
	if l == nil || !slices.ContainsFunc(l.Holders, func(g Grant) bool { return g.Revoked && g.Token == c.Token }) {
		return Result{Refusal: RefusedNotHeld}
	}
	l.removeHolder(c.Token)
	delete(m.Revoked, c.Token)
	m.grantWaiters(c.Name)
	return Result{}
}

func (l *Lease) removeHolder(token uint64) {
	l.Holders = slices.DeleteFunc(l.Holders, func(g Grant) bool { return g.Token == token })
}

func (l *Lease) removeWaiter(sessionID uint64) {
	l.Waiters = slices.DeleteFunc(l.Waiters, func(id uint64) bool { return id == sessionID })
}
