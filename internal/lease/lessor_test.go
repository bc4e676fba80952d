package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRevokedIsReclaimedLate: nobody else has a revoked lease before its holder has surely stopped, also under a new leader.
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
		t.Fatal("given away at once")
	}
	if due := l.DueCommands(1100*time.Millisecond-1, m); len(due) != 0 {
		t.Fatalf("too early: %+v", due)
	}
	l = NewLessor(Timing{TTL: time.Second}, 1050*time.Millisecond, m) // another leads now
	if due := l.DueCommands(2050*time.Millisecond-1, m); len(due) != 0 {
		t.Fatalf("too early for the new leader: %+v", due)
	}
	for _, c := range l.DueCommands(2050*time.Millisecond, m) {
		m.Apply(c)
	}
	if m.Sessions[b] != nil && m.Sessions[b].Tokens["x"] == 0 {
		t.Error("never given to the next")
	}
}

// TestClientTTL: for all drifts a holder's clock at its slowest counts its budget before a leader's at its fastest counts the term.
func TestClientTTL(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Timing{
			TTL:           time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(time.Hour)).Draw(t, "term")),
			MaxClockDrift: rapid.Float64Range(0, 0.2).Draw(t, "drift"),
		}
		holder := float64(r.ClientTTL()) / (1 - r.MaxClockDrift)
		if leader := float64(r.TTL) / (1 + r.MaxClockDrift); holder > leader*(1+1e-9) {
			t.Fatalf("%+v: the holder stops after %v, the leader gives it away after %v", r, holder, leader)
		}
	})
}

// TestExpiredIsNotRenewed: what was told as ended can't be renewed any more, also before the log says so.
func TestExpiredIsNotRenewed(t *testing.T) {
	m := NewStateMachine()
	a := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "1"}).SessionID
	l := NewLessor(Timing{TTL: time.Second}, 0, m)
	if due := l.DueCommands(time.Second, m); len(due) != 1 || due[0].SessionID != a {
		t.Fatalf("%+v", due)
	}
	if l.Renew(time.Second, a) {
		t.Error("renewed after its end was proposed")
	}
	if due := l.DueCommands(2*time.Second, m); len(due) != 0 {
		t.Error("proposed twice")
	}
}
