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

const testTimeout = 20 * time.Second

// eventually polls condition until it returns true. It fails the test after testTimeout.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("condition not met within %v: %s", testTimeout, what)
		}
	}
}

// fakeSender is a Sender whose pools answer every request. It records the idempotency keys.
type fakeSender struct {
	mu   sync.Mutex
	seen []string
}

func (s *fakeSender) Do(_ context.Context, _ string, q *httpmsg.Request) (httpmsg.InternalResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, q.Header.Get("Idempotency-Key"))
	return httpmsg.InternalResponse{Response: httpmsg.Response{Status: 200}}, nil
}

func (s *fakeSender) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

// addresses counts the addresses that freeAddr has returned.
var addresses atomic.Int32

// freeAddr returns a free address on a loopback IP of its own. A port of the usual loopback IP could meanwhile be taken by an outgoing
// connection.
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

// secretFile writes a file with the fleet secret and returns its name.
func secretFile(t testing.TB) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(name, []byte("0123456789abcdef"), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func quietLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// newFleetConfigs returns the configurations of n processes which all vote. The store of the first process is bootstrapped.
func newFleetConfigs(t testing.TB, n int, tasks ...Task) []Config {
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
		t.Error("a store was bootstrapped twice")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return all
}

// startHost creates and starts a host. It fails the test on an error.
func startHost(t testing.TB, cfg Config, s Sender) *Host {
	t.Helper()
	host, err := New(cfg, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	if err := host.Start(s); err != nil {
		t.Fatal(err)
	}
	return host
}

// TestThreeProcesses checks that one of three processes holds the lease and runs the task, and that another process takes over both after
// the first has left gracefully. This takes far less than a lease's TTL.
func TestThreeProcesses(t *testing.T) {
	sender := &fakeSender{}
	cfgs := newFleetConfigs(t, 3, Task{
		Spec: task.Spec{Name: "sweep", Interval: 20 * time.Millisecond, Missed: task.MissedRunNewest, Idempotency: task.IdempotentByKey, DedupWindow: time.Minute, Deadline: 200 * time.Millisecond, MaxAttempts: 3},
		Pool: "farm", Method: "POST", Path: "/delivery-order/sweep",
	})
	var all []*Host
	for _, cfg := range cfgs {
		all = append(all, startHost(t, cfg, sender))
	}
	holder := func() int {
		for i, host := range all {
			if host == nil {
				continue
			}
			if _, _, ok := host.HeldLease("task/sweep"); ok {
				return i
			}
		}
		return -1
	}
	eventually(t, "a process runs the task", func() bool { return holder() >= 0 && sender.count() > 5 })
	first := holder()
	ctx, cancel, token, err := all[first].GuardLease(context.Background(), "task/sweep")
	if err != nil {
		t.Fatal(err)
	}
	defer cancel()
	all[first].Leave()
	select {
	case <-ctx.Done():
	case <-time.After(testTimeout):
		t.Error("the context of GuardLease is not canceled after the lease has ended")
	}
	if err := all[first].Close(); err != nil {
		t.Error(err)
	}
	all[first] = nil
	before := sender.count()
	eventually(t, "another process continues the task", func() bool { return holder() >= 0 && sender.count() > before+5 })
	if now, _, _ := all[holder()].HeldLease("task/sweep"); now <= token {
		t.Errorf("fencing token %d after %d: the token must grow", now, token)
	}
	for _, host := range all {
		if host != nil {
			if err := host.Close(); err != nil {
				t.Error(err)
			}
		}
	}
	seen := map[string]bool{}
	for _, key := range sender.seen {
		if seen[key] {
			t.Errorf("slot %s was sent twice although every request was answered", key)
		}
		seen[key] = true
	}
}

// TestReplacedStore guards against earlier votes and acknowledgments of a voter counting for a process that does not know them. A member
// whose store is gone comes back with another identity. This identity does not vote until an operator lets it replace the old one.
func TestReplacedStore(t *testing.T) {
	cfgs := newFleetConfigs(t, 3)
	var all []*Host
	for _, cfg := range cfgs {
		all = append(all, startHost(t, cfg, &fakeSender{}))
	}
	defer func() {
		for _, host := range all {
			host.Close()
		}
	}()
	status := func(host *Host) *Status {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		o, err := Connect(ctx, host.Addr(), host.cfg.Secret)
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
	eventually(t, "three members vote", func() bool { s := status(all[0]); return s.Voter != nil && len(s.Voter.Voters) == 3 })
	was := status(all[2]).Voter.ID
	if err := all[2].Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(cfgs[2].Store); err != nil {
		t.Fatal(err)
	}
	all[2] = startHost(t, cfgs[2], &fakeSender{})
	eventually(t, "the member with the new store is a learner", func() bool {
		s := status(all[2])
		return s.Voter != nil && len(s.Voter.Learners) == 1 && s.Voter.Learners[0] == s.Voter.ID
	})
	if s := status(all[2]); s.Voter.ID == was || len(s.Voter.Voters) != 3 {
		t.Errorf("identity %d is used again, or the voters have changed: %+v", s.Voter.ID, s.Voter)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	o, err := Connect(ctx, all[1].Addr(), cfgs[1].Secret)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	r, err := o.Request(ctx, consensus.Request{Voter: &consensus.VoterCommand{Op: consensus.OpReplace, Name: "p2"}})
	if err != nil || r.Voter == nil || r.Voter.Refusal != "" {
		t.Fatalf("replacing the voter: response %+v, error %v", r.Voter, err)
	}
	eventually(t, "the member with the new store votes", func() bool {
		s := status(all[2])
		return len(s.Voter.Learners) == 0 && len(s.Voter.Voters) == 3 && s.Voter.Voters[2] == s.Voter.ID
	})
}

// TestRejectedConnections checks that the host closes the connection of a peer that does not prove the secret, is not a member or sends
// malformed frames, and that it serves the next connection.
func TestRejectedConnections(t *testing.T) {
	cfg := newFleetConfigs(t, 1)[0]
	host := startHost(t, cfg, &fakeSender{})
	defer host.Close()
	other := filepath.Join(t.TempDir(), "other")
	if err := os.WriteFile(other, []byte("another secret of theirs"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := Connect(ctx, host.Addr(), other); err == nil {
		t.Error("a connection with another secret was accepted")
	}
	if _, err := dial(ctx, host.Addr(), host.secret, hello{Name: "nobody"}); err == nil {
		t.Error("a peer that is not a member was accepted")
	}
	if _, err := dial(ctx, host.Addr(), host.secret, hello{Name: "p0", Fleet: "another"}); err == nil {
		t.Error("a peer of another fleet was accepted")
	}
	for name, bytes := range map[string][]byte{
		"too long":  binary.BigEndian.AppendUint32(nil, 1<<31),
		"too short": binary.BigEndian.AppendUint32(nil, 1),
		"garbage":   []byte("GET / HTTP/1.1\r\n\r\n"),
		"cut off":   append(binary.BigEndian.AppendUint32(nil, 100), 'H'),
	} {
		c, err := net.Dial("tcp", host.Addr())
		if err != nil {
			t.Fatal(err)
		}
		c.Write(bytes)
		if name == "cut off" {
			c.(*net.TCPConn).CloseWrite()
		}
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if n, _ := c.Read(make([]byte, 1)); n != 0 {
			t.Errorf("%s: the host sent a response", name)
		}
		c.Close()
	}
	// A peer that has proven the secret sends a frame that was altered in transit.
	c, err := dial(ctx, host.Addr(), host.secret, hello{Name: operatorName})
	if err != nil {
		t.Fatal(err)
	}
	c.sendKey = deriveKey([]byte("wrong"))
	if err := c.write(kindRequest, []byte("{}")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.read(maxFrameBytes); err == nil {
		t.Error("an altered frame was answered")
	}
	c.Close()
	o, err := Connect(ctx, host.Addr(), cfg.Secret)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	if _, err := o.Status(ctx); err != nil {
		t.Errorf("status request after the rejected connections: %v", err)
	}
}

func entry(index, term uint64, data string) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Data: []byte(data)}
}

// TestStore checks that a store returns what was saved, after entries were replaced, after entries before a snapshot were deleted, and
// after a snapshot of another log replaced all entries.
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
		t.Errorf("opening the store twice: %v", err)
	}
	s.Close()
	if _, err := OpenStore(path, "q"); err == nil || !strings.Contains(err.Error(), `is the store of "p"`) {
		t.Errorf("opening the store of another member: %v", err)
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
		t.Errorf("identity %+v, state %+v", id, v)
	}
	save(consensus.PersistentState{Snapshot: snap, ReplaceLog: true})
	if v, err = s.Load(); err != nil || len(v.Entries) != 0 {
		t.Errorf("entries of the replaced log are left: %+v, %v", v.Entries, err)
	}
	s.Close()
}

// TestDamagedStore checks that a flipped bit in the store is detected, that the error at the start names the command for recovery, and that
// nothing is deleted.
func TestDamagedStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	s, err := OpenStore(path, "p")
	if err != nil {
		t.Fatal(err)
	}
	mark := "data of the log entry"
	if err := s.Save(consensus.PersistentState{Entries: []*raftpb.Entry{entry(1, 1, mark)}}, true); err != nil {
		t.Fatal(err)
	}
	s.Close()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	whole := bytes.Clone(data)
	for at := 0; ; at++ { // flip a bit in every copy of the page with the mark
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
		t.Errorf("reading a damaged store: got error %v, want one that names the command for recovery", err)
	}
	if left, _ := os.ReadFile(path); len(left) != len(whole) {
		t.Error("the length of the damaged file has changed")
	}
	if err := os.WriteFile(path, data[:len(data)/3], 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := OpenStore(path, "p"); err == nil {
		if _, err = s.Load(); err == nil {
			t.Error("a truncated store was accepted")
		}
		s.Close()
	}
}

// FuzzFrame checks that any input is read as a frame or rejected, and that no memory is allocated for a length that is only announced.
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
		near.SetDeadline(time.Now().Add(testTimeout))
		if c, err := acceptConn(near, []byte("0123456789abcdef"), hello{Name: "p"}, func(hello) error { return nil }); err == nil {
			t.Errorf("connection accepted: %+v", c.peer)
		}
	})
}

