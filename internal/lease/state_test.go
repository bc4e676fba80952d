package lease

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// checkInvariants returns an error for a state that breaks an invariant of StateMachine.
func checkInvariants(m *StateMachine) error {
	if err := m.validate(); err != nil {
		return err
	}
	tokens := map[uint64]bool{}
	for name, l := range m.Leases {
		if len(l.Holders) > l.Limit {
			return fmt.Errorf("%d sessions hold lease %q, above its limit of %d", len(l.Holders), name, l.Limit)
		}
		if len(l.Waiters) > 0 && len(l.Holders) < l.Limit {
			return fmt.Errorf("lease %q has waiters and fewer holders than its limit", name)
		}
		if len(l.Holders)+len(l.Waiters) == 0 {
			return fmt.Errorf("lease %q has no holders and no waiters, but exists", name)
		}
		for _, g := range l.Holders {
			if tokens[g.Token] {
				return fmt.Errorf("token %d was granted twice", g.Token)
			}
			tokens[g.Token] = true
			if got := m.Sessions[g.SessionID].Tokens[name]; (got == g.Token) == g.Revoked {
				return fmt.Errorf("lease %q: the grant with token %d disagrees with its session", name, g.Token)
			}
		}
	}
	return nil
}

// drawCommand draws a command of an existing or unknown session, an operator or the leader.
func drawCommand(t *rapid.T, m *StateMachine) Command {
	sessions := append([]uint64{99}, slices.Sorted(maps.Keys(m.Sessions))...)
	c := Command{
		Op:          rapid.SampledFrom([]Op{OpOpen, OpAcquire, OpAcquire, OpAcquire, OpRelease, OpTransfer, OpClose, OpExpire, OpRevoke, OpReclaim}).Draw(t, "op"),
		Member:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member"),
		Nonce:       rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "nonce"),
		SessionID:   rapid.SampledFrom(sessions).Draw(t, "session"),
		Seq:         uint64(rapid.IntRange(0, 40).Draw(t, "seq")),
		Name:        rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"),
		Limit:       rapid.IntRange(1, 2).Draw(t, "limit"),
		Wait:        rapid.Bool().Draw(t, "wait"),
		To:          rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "to"),
		KnownLastID: m.LastID,
	}
	for token := range m.Revoked {
		c.Token = max(c.Token, token)
	}
	if c.Op != OpReclaim {
		c.Token = 0
	}
	return c
}

// TestStateMachine checks for random sequences of commands that the invariants hold, that fencing tokens increase, and that a state
// machine restored from a snapshot returns the same results as the original.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewStateMachine()
		granted := map[uint64]bool{}
		var last uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := drawCommand(t, m)
			data, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			copied, err := Restore(data)
			if err != nil {
				t.Fatal(err)
			}
			r, fromCopy := m.Apply(c), copied.Apply(c)
			if r != fromCopy {
				t.Fatalf("%+v: result %+v, at the restored copy %+v", c, r, fromCopy)
			}
			if err := checkInvariants(m); err != nil {
				t.Fatalf("after %+v: %v", c, err)
			}
			newest := last
			for _, l := range m.Leases {
				for _, g := range l.Holders {
					if !granted[g.Token] && g.Token <= last {
						t.Fatalf("%+v: granted token %d after token %d", c, g.Token, last)
					}
					granted[g.Token] = true
					newest = max(newest, g.Token)
				}
			}
			last = newest
		}
	})
}

