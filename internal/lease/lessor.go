package lease

import (
	"cmp"
	"slices"
	"time"
)

// Lessor decides at the leader when sessions have expired and when revoked leases may be granted again. Its times are of the leader's
// monotonic clock. A new leader knows nothing of the keepalives that others answered, and lets all that it finds live for a whole TTL.
//
// Invariant: a session whose expiry was proposed is never renewed, however long the log takes.
type Lessor struct {
	timing   Timing
	sessions map[uint64]*deadline
	revoked  map[uint64]*deadline // by token
}

type deadline struct {
	at       time.Duration
	proposed bool // a command for it is on its way through the log
}

// due reports whether a command for the deadline is to be proposed now.
func (d *deadline) due(now time.Duration) bool { return !d.proposed && d.at <= now }

// NewLessor returns the lessor of a process that has just become leader. m must have all entries of former leaders applied.
func NewLessor(t Timing, now time.Duration, m *StateMachine) *Lessor {
	l := &Lessor{timing: t, sessions: map[uint64]*deadline{}, revoked: map[uint64]*deadline{}}
	l.Track(now, m)
	return l
}

// Track has to be called after each change of m.
func (l *Lessor) Track(now time.Duration, m *StateMachine) {
	expiry := now + l.timing.TTL
	syncDeadlines(l.sessions, m.Sessions, expiry)
	syncDeadlines(l.revoked, m.Revoked, expiry)
}

// syncDeadlines gives the keys of current that have no deadline the one at expiry, and drops those of other keys.
func syncDeadlines[V any](deadlines map[uint64]*deadline, current map[uint64]V, expiry time.Duration) {
	for id := range current {
		if deadlines[id] == nil {
			deadlines[id] = &deadline{at: expiry}
		}
	}
	for id := range deadlines {
		if _, exists := current[id]; !exists {
			delete(deadlines, id)
		}
	}
}

// Renew lets a session live for a whole TTL from now on. It reports false for one whose expiry was proposed. It may only be called once a
// majority has confirmed, after the keepalive arrived, that this process is still the leader: another may have been elected meanwhile.
func (l *Lessor) Renew(now time.Duration, sessionID uint64) bool {
	d := l.sessions[sessionID]
	if d == nil || d.proposed {
		return false
	}
	d.at = max(d.at, now+l.timing.TTL)
	return true
}

// DueCommands returns the commands to propose for what has expired by now, each once, ordered by session and token.
func (l *Lessor) DueCommands(now time.Duration, m *StateMachine) []Command {
	var commands []Command
	for id, d := range l.sessions {
		if d.due(now) {
			d.proposed = true
			commands = append(commands, Command{Op: OpExpire, SessionID: id})
		}
	}
	for token, d := range l.revoked {
		if d.due(now) {
			d.proposed = true
			commands = append(commands, Command{Op: OpReclaim, Name: m.Revoked[token], Token: token})
		}
	}
	slices.SortFunc(commands, func(a, b Command) int {
		return cmp.Or(cmp.Compare(a.SessionID, b.SessionID), cmp.Compare(a.Token, b.Token))
	})
	return commands
}

// ProposalFailed has DueCommands return a command again that could not be proposed.
func (l *Lessor) ProposalFailed(c Command) {
	if d := l.sessions[c.SessionID]; c.Op == OpExpire && d != nil {
		d.proposed = false
	}
	if d := l.revoked[c.Token]; c.Op == OpReclaim && d != nil {
		d.proposed = false
	}
}