// FuzzMessage checks that a peer's raft message is rejected or applied, and never ends the process.
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
			return // rejected: the fuzzer looks for panics
		}
	})
}

// TestHoldLease checks that of three operators who request a lease with a limit of two, the third holds the lease once one of the others
// has released it.
func TestHoldLease(t *testing.T) {
	cfgs := newFleetConfigs(t, 1)
	host := startHost(t, cfgs[0], &fakeSender{})
	defer host.Close()
	type holder struct {
		token chan uint64
		end   context.CancelFunc
		err   chan error
	}
	var all []holder
	for range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		o, err := Connect(ctx, host.Addr(), cfgs[0].Secret)
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
		case <-time.After(testTimeout):
			t.Fatal("no operator got the lease")
		}
		return token, who
	}
	first, who := next()
	second, _ := next()
	tokens = append(tokens, first, second)
	select {
	case token := <-all[0].token:
		t.Errorf("a third operator holds the lease, with token %d", token)
	case token := <-all[1].token:
		t.Errorf("a third operator holds the lease, with token %d", token)
	case token := <-all[2].token:
		t.Errorf("a third operator holds the lease, with token %d", token)
	case <-time.After(2 * cfgs[0].LeaseTiming.TTL):
	}
	all[who].end()
	if err := <-all[who].err; err != nil {
		t.Error(err)
	}
	if third, _ := next(); third <= max(tokens[0], tokens[1]) {
		t.Errorf("fencing token %d after %v: the token must grow", third, tokens)
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
