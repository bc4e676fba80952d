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
func sound(m *Machine) error {
	if err := m.whole(); err != nil {
		return err
	}
	tokens := map[uint64]bool{}
	for name, e := range m.Names {
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
			if got := m.Sessions[h.Session].Holds[name]; (got == h.Token) == h.Revoked {
				return fmt.Errorf("%q: the holder by %d and its session disagree", name, h.Token)
			}
		}
	}
	return nil
}

func drawCommand(t *rapid.T, m *Machine) Command {
	sessions := append([]uint64{99}, slices.Sorted(maps.Keys(m.Sessions))...)
	c := Command{
		Op:      rapid.SampledFrom([]Op{Open, Acquire, Acquire, Acquire, Release, Pass, Close, Expire, Revoke, Free}).Draw(t, "op"),
		Member:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "member"),
		Nonce:   rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "nonce"),
		Session: rapid.SampledFrom(sessions).Draw(t, "session"),
		Seq:     uint64(rapid.IntRange(0, 40).Draw(t, "seq")),
		Name:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"),
		Limit:   rapid.IntRange(1, 2).Draw(t, "limit"),
		Wait:    rapid.Bool().Draw(t, "wait"),
		To:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "to"),
		After:   m.Last,
	}
	for token := range m.Revoked {
		c.Token = max(c.Token, token)
	}
	if c.Op != Free {
		c.Token = 0
	}
	return c
}

// TestMachine holds for every order of commands: no more holders than may be, tokens that only grow, nobody who waits for what is free,
// and a copy made by a snapshot that goes on as the original.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
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
			for _, e := range m.Names {
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
	m := NewMachine()
	a := m.Apply(Command{Op: Open, Member: "a", Nonce: "1"}).Session
	b := m.Apply(Command{Op: Open, Member: "b", Nonce: "1", After: m.Last}).Session
	c := Command{Op: Acquire, Session: a, Seq: 1, Name: "x", Limit: 1}
	first := m.Apply(c)
	m.Apply(Command{Op: Acquire, Session: b, Seq: 1, Name: "x", Limit: 1, Wait: true})
	if again := m.Apply(c); again != first || first.Token == 0 {
		t.Errorf("%+v, and asked again %+v", first, again)
	}
	m.Apply(Command{Op: Release, Session: a, Seq: 2, Name: "x"})
	if again := m.Apply(c); again != first {
		t.Errorf("after its release: %+v", again)
	}
	if m.Sessions[a].Holds["x"] != 0 || m.Sessions[b].Holds["x"] == 0 {
		t.Error("a late copy took the lease back")
	}
}

// TestLateOpen: a copy of an old Open that arrives when the process has a newer session must not take its place.
func TestLateOpen(t *testing.T) {
	m := NewMachine()
	old := Command{Op: Open, Member: "a", Nonce: "start/0", After: m.Last}
	s := m.Apply(old).Session
	m.Apply(Command{Op: Expire, Session: s})
	next := m.Apply(Command{Op: Open, Member: "a", Nonce: "start/1", After: m.Last})
	if r := m.Apply(old); r.Why != Forgotten {
		t.Errorf("the late copy: %+v", r)
	}
	if _, why := m.List(next.Session, 0); why != "" {
		t.Errorf("the session in force: %v", why)
	}
}

// TestTwoOfOneName: the older of two processes with one name gets nothing more, and keeps what it has until it has surely stopped.
func TestTwoOfOneName(t *testing.T) {
	m := NewMachine()
	older := m.Apply(Command{Op: Open, Member: "a", Nonce: "old"}).Session
	m.Apply(Command{Op: Acquire, Session: older, Seq: 1, Name: "x", Limit: 1})
	newer := m.Apply(Command{Op: Open, Member: "a", Nonce: "new", After: m.Last}).Session
	if r := m.Apply(Command{Op: Acquire, Session: newer, Seq: 1, Name: "x", Limit: 1, Wait: true}); r.Token != 0 || r.Place != 1 {
		t.Errorf("the newer has it at once: %+v", r)
	}
	if _, why := m.List(older, 0); why != Superseded {
		t.Errorf("the older can be renewed: %v", why)
	}
	m.Apply(Command{Op: Expire, Session: older})
	if m.Sessions[newer].Holds["x"] == 0 {
		t.Error("the newer does not get it once the older has ended")
	}
}

