package lease

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
)

// fingerprint returns a key of a state. States that differ only in the values of their IDs and tokens, but not in their order, have equal
// keys.
func fingerprint(m *StateMachine) string {
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
		l := m.Leases[name]
		if l == nil {
			fmt.Fprint(&b, "-;")
			continue
		}
		for _, g := range l.Holders {
			fmt.Fprint(&b, m.Sessions[g.SessionID].Member, rank(g.SessionID), "/", rank(g.Token), g.Revoked, ",")
		}
		for _, id := range l.Waiters {
			fmt.Fprint(&b, "w", m.Sessions[id].Member, rank(id))
		}
		b.WriteByte(';')
	}
	for _, id := range slices.Sorted(maps.Keys(m.Sessions)) {
		fmt.Fprint(&b, m.Sessions[id].Member, rank(id), m.Sessions[id].Superseded)
	}
	return b.String()
}

// possibleCommands returns all commands that the sessions of m, an operator and the leader may send. depth makes the nonces of OpOpen
// differ.
func possibleCommands(m *StateMachine, depth int) []Command {
	var all []Command
	for _, id := range slices.Sorted(maps.Keys(m.Sessions)) {
		s := m.Sessions[id]
		all = append(all, Command{Op: OpExpire, SessionID: id}, Command{Op: OpOpen, Member: s.Member, Nonce: fmt.Sprint(depth, "+", id), KnownLastID: m.LastID})
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
	return all
}

// TestExhaustive checks the invariants in every state that three members and two leases can reach with up to depth commands. It logs the
// number of states. The environment variable SORRELRUDDER_DEPTH sets the depth.
func TestExhaustive(t *testing.T) {
	depth := 4
	if n, err := strconv.Atoi(os.Getenv("SORRELRUDDER_DEPTH")); err == nil {
		depth = n
	}
	start := NewStateMachine()
	for _, member := range []string{"a", "b", "c"} {
		start.Apply(Command{Op: OpOpen, Member: member, Nonce: "0", KnownLastID: start.LastID})
	}
	seen := map[string]bool{fingerprint(start): true}
	level := []*StateMachine{start}
	steps := 0
	for d := range depth {
		var next []*StateMachine
		for _, m := range level {
			data, err := m.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range possibleCommands(m, d) {
				copied, err := Restore(data)
				if err != nil {
					t.Fatal(err)
				}
				copied.Apply(c)
				steps++
				if err := checkInvariants(copied); err != nil {
					t.Fatalf("after %+v on %s: %v", c, data, err)
				}
				if key := fingerprint(copied); !seen[key] {
					seen[key] = true
					next = append(next, copied)
				}
			}
		}
		level = next
	}
	t.Logf("%d states within %d steps, %d transitions", len(seen), depth, steps)
	if len(seen) < 1000 {
		t.Error("fewer than 1000 states were checked")
	}
}
