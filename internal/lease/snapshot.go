package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// ErrInvalidSnapshot is wrapped by the errors of [Restore].
var ErrInvalidSnapshot = errors.New("lease: invalid snapshot")

// Snapshot returns the JSON encoding of the whole state. Equal states have equal encodings.
func (m *StateMachine) Snapshot() ([]byte, error) { return json.Marshal(m) }

// Restore decodes the result of Snapshot. It returns ErrInvalidSnapshot for data that can't be decoded, and for data whose sessions and
// leases refer to each other inconsistently. Not all invariants of [StateMachine] are checked.
func Restore(data []byte) (*StateMachine, error) {
	m := NewStateMachine()
	if err := json.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	return m, m.validate()
}

// validate checks that no session or lease is null, and that tokens, holders and waiters refer to existing sessions and leases. It replaces
// the nil maps of sessions by empty ones.
func (m *StateMachine) validate() error {
	if m.Sessions == nil || m.Leases == nil || m.Revoked == nil {
		return fmt.Errorf("%w: field sessions, names or revoked is missing", ErrInvalidSnapshot)
	}
	for id, s := range m.Sessions {
		if err := m.validateSession(id, s); err != nil {
			return err
		}
	}
	for name, l := range m.Leases {
		if err := m.validateLease(name, l); err != nil {
			return err
		}
	}
	return nil
}

func (m *StateMachine) validateSession(id uint64, s *Session) error {
	if s == nil || id > m.LastID || s.Results == nil && s.LastSeq > 0 {
		return fmt.Errorf("%w: session %d is null, lacks its results or has an ID above the last one", ErrInvalidSnapshot, id)
	}
	s.Results, s.Tokens, s.Waiting = nonNilMap(s.Results), nonNilMap(s.Tokens), nonNilMap(s.Waiting)
	for name, token := range s.Tokens {
		l := m.Leases[name]
		if l == nil || !slices.ContainsFunc(l.Holders, func(g Grant) bool { return g.Token == token && g.SessionID == id }) {
			return fmt.Errorf("%w: session %d has a token for lease %q, but is not among its holders", ErrInvalidSnapshot, id, name)
		}
	}
	return nil
}

func (m *StateMachine) validateLease(name string, l *Lease) error {
	if l == nil {
		return fmt.Errorf("%w: lease %q is null", ErrInvalidSnapshot, name)
	}
	for _, g := range l.Holders {
		if m.Sessions[g.SessionID] == nil || g.Token > m.LastID || g.Revoked != (m.Revoked[g.Token] == name) {
			return fmt.Errorf("%w: lease %q has a holder with an unknown session or an inconsistent token", ErrInvalidSnapshot, name)
		}
	}
	for _, id := range l.Waiters {
		if m.Sessions[id] == nil || !m.Sessions[id].Waiting[name] {
			return fmt.Errorf("%w: lease %q has a waiter that is unknown or not marked as waiting", ErrInvalidSnapshot, name)
		}
	}
	return nil
}

// nonNilMap returns m, or an empty map for nil.
func nonNilMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return m
}