// TestThousandWaiters: they are served in their order, each once, and beyond the bound nobody waits.
func TestThousandWaiters(t *testing.T) {
	m := NewMachine()
	var sessions []uint64
	for i := range MostWaiters + 3 {
		s := m.Apply(Command{Op: Open, Member: fmt.Sprint("m", i), Nonce: "1", After: m.Last}).Session
		sessions = append(sessions, s)
		r := m.Apply(Command{Op: Acquire, Session: s, Seq: 1, Name: "x", Limit: 1, Wait: true})
		if full := i > MostWaiters; full != (r.Why == Full) {
			t.Fatalf("waiter %d: %+v", i, r)
		}
	}
	for i, s := range sessions[:1000] {
		if m.Names["x"].Holders[0].Session != s {
			t.Fatalf("turn %d is not its", i)
		}
		m.Apply(Command{Op: Release, Session: s, Seq: 2, Name: "x"})
	}
	if err := sound(m); err != nil {
		t.Error(err)
	}
}

// TestRevoked: nobody else has a revoked lease before its holder has surely stopped, also under a new leader.
func TestRevoked(t *testing.T) {
	m := NewMachine()
	a := m.Apply(Command{Op: Open, Member: "a", Nonce: "1"}).Session
	b := m.Apply(Command{Op: Open, Member: "b", Nonce: "1", After: m.Last}).Session
	m.Apply(Command{Op: Acquire, Session: a, Seq: 1, Name: "x", Limit: 1})
	m.Apply(Command{Op: Acquire, Session: b, Seq: 1, Name: "x", Limit: 1, Wait: true})
	l := NewLessor(Rules{Term: time.Second}, 0, m)
	m.Apply(Command{Op: Revoke, Name: "x"})
	l.Applied(100*time.Millisecond, m)
	for _, s := range []uint64{a, b} {
		l.Renew(time.Second-1, s)
	}
	if m.Sessions[b].Holds["x"] != 0 {
		t.Fatal("given away at once")
	}
	if due := l.Due(1100*time.Millisecond-1, m); len(due) != 0 {
		t.Fatalf("too early: %+v", due)
	}
	l = NewLessor(Rules{Term: time.Second}, 1050*time.Millisecond, m) // another leads now
	if due := l.Due(2050*time.Millisecond-1, m); len(due) != 0 {
		t.Fatalf("too early for the new leader: %+v", due)
	}
	for _, c := range l.Due(2050*time.Millisecond, m) {
		m.Apply(c)
	}
	if m.Sessions[b] != nil && m.Sessions[b].Holds["x"] == 0 {
		t.Error("never given to the next")
	}
}

// TestBudget: for all drifts a holder's clock at its slowest counts its budget before a leader's at its fastest counts the term.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Rules{
			Term:  time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(time.Hour)).Draw(t, "term")),
			Drift: rapid.Float64Range(0, 0.2).Draw(t, "drift"),
		}
		holder := float64(r.Budget()) / (1 - r.Drift)
		if leader := float64(r.Term) / (1 + r.Drift); holder > leader*(1+1e-9) {
			t.Fatalf("%+v: the holder stops after %v, the leader gives it away after %v", r, holder, leader)
		}
	})
}

// TestExpired: what was told as ended can't be renewed any more, also before the log says so.
func TestExpired(t *testing.T) {
	m := NewMachine()
	a := m.Apply(Command{Op: Open, Member: "a", Nonce: "1"}).Session
	l := NewLessor(Rules{Term: time.Second}, 0, m)
	if due := l.Due(time.Second, m); len(due) != 1 || due[0].Session != a {
		t.Fatalf("%+v", due)
	}
	if l.Renew(time.Second, a) {
		t.Error("renewed after its end was proposed")
	}
	if due := l.Due(2*time.Second, m); len(due) != 0 {
		t.Error("proposed twice")
	}
}

