package lease

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// sound says what of a state must not be.
func sound(m *StateMachine) error {
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

// TestMachine holds for every order of commands: no more holders than may be, tokens that only grow, nobody who waits for what is free,
// and a copy made by a snapshot that goes on as the original.
func TestMachine(t *testing.T) {
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
			if err := sound(m); err != nil {
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

// TestAskedAgain: the answer to a command whose first answer was lost is the same, whatever has happened to others since.
func TestAskedAgain(t *testing.T) {
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

// TestTwoOfOneName: the older of two processes with one name gets nothing more, and keeps what it has until it has surely stopped.
func TestTwoOfOneName(t *testing.T) {
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

// TestThousandWaiters: they are served in their order, each once, and beyond the bound nobody waits.
func TestThousandWaiters(t *testing.T) {
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
	if err := sound(m); err != nil {
		t.Error(err)
	}
}

// TestRevoked: nobody else has a revoked lease before its holder has surely stopped, also under a new leader.
func TestRevoked(t *testing.T) {
	m := NewStateMachine()
	a := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "1"}).SessionID
	b := m.Apply(Command{Op: OpOpen, Member: "b", Nonce: "1", KnownLastID: m.LastID}).SessionID
	m.Apply(Command{Op: OpAcquire, SessionID: a, Seq: 1, Name: "x", Limit: 1})
	m.Apply(Command{Op: OpAcquire, SessionID: b, Seq: 1, Name: "x", Limit: 1, Wait: true})
	l := NewLessor(Timing{TTL: time.Second}, 0, m)
	m.Apply(Command{Op: OpRevoke, Name: "x"})
	l.Sync(100*time.Millisecond, m)
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

// TestBudget: for all drifts a holder's clock at its slowest counts its budget before a leader's at its fastest counts the term.
func TestBudget(t *testing.T) {
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

// TestExpired: what was told as ended can't be renewed any more, also before the log says so.
func TestExpired(t *testing.T) {
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

// ask finds the ask of a kind among those that a keeper sends.
func ask(t *testing.T, k *Client, now time.Duration, op Op) Request {
	t.Helper()
	if op == "" {
		k.Refresh() // a renewal may be under way already
	}
	asks, _ := k.Next(now)
	for _, a := range asks {
		if a.Command == nil && op == "" || a.Command != nil && a.Command.Op == op {
			return a
		}
	}
	t.Fatalf("no %q among %+v", op, asks)
	return Request{}
}

// holding is a keeper that holds "x" since 0, and the machine that gave it.
func holding(t *testing.T, r Timing) (*Client, *StateMachine) {
	t.Helper()
	m := NewStateMachine()
	k := NewClient(r, "a", "start")
	k.Acquire("x", 1)
	look := ask(t, k, 0, "")
	k.HandleResponse(Response{ID: look.ID, Refusal: RefusedNoSession, LastID: m.LastID})
	for _, op := range []Op{OpOpen, OpAcquire} {
		a := ask(t, k, 0, op)
		res := m.Apply(*a.Command)
		k.HandleResponse(Response{ID: a.ID, Result: &res})
	}
	return k, m
}

// TestHolderReckonsFromBeforeItAsked: however late an answer comes, and however often, it is worth what it was when it was asked for.
func TestHolderReckonsFromBeforeItAsked(t *testing.T) {
	r := Timing{TTL: 10 * time.Second, MaxClockDrift: 0.01}
	k, m := holding(t, r)
	if _, _, ok := k.Token(0, "x"); ok {
		t.Fatal("it acts before its session was ever renewed")
	}
	renewal := ask(t, k, time.Second, "")
	listing, _ := m.HoldingsOf(k.SessionID(), 0)
	answer := Response{ID: renewal.ID, Holdings: &listing}
	k.HandleResponse(answer)
	_, until, ok := k.Token(9*time.Second, "x")
	if !ok || until != time.Second+r.ClientTTL() {
		t.Errorf("until %v, asked at 1 s with a budget of %v", until, r.ClientTTL())
	}
	k.HandleResponse(answer) // a late copy
	if _, _, ok := k.Token(20*time.Second, "x"); ok {
		t.Error("a late copy of the answer has it act again")
	}
}

// TestReleaseEndsAtOnce: from the moment that a release is asked nothing is done, whatever becomes of the asking.
func TestReleaseEndsAtOnce(t *testing.T) {
	k, m := holding(t, Timing{TTL: 10 * time.Second})
	renewal := ask(t, k, 0, "")
	listing, _ := m.HoldingsOf(k.SessionID(), 0)
	k.HandleResponse(Response{ID: renewal.ID, Holdings: &listing})
	if _, _, ok := k.Token(0, "x"); !ok {
		t.Fatal("not held")
	}
	k.Release("x", "")
	release := ask(t, k, 0, OpRelease)
	k.Acquire("x", 1) // it is wanted again before the answer
	if _, _, ok := k.Token(0, "x"); ok {
		t.Fatal("it acts while its release is under way")
	}
	k.Refresh()
	again := ask(t, k, 0, "")
	k.HandleResponse(Response{ID: again.ID, Holdings: &Holdings{Version: listing.Version + 1, Tokens: listing.Tokens}})
	if _, _, ok := k.Token(0, "x"); ok {
		t.Fatal("a listing from before the release has it act")
	}
	res := m.Apply(*release.Command)
	k.HandleResponse(Response{ID: release.ID, Result: &res})
	if a := ask(t, k, 0, OpAcquire); a.Command.Name != "x" {
		t.Errorf("%+v", a)
	}
}

// TestRevokedAtHolder: a listing without the lease ends the holder's right.
func TestRevokedAtHolder(t *testing.T) {
	k, m := holding(t, Timing{TTL: 10 * time.Second})
	m.Apply(Command{Op: OpRevoke, Name: "x"})
	a := ask(t, k, 0, "")
	listing, _ := m.HoldingsOf(k.SessionID(), 0)
	k.HandleResponse(Response{ID: a.ID, Holdings: &listing})
	if _, _, ok := k.Token(0, "x"); ok {
		t.Error("it acts on a revoked lease")
	}
}

// TestClosedActsNoMore: a listing that arrives while all is given up must not bring a lease back (found by tier-explore, seed 10122).
func TestClosedActsNoMore(t *testing.T) {
	k, m := holding(t, Timing{TTL: 10 * time.Second})
	a := ask(t, k, 0, "")
	listing, _ := m.HoldingsOf(k.SessionID(), 0)
	k.Close()
	ask(t, k, 0, OpClose)
	k.HandleResponse(Response{ID: a.ID, Holdings: &listing})
	if _, _, ok := k.Token(0, "x"); ok || len(k.Held(0)) > 0 {
		t.Error("it acts on what it has given up")
	}
}

// TestSuperseded: the older of two processes of one name asks no more.
func TestSuperseded(t *testing.T) {
	k, _ := holding(t, Timing{TTL: 10 * time.Second})
	a := ask(t, k, 0, "")
	k.HandleResponse(Response{ID: a.ID, Refusal: RefusedSuperseded})
	if asks, _ := k.Next(time.Minute); len(asks) != 0 || !k.Superseded() {
		t.Errorf("%+v", asks)
	}
}

// TestExhaustive plays every order of commands of three processes on two leases, up to a depth, and tells how many states there are.
func TestExhaustive(t *testing.T) {
	type key string
	// States that differ in nothing but the size of their numbers are one: what matters is their order.
	normal := func(m *StateMachine) key {
		numbers := []uint64{}
		for id, s := range m.Sessions {
			numbers = append(numbers, id)
			for _, token := range s.Tokens {
				numbers = append(numbers, token)
			}
		}
		for token := range m.Revoked {
			numbers = append(numbers, token)
		}
		slices.Sort(numbers)
		rank := func(n uint64) int { i, _ := slices.BinarySearch(numbers, n); return i }
		var b bytes.Buffer
		for _, name := range []string{"x", "y"} {
			e := m.Leases[name]
			if e == nil {
				fmt.Fprint(&b, "-;")
				continue
			}
			for _, h := range e.Holders {
				fmt.Fprint(&b, m.Sessions[h.SessionID].Member, rank(h.SessionID), "/", rank(h.Token), h.Revoked, ",")
			}
			for _, w := range e.Waiters {
				fmt.Fprint(&b, "w", m.Sessions[w].Member, rank(w))
			}
			b.WriteByte(';')
		}
		for _, id := range slices.Sorted(maps.Keys(m.Sessions)) {
			fmt.Fprint(&b, m.Sessions[id].Member, rank(id), m.Sessions[id].Superseded)
		}
		return key(b.String())
	}
	depth := 4
	if n, err := strconv.Atoi(os.Getenv("SORRELRUDDER_DEPTH")); err == nil {
		depth = n
	}
	start := NewStateMachine()
	for _, member := range []string{"a", "b", "c"} {
		start.Apply(Command{Op: OpOpen, Member: member, Nonce: "0", KnownLastID: start.LastID})
	}
	seen := map[key]bool{normal(start): true}
	level := []*StateMachine{start}
	steps := 0
	for d := range depth {
		var next []*StateMachine
		for _, m := range level {
			data, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			var all []Command
			for _, id := range slices.Sorted(maps.Keys(m.Sessions)) {
				s := m.Sessions[id]
				all = append(all, Command{Op: OpExpire, SessionID: id}, Command{Op: OpOpen, Member: s.Member, Nonce: fmt.Sprint(d, "+", id), KnownLastID: m.LastID})
				for _, name := range []string{"x", "y"} {
					all = append(all, Command{Op: OpAcquire, SessionID: id, Seq: s.LastSeq + 1, Name: name, Limit: 1, Wait: true},
						Command{Op: OpRelease, SessionID: id, Seq: s.LastSeq + 1, Name: name},
						Command{Op: OpTransfer, SessionID: id, Seq: s.LastSeq + 1, Name: name, To: "b"})
				}
			}
			for _, name := range []string{"x", "y"} {
				all = append(all, Command{Op: OpRevoke, Name: name})
			}
			for token, name := range m.Revoked {
				all = append(all, Command{Op: OpReclaim, Name: name, Token: token})
			}
			for _, c := range all {
				copied, err := Restore(data)
				if err != nil {
					t.Fatal(err)
				}
				copied.Apply(c)
				steps++
				if err := sound(copied); err != nil {
					t.Fatalf("after %+v on %s: %v", c, data, err)
				}
				if k := normal(copied); !seen[k] {
					seen[k] = true
					next = append(next, copied)
				}
			}
		}
		level = next
	}
	t.Logf("%d states within %d steps, %d transitions", len(seen), depth, steps)
	if len(seen) < 1000 {
		t.Error("hardly anything was looked at")
	}
}

// FuzzRestore: what is read from a disk or a peer is refused, or can be worked with.
func FuzzRestore(f *testing.F) {
	m := NewStateMachine()
	a := m.Apply(Command{Op: OpOpen, Member: "a", Nonce: "1"}).SessionID
	m.Apply(Command{Op: OpAcquire, SessionID: a, Seq: 1, Name: "x", Limit: 1})
	data, err := m.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"sessions":{},"names":{"x":null},"revoked":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Restore(data)
		if err != nil {
			return
		}
		for _, c := range []Command{
			{Op: OpAcquire, SessionID: 1, Seq: 200, Name: "x", Limit: 1, Wait: true}, {Op: OpRevoke, Name: "x"}, {Op: OpRelease, SessionID: 1, Seq: 201, Name: "x"},
			{Op: OpExpire, SessionID: 1}, {Op: OpOpen, Member: "a", Nonce: "z", KnownLastID: m.LastID},
		} {
			m.Apply(c)
		}
	})
}
