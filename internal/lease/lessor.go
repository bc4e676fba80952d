package lease

import (
	"cmp"
	"slices"
	"time"
)

// Lessor decides at the leader when sessions have expired and when revoked leases may be granted again. All times are readings of the
// leader's monotonic clock. A new leader does not know which keepalives earlier leaders answered, so it keeps each existing session and
// each revoked grant for a whole TTL. A Lessor is not safe for concurrent use.
//
// Invariant: a session whose expiry was proposed is never renewed, however long the command takes to be applied.
type Lessor struct {
	timing   Timing
	sessions map[uint64]*deadline
	revoked  map[uint64]*deadline // by token
}

// deadline is the expiry of a session or of a revoked grant.
type deadline struct {
	at       time.Duration
	proposed bool // the command was proposed and is not applied yet
}

// due reports whether the deadline has passed and its command was not proposed yet.
func (d *deadline) due(now time.Duration) bool { return !d.proposed && d.at <= now }

// NewLessor returns the lessor of a process that has just become leader. All entries of earlier leaders must have been applied to m.
func NewLessor(t Timing, now time.Duration, m *StateMachine) *Lessor {
	l := &Lessor{timing: t, sessions: map[uint64]*deadline{}, revoked: map[uint64]*deadline{}}
	l.Track(now, m)
	return l
}

// Track sets deadlines for new sessions and revoked grants of m, and drops those of removed ones. The caller calls it after each change
// of m.
func (l *Lessor) Track(now time.Duration, m *StateMachine) {
	expiry := now + l.timing.TTL
	syncDeadlines(l.sessions, m.Sessions, expiry)
	syncDeadlines(l.revoked, m.Revoked, expiry)
}

// syncDeadlines adds a deadline at expiry for each key of current that has none, and deletes the deadlines of all other keys.
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

// Renew extends a session by a whole TTL from now. It reports false for an unknown session and for a session whose expiry was proposed.
// The caller must first have a majority confirm, after the keepalive arrived, that this process is still the leader, because another
// leader may have been elected meanwhile.
func (l *Lessor) Renew(now time.Duration, sessionID uint64) bool {
	d := l.sessions[sessionID]
	if d == nil || d.proposed {
		return false
	}
	d.at = max(d.at, now+l.timing.TTL)
	return true
}

// DueCommands returns the commands to propose for expired sessions and revoked grants, ordered by session and token. Each command is
// returned once; see ProposalFailed.
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

// ProposalFailed makes DueCommands return again a command that could not be proposed.
func (l *Lessor) ProposalFailed(c Command) {
	if d := l.sessions[c.SessionID]; c.Op == OpExpire && d != nil {
		d.proposed = false
	}
	if d := l.revoked[c.Token]; c.Op == OpReclaim && d != nil {
		d.proposed = false
	}
}