// TestCommandSentAgain checks that a repeated command has the same result as the first time and changes nothing. A client repeats a command
// whose response was lost.
func TestCommandSentAgain(t *testing.T) {
	m := NewStateMachine()
	a := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "1"}).SessionID
	b := m.Apply(Command{Op: OpOpen, Member: "b", Nonce: "1", KnownLastID: m.LastID}).SessionID
	c := Command{Op: OpAcquire, SessionID: a, Seq: 1, Name: "x", Limit: 1}
	first := m.Apply(c)
	m.Apply(Command{Op: OpAcquire, SessionID: b, Seq: 1, Name: "x", Limit: 1, Wait: true})
	if repeated := m.Apply(c); repeated != first || first.Token == 0 {
		t.Errorf("first result %+v, result of the repeated command %+v", first, repeated)
	}
	m.Apply(Command{Op: OpRelease, SessionID: a, Seq: 2, Name: "x"})
	if repeated := m.Apply(c); repeated != first {
		t.Errorf("result of the repeated command after the release: %+v", repeated)
	}
	if m.Sessions[a].Tokens["x"] != 0 || m.Sessions[b].Tokens["x"] == 0 {
		t.Error("a late copy of OpAcquire took the lease from its new holder")
	}
}

// TestLateOpen checks that a late copy of OpOpen does not supersede a newer session of the same member.
func TestLateOpen(t *testing.T) {
	m := NewStateMachine()
	old := Command{Op: OpOpen, Member: "a", Nonce: "start/0", KnownLastID: m.LastID}
	s := m.Apply(old).SessionID
	m.Apply(Command{Op: OpExpire, SessionID: s})
	next := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "start/1", KnownLastID: m.LastID})
	if r := m.Apply(old); r.Refusal != RefusedStale {
		t.Errorf("result of the late copy: %+v, want RefusedStale", r)
	}
	if _, refusal := m.HoldingsOf(next.SessionID, 0); refusal != "" {
		t.Errorf("the newer session can't be renewed: %v", refusal)
	}
}

// TestSupersededSession checks that a superseded session can't be renewed, but keeps its lease until it expires. Its process may still act
// on the lease until then, so the newer session has to wait.
func TestSupersededSession(t *testing.T) {
	m := NewStateMachine()
	older := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "old"}).SessionID
	m.Apply(Command{Op: OpAcquire, SessionID: older, Seq: 1, Name: "x", Limit: 1})
	newer := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "new", KnownLastID: m.LastID}).SessionID
	if r := m.Apply(Command{Op: OpAcquire, SessionID: newer, Seq: 1, Name: "x", Limit: 1, Wait: true}); r.Token != 0 || r.QueuePosition != 1 {
		t.Errorf("the newer session is not queued behind the superseded one: %+v", r)
	}
	if _, refusal := m.HoldingsOf(older, 0); refusal != RefusedSuperseded {
		t.Errorf("refusal for the superseded session is %q, want RefusedSuperseded", refusal)
	}
	m.Apply(Command{Op: OpExpire, SessionID: older})
	if m.Sessions[newer].Tokens["x"] == 0 {
		t.Error("the newer session does not hold the lease after the superseded one has expired")
	}
}

// TestQueueOrder checks that waiters are granted the lease in the order of their requests, and that a full queue refuses further sessions.
func TestQueueOrder(t *testing.T) {
	m := NewStateMachine()
	var sessions []uint64
	for i := range MaxWaitersPerLease + 3 {
		s := m.Apply(Command{Op: OpOpen, Member: fmt.Sprint("m", i), Nonce: "1", KnownLastID: m.LastID}).SessionID
		sessions = append(sessions, s)
		r := m.Apply(Command{Op: OpAcquire, SessionID: s, Seq: 1, Name: "x", Limit: 1, Wait: true})
		if full := i > MaxWaitersPerLease; full != (r.Refusal == RefusedLimitReached) {
			t.Fatalf("session %d: result %+v, want RefusedLimitReached only once the queue is full", i, r)
		}
	}
	for i, s := range sessions[:1000] {
		if m.Leases["x"].Holders[0].SessionID != s {
			t.Fatalf("waiter %d does not hold the lease at its turn", i)
		}
		m.Apply(Command{Op: OpRelease, SessionID: s, Seq: 2, Name: "x"})
	}
	if err := checkInvariants(m); err != nil {
		t.Error(err)
	}
}