// ask finds the ask of a kind among those that a keeper sends.
func ask(t *testing.T, k *Keeper, now time.Duration, op Op) Ask {
	t.Helper()
	if op == "" {
		k.Wake() // a renewal may be under way already
	}
	asks, _ := k.Next(now)
	for _, a := range asks {
		if a.Command == nil && op == "" || a.Command != nil && a.Command.Op == op {
			return a
		}
	}
	t.Fatalf("no %q among %+v", op, asks)
	return Ask{}
}

// holding is a keeper that holds "x" since 0, and the machine that gave it.
func holding(t *testing.T, r Rules) (*Keeper, *Machine) {
	t.Helper()
	m := NewMachine()
	k := NewKeeper(r, "a", "start")
	k.Want("x", 1)
	look := ask(t, k, 0, "")
	k.Answered(0, Answer{ID: look.ID, Why: NoSession, Last: m.Last})
	for _, op := range []Op{Open, Acquire} {
		a := ask(t, k, 0, op)
		res := m.Apply(*a.Command)
		k.Answered(0, Answer{ID: a.ID, Result: &res})
	}
	return k, m
}

// TestHolderReckonsFromBeforeItAsked: however late an answer comes, and however often, it is worth what it was when it was asked for.
func TestHolderReckonsFromBeforeItAsked(t *testing.T) {
	r := Rules{Term: 10 * time.Second, Drift: 0.01}
	k, m := holding(t, r)
	if _, _, ok := k.Holding(0, "x"); ok {
		t.Fatal("it acts before its session was ever renewed")
	}
	renewal := ask(t, k, time.Second, "")
	listing, _ := m.List(k.Session(), 0)
	answer := Answer{ID: renewal.ID, Listing: &listing}
	k.Answered(9*time.Second, answer)
	_, until, ok := k.Holding(9*time.Second, "x")
	if !ok || until != time.Second+r.Budget() {
		t.Errorf("until %v, asked at 1 s with a budget of %v", until, r.Budget())
	}
	k.Answered(20*time.Second, answer) // a late copy
	if _, _, ok := k.Holding(20*time.Second, "x"); ok {
		t.Error("a late copy of the answer has it act again")
	}
}

// TestReleaseEndsAtOnce: from the moment that a release is asked nothing is done, whatever becomes of the asking.
func TestReleaseEndsAtOnce(t *testing.T) {
	k, m := holding(t, Rules{Term: 10 * time.Second})
	renewal := ask(t, k, 0, "")
	listing, _ := m.List(k.Session(), 0)
	k.Answered(0, Answer{ID: renewal.ID, Listing: &listing})
	if _, _, ok := k.Holding(0, "x"); !ok {
		t.Fatal("not held")
	}
	k.Unwant("x", "")
	release := ask(t, k, 0, Release)
	k.Want("x", 1) // it is wanted again before the answer
	if _, _, ok := k.Holding(0, "x"); ok {
		t.Fatal("it acts while its release is under way")
	}
	k.Wake()
	again := ask(t, k, 0, "")
	k.Answered(0, Answer{ID: again.ID, Listing: &Listing{Version: listing.Version + 1, Holds: listing.Holds}})
	if _, _, ok := k.Holding(0, "x"); ok {
		t.Fatal("a listing from before the release has it act")
	}
	res := m.Apply(*release.Command)
	k.Answered(0, Answer{ID: release.ID, Result: &res})
	if a := ask(t, k, 0, Acquire); a.Command.Name != "x" {
		t.Errorf("%+v", a)
	}
}

