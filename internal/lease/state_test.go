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
	for name, e := range m.Leases {
		if len(e.Holders) > e.Limit {
			return fmt.Errorf("%d hold %q, of which %d may", len(e.Holders), name, e.Limit)
		}
		if len(e.Waiters) > 0 && len(e.Holders) < e.Limit {
			return fmt.Errorf("some wait for %q, which is free", name)
		}
		if len(e.Holders)+len(e.Waiters) == 0 {
			return fmt.Errorf("%q is kept for nobody", name)
		}
		for _, h := range e.Holders {
			if tokens[h.Token] {
				return fmt.Errorf("token %d was given twice", h.Token)
			}
			tokens[h.Token] = true
			if got := m.Sessions[h.SessionID].Tokens[name]; (got == h.Token) == h.Revoked {
				return fmt.Errorf("%q: the holder by %d and its session disagree", name, h.Token)
			}
		}
	}
	return nil
}

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

// TestStateMachine holds for every order of commands: no more holders than may be, tokens that only grow, nobody who waits for what is free,
// and a copy made by a snapshot that goes on as the original.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewStateMachine()
		given := map[uint64]bool{}
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
			r, again := m.Apply(c), copied.Apply(c)
			if r != again {
				t.Fatalf("%+v: %+v, and of a copy %+v", c, r, again)
			}
			if err := checkInvariants(m); err != nil {
				t.Fatalf("after %+v: %v", c, err)
			}
			newest := last
			for _, e := range m.Leases {
				for _, h := range e.Holders {
					if !given[h.Token] && h.Token <= last {
						t.Fatalf("%+v: token %d after %d", c, h.Token, last)
					}
					given[h.Token] = true
					newest = max(newest, h.Token)
				}
			}
			last = newest
		}
	})
}

// TestCommandSentAgain: the answer to a command whose first answer was lost is the same, whatever has happened to others since.
func TestCommandSentAgain(t *testing.T) {
	m := NewStateMachine()
	a := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "1"}).SessionID
	b := m.Apply(Command{Op: OpOpen, Member: "b", Nonce: "1", KnownLastID: m.LastID}).SessionID
	c := Command{Op: OpAcquire, SessionID: a, Seq: 1, Name: "x", Limit: 1}
	first := m.Apply(c)
	m.Apply(Command{Op: OpAcquire, SessionID: b, Seq: 1, Name: "x", Limit: 1, Wait: true})
	if again := m.Apply(c); again != first || first.Token == 0 {
		t.Errorf("%+v, and asked again %+v", first, again)
	}
	m.Apply(Command{Op: OpRelease, SessionID: a, Seq: 2, Name: "x"})
	if again := m.Apply(c); again != first {
		t.Errorf("after its release: %+v", again)
	}
	if m.Sessions[a].Tokens["x"] != 0 || m.Sessions[b].Tokens["x"] == 0 {
		t.Error("a late copy took the lease back")
	}
}

// TestLateOpen: a copy of an old Open that arrives when the process has a newer session must not take its place.
func TestLateOpen(t *testing.T) {
	m := NewStateMachine()
	old := Command{Op: OpOpen, Member: "a", Nonce: "start/0", KnownLastID: m.LastID}
	s := m.Apply(old).SessionID
	m.Apply(Command{Op: OpExpire, SessionID: s})
	next := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "start/1", KnownLastID: m.LastID})
	if r := m.Apply(old); r.Refusal != RefusedStale {
		t.Errorf("the late copy: %+v", r)
	}
	if _, why := m.HoldingsOf(next.SessionID, 0); why != "" {
		t.Errorf("the session in force: %v", why)
	}
}

// TestSupersededSession: the older of two processes with one name gets nothing more, and keeps what it has until it has surely stopped.
func TestSupersededSession(t *testing.T) {
	m := NewStateMachine()
	older := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "old"}).SessionID
	m.Apply(Command{Op: OpAcquire, SessionID: older, Seq: 1, Name: "x", Limit: 1})
	newer := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "new", KnownLastID: m.LastID}).SessionID
	if r := m.Apply(Command{Op: OpAcquire, SessionID: newer, Seq: 1, Name: "x", Limit: 1, Wait: true}); r.Token != 0 || r.QueuePosition != 1 {
		t.Errorf("the newer has it at once: %+v", r)
	}
	if _, why := m.HoldingsOf(older, 0); why != RefusedSuperseded {
		t.Errorf("the older can be renewed: %v", why)
	}
	m.Apply(Command{Op: OpExpire, SessionID: older})
	if m.Sessions[newer].Tokens["x"] == 0 {
		t.Error("the newer does not get it once the older has ended")
	}
}

// TestQueueOrder: they are served in their order, each once, and beyond the bound nobody waits.
func TestQueueOrder(t *testing.T) {
	m := NewStateMachine()
	var sessions []uint64
	for i := range MaxWaitersPerLease + 3 {
		s := m.Apply(Command{Op: OpOpen, Member: fmt.Sprint("m", i), Nonce: "1", KnownLastID: m.LastID}).SessionID
		sessions = append(sessions, s)
		r := m.Apply(Command{Op: OpAcquire, SessionID: s, Seq: 1, Name: "x", Limit: 1, Wait: true})
		if full := i > MaxWaitersPerLease; full != (r.Refusal == RefusedLimitReached) {
			t.Fatalf("waiter %d: %+v", i, r)
		}
	}
	for i, s := range sessions[:1000] {
		if m.Leases["x"].Holders[0].SessionID != s {
			t.Fatalf("turn %d is not its", i)
		}
		m.Apply(Command{Op: OpRelease, SessionID: s, Seq: 2, Name: "x"})
	}
	if err := checkInvariants(m); err != nil {
		t.Error(err)
	}
}
