package fleet

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 20 * time.Second

func eventually(t testing.TB, what string, is func() bool) {
	t.Helper()
	for until := time.Now().Add(patience); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("waited %v in vain: %s", patience, what)
		}
	}
}

// servers stand for the pools: they answer all.
type servers struct {
	mu   sync.Mutex
	seen []string
}

func (s *servers) Do(_ context.Context, _ string, q *httpmsg.Request) (httpmsg.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, q.Header.Get("Idempotency-Key"))
	return httpmsg.Response{Status: 200}, nil
}

func (s *servers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

// addresses counts those that were handed out.
var addresses atomic.Int32

// freeAddr is on a loopback address of its own: connections that go out may take any free port of the usual one meanwhile.
func freeAddr(t testing.TB) string {
	t.Helper()
	n := addresses.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.%d:0", n/200, 1+n%200))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func secretFile(t testing.TB) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(name, []byte("0123456789abcdef"), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// fleet makes the configurations of n processes, of which all vote, founded by the first.
func fleet(t testing.TB, n int, tasks ...Task) []Config {
	t.Helper()
	dir, secret := t.TempDir(), secretFile(t)
	members := map[string]string{}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("p", i))
		members[names[i]] = freeAddr(t)
	}
	var all []Config
	for _, name := range names {
		all = append(all, Config{
			Name: name, Secret: secret, Store: filepath.Join(dir, name+".db"), Voters: names, Members: members, Tick: 10 * time.Millisecond,
			LeaseTiming: lease.Timing{TTL: 600 * time.Millisecond, MaxClockDrift: 0.01, SafetyMargin: 10 * time.Millisecond}, Tasks: tasks,
		})
	}
	s, err := OpenStore(all[0].Store, names[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Bootstrap(names); err != nil {
		t.Fatal(err)
	}
	if err := s.Bootstrap(names); err == nil {
		t.Error("a fleet was founded twice with one store")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return all
}

func start(t testing.TB, cfg Config, s Sender) *Host {
	t.Helper()
	tr, err := New(cfg, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	if err := tr.Start(s); err != nil {
		t.Fatal(err)
	}
	return tr
}

// TestThreeProcesses: one of three holds a lease and does the task; when it ends in order another has both within far less than a term.
func TestThreeProcesses(t *testing.T) {
	farm := &servers{}
	cfgs := fleet(t, 3, Task{
		Spec: task.Spec{Name: "sweep", Interval: 20 * time.Millisecond, Missed: task.MissedRunNewest, Idempotency: task.IdempotentByKey, DedupWindow: time.Minute, Deadline: 200 * time.Millisecond, MaxAttempts: 3},
		Pool: "farm", Method: "POST", Path: "/delivery-order/sweep",
	})
	var all []*Host
	for _, cfg := range cfgs {
		all = append(all, start(t, cfg, farm))
	}
	holder := func() int {
		for i, tr := range all {
			if tr == nil {
				continue
			}
			if _, _, ok := tr.HeldLease("task/sweep"); ok {
				return i
			}
		}
		return -1
	}
	eventually(t, "somebody does the task", func() bool { return holder() >= 0 && farm.count() > 5 })
	first := holder()
	ctx, cancel, token, err := all[first].GuardLease(context.Background(), "task/sweep")
	if err != nil {
		t.Fatal(err)
	}
	defer cancel()
	all[first].Leave()
	select {
	case <-ctx.Done():
	case <-time.After(patience):
		t.Error("the guard outlives the lease")
	}
	if err := all[first].Close(); err != nil {
		t.Error(err)
	}
	all[first] = nil
	before := farm.count()
	eventually(t, "another goes on", func() bool { return holder() >= 0 && farm.count() > before+5 })
	if now, _, _ := all[holder()].HeldLease("task/sweep"); now <= token {
		t.Errorf("token %d after %d", now, token)
	}
	for _, tr := range all {
		if tr != nil {
			if err := tr.Close(); err != nil {
				t.Error(err)
			}
		}
	}
	seen := map[string]bool{}
	for _, key := range farm.seen {
		if seen[key] {
			t.Errorf("slot %s was sent twice though every answer came", key)
		}
		seen[key] = true
	}
}

// TestAnotherDisk: a member whose store is gone comes back with another identity, which does not vote until an operator says so. The
// guard is against its old promises counting for a process that does not know them.
func TestAnotherDisk(t *testing.T) {
	cfgs := fleet(t, 3)
	var all []*Host
	for _, cfg := range cfgs {
		all = append(all, start(t, cfg, &servers{}))
	}
	defer func() {
		for _, tr := range all {
			tr.Close()
		}
	}()
	status := func(tr *Host) *Status {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		o, err := Connect(ctx, tr.Addr(), tr.cfg.Secret)
		if err != nil {
			t.Fatal(err)
		}
		defer o.Close()
		s, err := o.Status(ctx)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	eventually(t, "three vote", func() bool { s := status(all[0]); return s.Voter != nil && len(s.Voter.Voters) == 3 })
	was := status(all[2]).Voter.ID
	if err := all[2].Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(cfgs[2].Store); err != nil {
		t.Fatal(err)
	}
	all[2] = start(t, cfgs[2], &servers{})
	eventually(t, "it listens", func() bool {
		s := status(all[2])
		return s.Voter != nil && len(s.Voter.Learners) == 1 && s.Voter.Learners[0] == s.Voter.ID
	})
	if s := status(all[2]); s.Voter.ID == was || len(s.Voter.Voters) != 3 {
		t.Errorf("identity %d again, or who votes has changed: %+v", s.Voter.ID, s.Voter)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	o, err := Connect(ctx, all[1].Addr(), cfgs[1].Secret)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	r, err := o.Request(ctx, consensus.Request{Voter: &consensus.VoterCommand{Op: consensus.OpReplace, Name: "p2"}})
	if err != nil || r.Voter == nil || r.Voter.Refusal != "" {
		t.Fatalf("%+v, %v", r.Voter, err)
	}
	eventually(t, "it votes", func() bool {
		s := status(all[2])
		return len(s.Voter.Learners) == 0 && len(s.Voter.Voters) == 3 && s.Voter.Voters[2] == s.Voter.ID
	})
}

// TestTurnedAway: who does not prove the secret, is no member, or sends what is no frame is closed, and what comes after it is served.
func TestTurnedAway(t *testing.T) {
	cfg := fleet(t, 1)[0]
	tr := start(t, cfg, &servers{})
	defer tr.Close()
	other := filepath.Join(t.TempDir(), "other")
	if err := os.WriteFile(other, []byte("another secret of theirs"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if _, err := Connect(ctx, tr.Addr(), other); err == nil {
		t.Error("another secret is let in")
	}
	if _, err := dial(ctx, tr.Addr(), tr.secret, hello{Name: "nobody"}); err == nil {
		t.Error("one that is no member is let in")
	}
	if _, err := dial(ctx, tr.Addr(), tr.secret, hello{Name: "p0", Fleet: "another"}); err == nil {
		t.Error("one of another fleet is let in")
	}
	for name, bytes := range map[string][]byte{
		"too long":  binary.BigEndian.AppendUint32(nil, 1<<31),
		"too short": binary.BigEndian.AppendUint32(nil, 1),
		"garbage":   []byte("GET / HTTP/1.1\r\n\r\n"),
		"cut off":   append(binary.BigEndian.AppendUint32(nil, 100), 'H'),
	} {
		c, err := net.Dial("tcp", tr.Addr())
		if err != nil {
			t.Fatal(err)
		}
		c.Write(bytes)
		if name == "cut off" {
			c.(*net.TCPConn).CloseWrite()
		}
		c.SetReadDeadline(time.Now().Add(patience))
		if n, _ := c.Read(make([]byte, 1)); n != 0 {
			t.Errorf("%s: an answer", name)
		}
		c.Close()
	}
	// One that has proven the secret and then sends a frame that was changed on the way.
	c, err := dial(ctx, tr.Addr(), tr.secret, hello{Name: operatorName})
	if err != nil {
		t.Fatal(err)
	}
	c.sendKey = deriveKey([]byte("wrong"))
	if err := c.write(kindRequest, []byte("{}")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.read(maxFrameBytes); err == nil {
		t.Error("a changed frame is answered")
	}
	c.Close()
	o, err := Connect(ctx, tr.Addr(), cfg.Secret)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	if _, err := o.Status(ctx); err != nil {
		t.Errorf("after all that: %v", err)
	}
}

func entry(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Data: []byte(data)}
}

// TestStore: what was saved is what is read, after entries were replaced, dropped before a snapshot, and dropped whole by one of another's.
func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	s, err := OpenStore(path, "p")
	if err != nil {
		t.Fatal(err)
	}
	save := func(v consensus.PersistentState) {
		t.Helper()
		if err := s.Save(v, true); err != nil {
			t.Fatal(err)
		}
	}
	term, commit := uint64(3), uint64(2)
	save(consensus.PersistentState{HardState: &raftpb.HardState{Term: &term, Commit: &commit}, Entries: []*raftpb.Entry{entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 2, "c"), entry(4, 2, "d")}})
	save(consensus.PersistentState{Entries: []*raftpb.Entry{entry(3, 3, "C")}})
	snap := &raftpb.Snapshot{Data: []byte("state"), Metadata: &raftpb.SnapshotMetadata{Index: &commit, Term: &term}}
	save(consensus.PersistentState{Snapshot: snap})
	if err := s.SaveIdentity("fleet", 7); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenStore(path, "p"); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("opened twice: %v", err)
	}
	s.Close()
	if _, err := OpenStore(path, "q"); err == nil || !strings.Contains(err.Error(), `is the store of "p"`) {
		t.Errorf("another's store: %v", err)
	}
	if s, err = OpenStore(path, "p"); err != nil {
		t.Fatal(err)
	}
	v, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	if id := s.Identity(); id.ID != 7 || id.Fleet != "fleet" || len(v.Entries) != 1 || string(v.Entries[0].GetData()) != "C" ||
		v.HardState.GetTerm() != 3 || !proto.Equal(v.Snapshot, snap) {
		t.Errorf("%+v, %+v", id, v)
	}
	save(consensus.PersistentState{Snapshot: snap, ReplaceLog: true})
	if v, err = s.Load(); err != nil || len(v.Entries) != 0 {
		t.Errorf("entries of another history are left: %+v, %v", v.Entries, err)
	}
	s.Close()
}

// TestDamagedStore: a bit that flips in what is kept is found, the start stops with the way out, and nothing is deleted.
func TestDamagedStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	s, err := OpenStore(path, "p")
	if err != nil {
		t.Fatal(err)
	}
	mark := "a promise that is kept"
	if err := s.Save(consensus.PersistentState{Entries: []*raftpb.Entry{entry(1, 1, mark)}}, true); err != nil {
		t.Fatal(err)
	}
	s.Close()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	whole := bytes.Clone(data)
	for at := 0; ; at++ { // every copy of the page that it stands in
		next := bytes.Index(data[at:], []byte(mark))
		if next < 0 {
			break
		}
		at += next
		data[at] ^= 1
	}
	if bytes.Equal(whole, data) {
		t.Fatal("the mark is not in the file")
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err = OpenStore(path, "p")
	if err == nil {
		_, err = s.Load()
		s.Close()
	}
	if err == nil || !strings.Contains(err.Error(), "tier member replace") {
		t.Errorf("%v", err)
	}
	if left, _ := os.ReadFile(path); len(left) != len(whole) {
		t.Error("something was deleted")
	}
	if err := os.WriteFile(path, data[:len(data)/3], 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := OpenStore(path, "p"); err == nil {
		if _, err = s.Load(); err == nil {
			t.Error("a store that was cut off is taken")
		}
		s.Close()
	}
}

// FuzzFrame: whatever comes, a frame is refused or read, and no memory is taken for what was only announced.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 20, 'H', 1, 2, 3})
	f.Add(binary.BigEndian.AppendUint32(nil, maxFrameBytes))
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			far.Write(data)
			far.Close()
		}()
		near.SetDeadline(time.Now().Add(patience))
		if c, err := acceptConn(near, []byte("0123456789abcdef"), hello{Name: "p"}, func(hello) error { return nil }); err == nil {
			t.Errorf("let in: %+v", c.peer)
		}
	})
}

// FuzzMessage: what a peer says of the log is refused or taken, and never ends the process.
func FuzzMessage(f *testing.F) {
	f.Add([]byte{8, 3, 16, 1, 24, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := consensus.DecodeMessage(data)
		if err != nil {
			return
		}
		n, err := consensus.New(consensus.Config{ID: 1, LeaseTiming: lease.Timing{TTL: time.Second}})
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Step(0, m); err != nil {
			return // refused: the fuzzer looks for panics
		}
	})
}

// TestHoldForScripts: of three that want a lease of two, the third has it once one of the others has given it up.
func TestHoldForScripts(t *testing.T) {
	cfgs := fleet(t, 1)
	tr := start(t, cfgs[0], &servers{})
	defer tr.Close()
	type holder struct {
		token chan uint64
		end   context.CancelFunc
		err   chan error
	}
	var all []holder
	for range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		o, err := Connect(ctx, tr.Addr(), cfgs[0].Secret)
		if err != nil {
			t.Fatal(err)
		}
		h := holder{make(chan uint64, 1), cancel, make(chan error, 1)}
		go func() {
			defer o.Close()
			h.err <- o.HoldLease(ctx, "patch", 2, cfgs[0].LeaseTiming, func(token uint64) { h.token <- token })
		}()
		all = append(all, h)
	}
	var tokens []uint64
	next := func() (token uint64, who int) {
		select {
		case token = <-all[0].token:
		case token = <-all[1].token:
			who = 1
		case token = <-all[2].token:
			who = 2
		case <-time.After(patience):
			t.Fatal("nobody gets the lease")
		}
		return token, who
	}
	first, who := next()
	second, _ := next()
	tokens = append(tokens, first, second)
	select {
	case token := <-all[0].token:
		t.Errorf("a third has it, by %d", token)
	case token := <-all[1].token:
		t.Errorf("a third has it, by %d", token)
	case token := <-all[2].token:
		t.Errorf("a third has it, by %d", token)
	case <-time.After(2 * cfgs[0].LeaseTiming.TTL):
	}
	all[who].end()
	if err := <-all[who].err; err != nil {
		t.Error(err)
	}
	if third, _ := next(); third <= max(tokens[0], tokens[1]) {
		t.Errorf("token %d after %v", third, tokens)
	}
	for i, h := range all {
		h.end()
		if i != who {
			if err := <-h.err; err != nil {
				t.Error(err)
			}
		}
	}
}