// TestRevokedAtHolder: a listing without the lease ends the holder's right.
func TestRevokedAtHolder(t *testing.T) {
	k, m := holding(t, Rules{Term: 10 * time.Second})
	m.Apply(Command{Op: Revoke, Name: "x"})
	a := ask(t, k, 0, "")
	listing, _ := m.List(k.Session(), 0)
	k.Answered(0, Answer{ID: a.ID, Listing: &listing})
	if _, _, ok := k.Holding(0, "x"); ok {
		t.Error("it acts on a revoked lease")
	}
}

// TestClosedActsNoMore: a listing that arrives while all is given up must not bring a lease back (found by tier-explore, seed 10122).
func TestClosedActsNoMore(t *testing.T) {
	k, m := holding(t, Rules{Term: 10 * time.Second})
	a := ask(t, k, 0, "")
	listing, _ := m.List(k.Session(), 0)
	k.Close()
	ask(t, k, 0, Close)
	k.Answered(0, Answer{ID: a.ID, Listing: &listing})
	if _, _, ok := k.Holding(0, "x"); ok || len(k.Held(0)) > 0 {
		t.Error("it acts on what it has given up")
	}
}

// TestSuperseded: the older of two processes of one name asks no more.
func TestSuperseded(t *testing.T) {
	k, _ := holding(t, Rules{Term: 10 * time.Second})
	a := ask(t, k, 0, "")
	k.Answered(0, Answer{ID: a.ID, Why: Superseded})
	if asks, _ := k.Next(time.Minute); len(asks) != 0 || !k.Gone() {
		t.Errorf("%+v", asks)
	}
}

// TestExhaustive plays every order of commands of three processes on two leases, up to a depth, and tells how many states there are.
func TestExhaustive(t *testing.T) {
	type key string
	// States that differ in nothing but the size of their numbers are one: what matters is their order.
	normal := func(m *Machine) key {
		numbers := []uint64{}
		for id, s := range m.Sessions {
			numbers = append(numbers, id)
			for _, token := range s.Holds {
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
			e := m.Names[name]
			if e == nil {
				fmt.Fprint(&b, "-;")
				continue
			}
			for _, h := range e.Holders {
				fmt.Fprint(&b, m.Sessions[h.Session].Member, rank(h.Session), "/", rank(h.Token), h.Revoked, ",")
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
	start := NewMachine()
	for _, member := range []string{"a", "b", "c"} {
		start.Apply(Command{Op: Open, Member: member, Nonce: "0", After: start.Last})
	}
	seen := map[key]bool{normal(start): true}
	level := []*Machine{start}
	steps := 0
	for d := range depth {
		var next []*Machine
		for _, m := range level {
			data, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			var all []Command
			for _, id := range slices.Sorted(maps.Keys(m.Sessions)) {
				s := m.Sessions[id]
				all = append(all, Command{Op: Expire, Session: id}, Command{Op: Open, Member: s.Member, Nonce: fmt.Sprint(d, "+", id), After: m.Last})
				for _, name := range []string{"x", "y"} {
					all = append(all, Command{Op: Acquire, Session: id, Seq: s.Seq + 1, Name: name, Limit: 1, Wait: true},
						Command{Op: Release, Session: id, Seq: s.Seq + 1, Name: name},
						Command{Op: Pass, Session: id, Seq: s.Seq + 1, Name: name, To: "b"})
				}
			}
			for _, name := range []string{"x", "y"} {
				all = append(all, Command{Op: Revoke, Name: name})
			}
			for token, name := range m.Revoked {
				all = append(all, Command{Op: Free, Name: name, Token: token})
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
	m := NewMachine()
	a := m.Apply(Command{Op: Open, Member: "a", Nonce: "1"}).Session
	m.Apply(Command{Op: Acquire, Session: a, Seq: 1, Name: "x", Limit: 1})
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
			{Op: Acquire, Session: 1, Seq: 200, Name: "x", Limit: 1, Wait: true}, {Op: Revoke, Name: "x"}, {Op: Release, Session: 1, Seq: 201, Name: "x"},
			{Op: Expire, Session: 1}, {Op: Open, Member: "a", Nonce: "z", After: m.Last},
		} {
			m.Apply(c)
		}
	})
}
