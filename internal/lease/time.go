package lease

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Rules are the times of one fleet. All processes must be told the same ones.
type Rules struct {
	// Term is how long the council lets a session live from the last time it heard of it, by the leader's clock.
	Term time.Duration
	// Drift bounds how far each clock's rate may be from true time: 0.01 is a clock that runs 1% fast or slow. Beyond it nothing
	// is promised but what fencing tokens promise.
	Drift float64
	// Guard is taken off a holder's time besides, for what lies between reading the clock and acting on it.
	Guard time.Duration
}

// Budget is how long a holder may act from before it asked, by its own clock: a slow clock counts Budget while a fast one, the
// leader's, counts Term.
func (r Rules) Budget() time.Duration {
	return time.Duration(float64(r.Term)*(1-r.Drift)/(1+r.Drift)) - r.Guard
}

// RenewEvery is how often a session is renewed: three may be lost before it ends.
func (r Rules) RenewEvery() time.Duration { return r.Budget() / 4 }

// Check says what is wrong with r.
func (r Rules) Check() error {
	switch {
	case r.Term <= 0:
		return errors.New("the term is not above 0")
	case !(r.Drift >= 0 && r.Drift <= 0.2):
		return fmt.Errorf("the drift is %v, outside 0 to 0.2", r.Drift)
	case r.Guard < 0:
		return errors.New("the guard is below 0")
	case r.Budget() < r.Term/4:
		return fmt.Errorf("of a term of %v, %v are left to a holder after drift and guard, less than a quarter", r.Term, r.Budget())
	}
	return nil
}

// Lessor decides, at the council's leader, when sessions have ended. Its times are of the leader's clock. A leader that was not one
// a moment before knows nothing of renewals by others, and lets all that it finds live a whole term.
type Lessor struct {
	rules    Rules
	sessions map[uint64]*due
	revoked  map[uint64]*due // by token
}

type due struct {
	at   time.Duration
	told bool // that it has ended: it can't be renewed any more, also if the log is slow to say so
}

// NewLessor returns that of a process that has just become leader. The machine must have all entries of former leaders applied.
func NewLessor(r Rules, now time.Duration, m *Machine) *Lessor {
	l := &Lessor{rules: r, sessions: map[uint64]*due{}, revoked: map[uint64]*due{}}
	l.Applied(now, m)
	return l
}

// Applied has to be called after each change of the machine.
func (l *Lessor) Applied(now time.Duration, m *Machine) {
	for id := range m.Sessions {
		if l.sessions[id] == nil {
			l.sessions[id] = &due{at: now + l.rules.Term}
		}
	}
	for id := range l.sessions {
		if m.Sessions[id] == nil {
			delete(l.sessions, id)
		}
	}
	for token := range m.Revoked {
		if l.revoked[token] == nil {
			l.revoked[token] = &due{at: now + l.rules.Term}
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
	if d == nil || d.told {
		return false
	}
	d.at = max(d.at, now+l.rules.Term)
	return true
}

// Due returns the commands to propose: what has ended by now, each once, in a fixed order.
func (l *Lessor) Due(now time.Duration, m *Machine) []Command {
	var all []Command
	for id, d := range l.sessions {
		if !d.told && d.at <= now {
			d.told = true
			all = append(all, Command{Op: Expire, Session: id})
		}
	}
	for token, d := range l.revoked {
		if !d.told && d.at <= now {
			d.told = true
			all = append(all, Command{Op: Free, Name: m.Revoked[token], Token: token})
		}
	}
	slices.SortFunc(all, func(a, b Command) int {
		return cmp.Or(cmp.Compare(a.Session, b.Session), cmp.Compare(a.Token, b.Token))
	})
	return all
}

// Untold takes back that a command of Due has been proposed, when it could not be.
func (l *Lessor) Untold(c Command) {
	if d := l.sessions[c.Session]; c.Op == Expire && d != nil {
		d.told = false
	}
	if d := l.revoked[c.Token]; c.Op == Free && d != nil {
		d.told = false
	}
}
