package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRevokedIsReclaimedLate checks that a revoked lease is granted again only after a whole TTL, when its former holder can't act on it
// any more. A new leader waits for a whole TTL of its own.
func TestRevokedIsReclaimedLate(t *testing.T) {
	m := NewStateMachine()
	a := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "1"}).SessionID
	b := m.Apply(Command{Op: OpOpen, Member: "b", Nonce: "1", KnownLastID: m.LastID}).SessionID
	m.Apply(Command{Op: OpAcquire, SessionID: a, Seq: 1, Name: "x", Limit: 1})
	m.Apply(Command{Op: OpAcquire, SessionID: b, Seq: 1, Name: "x", Limit: 1, Wait: true})
	l := NewLessor(Timing{TTL: time.Second}, 0, m)
	m.Apply(Command{Op: OpRevoke, Name: "x"})
	l.Track(100*time.Millisecond, m)
	for _, s := range []uint64{a, b} {
		l.Renew(time.Second-1, s)
	}
	if m.Sessions[b].Tokens["x"] != 0 {
		t.Fatal("the revoked lease was granted to the waiter before its reclaim")
	}
	if due := l.DueCommands(1100*time.Millisecond-1, m); len(due) != 0 {
		t.Fatalf("commands are due less than a TTL after the revocation: %+v", due)
	}
	l = NewLessor(Timing{TTL: time.Second}, 1050*time.Millisecond, m) // the lessor of a new leader
	if due := l.DueCommands(2050*time.Millisecond-1, m); len(due) != 0 {
		t.Fatalf("commands are due less than a TTL after the election of the new leader: %+v", due)
	}
	for _, c := range l.DueCommands(2050*time.Millisecond, m) {
		m.Apply(c)
	}
	if m.Sessions[b] != nil && m.Sessions[b].Tokens["x"] == 0 {
		t.Error("the reclaimed lease was not granted to the waiter")
	}
}

// TestClientTTL checks that ClientTTL on the slowest clock within the drift ends before TTL on the fastest.
func TestClientTTL(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := Timing{
			TTL:           time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(time.Hour)).Draw(t, "term")),
			MaxClockDrift: rapid.Float64Range(0, 0.2).Draw(t, "drift"),
		}
		holder := float64(timing.ClientTTL()) / (1 - timing.MaxClockDrift)
		if leader := float64(timing.TTL) / (1 + timing.MaxClockDrift); holder > leader*(1+1e-9) {
			t.Fatalf("%+v: the holder stops after %v of true time, the leader grants the lease again after %v", timing, holder, leader)
		}
	})
}

// TestExpiredIsNotRenewed checks that a session can't be renewed once its expiry was proposed, even before the command is applied. A
// renewal in between would let a client act on leases that are granted to another session.
func TestExpiredIsNotRenewed(t *testing.T) {
	m := NewStateMachine()
	a := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "1"}).SessionID
	l := NewLessor(Timing{TTL: time.Second}, 0, m)
	if due := l.DueCommands(time.Second, m); len(due) != 1 || due[0].SessionID != a {
		t.Fatalf("the due commands are %+v, want the expiry of the session", due)
	}
	if l.Renew(time.Second, a) {
		t.Error("the session was renewed after its expiry was proposed")
	}
	if due := l.DueCommands(2*time.Second, m); len(due) != 0 {
		t.Error("the expiry is due a second time")
	}
}
