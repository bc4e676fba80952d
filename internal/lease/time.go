package lease

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Timing are the times of one fleet. All processes must be told the same ones.
type Timing struct {
	// TTL is how long the council lets a session live from the last time it heard of it, by the leader's clock.
	TTL time.Duration
	// MaxClockDrift bounds how far each clock's rate may be from true time: 0.01 is a clock that runs 1% fast or slow. Beyond it nothing
	// is promised but what fencing tokens promise.
	MaxClockDrift float64
	// SafetyMargin is taken off a holder's time besides, for what lies between reading the clock and acting on it.
	SafetyMargin time.Duration
}

// ClientTTL is how long a holder may act from before it asked, by its own clock: a slow clock counts Budget while a fast one, the
// leader's, counts Term.
func (r Timing) ClientTTL() time.Duration {
	return time.Duration(float64(r.TTL)*(1-r.MaxClockDrift)/(1+r.MaxClockDrift)) - r.SafetyMargin
}

// KeepAliveInterval is how often a session is renewed: three may be lost before it ends.
func (r Timing) KeepAliveInterval() time.Duration { return r.ClientTTL() / 4 }

// Validate says what is wrong with r.
func (r Timing) Validate() error {
	switch {
	case r.TTL <= 0:
		return errors.New("the term is not above 0")
	case !(r.MaxClockDrift >= 0 && r.MaxClockDrift <= 0.2):
		return fmt.Errorf("the drift is %v, outside 0 to 0.2", r.MaxClockDrift)
	case r.SafetyMargin < 0:
		return errors.New("the guard is below 0")
	case r.ClientTTL() < r.TTL/4:
		return fmt.Errorf("of a term of %v, %v are left to a holder after drift and guard, less than a quarter", r.TTL, r.ClientTTL())
	}
	return nil
}

// Lessor decides, at the council's leader, when sessions have ended. Its times are of the leader's clock. A leader that was not one
// a moment before knows nothing of renewals by others, and lets all that it finds live a whole term.
type Lessor struct {
	timing   Timing
	sessions map[uint64]*deadline
	revoked  map[uint64]*deadline // by token
}

type deadline struct {
	at       time.Duration
	proposed bool // that it has ended: it can't be renewed any more, also if the log is slow to say so
}

// NewLessor returns that of a process that has just become leader. The machine must have all entries of former leaders applied.
func NewLessor(r Timing, now time.Duration, m *StateMachine) *Lessor {
	l := &Lessor{timing: r, sessions: map[uint64]*deadline{}, revoked: map[uint64]*deadline{}}
	l.Sync(now, m)
	return l
}

// Sync has to be called after each change of the machine.
func (l *Lessor) Sync(now time.Duration, m *StateMachine) {
	for id := range m.Sessions {
		if l.sessions[id] == nil {
			l.sessions[id] = &deadline{at: now + l.timing.TTL}
		}
	}
	for id := range l.sessions {
		if m.Sessions[id] == nil {
			delete(l.sessions, id)
		}
	}
	for token := range m.Revoked {
		if l.revoked[token] == nil {
			l.revoked[token] = &deadline{at: now + l.timing.TTL}
		}
	}
	for token := range l.revoked {
		if _, is := m.Revoked[token]; !is {
			delete(l.revoked, token)
		}
	}
}

// Renew lets a session live a whole term from now on, if it has not been taken for ended. It may only be called once a majority has
// confirmed, after the session asked, that this process is still the leader: another may have been elected meanwhile.
func (l *Lessor) Renew(now time.Duration, session uint64) bool {
	d := l.sessions[session]
	if d == nil || d.proposed {
		return false
	}
	d.at = max(d.at, now+l.timing.TTL)
	return true
}

// DueCommands returns the commands to propose: what has ended by now, each once, in a fixed order.
func (l *Lessor) DueCommands(now time.Duration, m *StateMachine) []Command {
	var all []Command
	for id, d := range l.sessions {
		if !d.proposed && d.at <= now {
			d.proposed = true
			all = append(all, Command{Op: OpExpire, SessionID: id})
		}
	}
	for token, d := range l.revoked {
		if !d.proposed && d.at <= now {
			d.proposed = true
			all = append(all, Command{Op: OpReclaim, Name: m.Revoked[token], Token: token})
		}
	}
	slices.SortFunc(all, func(a, b Command) int {
		return cmp.Or(cmp.Compare(a.SessionID, b.SessionID), cmp.Compare(a.Token, b.Token))
	})
	return all
}

// ProposalFailed takes back that a command of Due has been proposed, when it could not be.
func (l *Lessor) ProposalFailed(c Command) {
	if d := l.sessions[c.SessionID]; c.Op == OpExpire && d != nil {
		d.proposed = false
	}
	if d := l.revoked[c.Token]; c.Op == OpReclaim && d != nil {
		d.proposed = false
	}
}
