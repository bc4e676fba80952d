package fleet

import (
	"bufio"
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/goldentest"
	"sorrelrudder/internal/gossip"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
	"sorrelrudder/internal/zonefailover"
	"sorrelrudder/internal/zoneview"
)

// isFleetType accepts types of this package and of package gossip. Package consensus has a test of its own.
func isFleetType(pkgPath string) bool {
	return pkgPath == reflect.TypeFor[Status]().PkgPath() || pkgPath == reflect.TypeFor[gossip.Stats]().PkgPath()
}

func exampleHello() hello {
	return hello{Version: helloVersion, Name: "p0", To: "p1", Fleet: "fleet-a", Nonce: bytes.Repeat([]byte{7}, sha256.Size), Pong: true}
}

func exampleStatus() *Status {
	record := task.Record{Revision: 11, Token: 4, Slot: 20, LastOutcome: task.OutcomeDone}
	return &Status{
		Name: "p0", Incarnation: "n0", Session: 3, Superseded: true, HeldLeases: map[string]HeldLease{"task/sweep": {Token: 4, LeftMs: 900}}, RunningSlots: map[string]int64{"sweep": 20},
		Fleet: "fleet-a", Leader: "p1", LinkErrors: map[string]string{"p2": "refused"}, SentFrames: 100, SentBytes: 2000, Syncs: 30,
		Voter: &consensus.Status{ID: 1, Role: "StateLeader", Term: 3, Commit: 8, Applied: 7, Voters: []uint64{1}}, VoterError: "no disk", Tasks: map[string]task.Record{"sweep": record},
		SharedState: &SharedStateStatus{
			Incarnation: 65537, Members: map[string]string{"p1": "alive"}, Health: 1, InStepMs: 20, DecidedMs: 30,
			Entries: []SharedEntryStatus{{Owner: "p1", Key: "dead/farm/box", Incarnation: 65538, Sequence: 2, Values: []string{"x"}}}, Hints: []string{"farm/box"}, NotApplied: []string{"farm"}, Hinted: 4,
			Zones:   []ZoneStatus{{Pool: "farm", Zone: "a", Endpoints: 3, Excluded: 1, Epoch: 5, Step: 2, Pinned: true, WarmingUp: true, Relapses: 1, Reason: "lost", Cause: "dead"}},
			Digests: map[string]uint64{"order": 9}, Stats: gossip.Stats{Suspicions: 1, Refutations: 2, Deaths: 3, Syncs: 4, SyncsEqual: 5, CatchUpBytes: 6, CatchUpRejected: 7},
			Counts: gossip.Counts{Unknown: 1, Invalid: 2, OverLimit: 3, Conflicts: 4, Stale: 5, ForeignFleet: 6},
		},
	}
}

// TestGoldenMessages checks that messages between processes and operators are encoded and decoded as by earlier versions.
func TestGoldenMessages(t *testing.T) {
	cases := []goldentest.Case{
		goldentest.JSONCase("identity", Identity{Format: storeFormat, Name: "p0", Store: "store-0", Fleet: "fleet-a", ID: 1}),
		goldentest.JSONCase("hello", exampleHello()),
		goldentest.JSONCase("hello/operator", hello{Version: helloVersion, Name: operatorName, Nonce: []byte{1}}),
		goldentest.JSONCase("request", rpc{Handle: 12, Request: consensus.Request{TaskRecords: []string{"sweep"}}}),
		goldentest.JSONCase("response", rpc{Handle: 12, Response: consensus.Response{NotLeader: true, Leader: "p1"}}),
		goldentest.JSONCase("status", rpc{Handle: 12, Status: exampleStatus()}),
		goldentest.JSONCase("operator", rpc{Handle: 12, Bootstrap: true, Handover: &handoverRequest{Name: "task/sweep", To: "p1"}, Forget: "dead/farm/box", Why: "not held"}),
	}
	key := []byte("0123456789abcdef0123456789abcdef")
	for kind, name := range map[byte]string{kindHello: "hello", kindRaft: "raft", kindRequest: "ask", kindResponse: "answer", kindWake: "wake", kindGossip: "gossip", kindPing: "ping", kindPong: "pong"} {
		want := frame{kind, []byte("payload")}
		cases = append(cases, goldentest.Case{Name: "frame/" + name, Value: want, Encode: func() ([]byte, error) {
			var wire recorder
			err := (&conn{Conn: &wire, sendKey: key}).write(want.kind, want.payload)
			return wire.Bytes(), err
		}, Decode: func(data []byte) (any, error) {
			kind, payload, err := (&conn{reader: bufio.NewReader(bytes.NewReader(data)), receiveKey: key}).read(maxFrameBytes)
			return frame{kind, payload}, err
		}})
	}
	slices.SortStableFunc(cases, func(a, b goldentest.Case) int { return strings.Compare(a.Name, b.Name) })
	goldentest.CheckCases(t, "testdata/messages.golden", cases)
	goldentest.CheckFields(t, cases, isFleetType)
}

// recorder is a connection that records what is written.
type recorder struct {
	net.Conn
	bytes.Buffer
}

func (r *recorder) Write(p []byte) (int, error)      { return r.Buffer.Write(p) }
func (r *recorder) Read(p []byte) (int, error)       { return r.Buffer.Read(p) }
func (r *recorder) SetWriteDeadline(time.Time) error { return nil }

// earlierPeer is one end of a connection as in earlier versions. It shares no code with conn on purpose.
type earlierPeer struct {
	net.Conn
	sendKey, receiveKey []byte
}

var earlierSecret = []byte("0123456789abcdef")

func earlierKey(secret []byte, parts ...string) []byte {
	m := hmac.New(sha256.New, secret)
	for _, p := range parts {
		fmt.Fprintf(m, "%s%s", binary.BigEndian.AppendUint32(nil, uint32(len(p))), p)
	}
	return m.Sum(nil)
}

func (p *earlierPeer) write(kind, payload string) error {
	frame := binary.BigEndian.AppendUint32(nil, uint32(1+len(payload)+16))
	frame = append(frame, kind+payload...)
	_, err := p.Write(append(frame, earlierKey(p.sendKey, kind, payload)[:16]...))
	return err
}

func (p *earlierPeer) read() (kind, payload string, err error) {
	var head [4]byte
	if _, err := io.ReadFull(p, head[:]); err != nil {
		return "", "", err
	}
	rest := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(p, rest); err != nil {
		return "", "", err
	}
	end := len(rest) - 16
	kind, payload = string(rest[:1]), string(rest[1:end])
	if !bytes.Equal(earlierKey(p.receiveKey, kind, payload)[:16], rest[end:]) {
		return "", "", fmt.Errorf("frame of kind %q: wrong tag", kind)
	}
	return kind, payload, nil
}

// handshake exchanges hellos as the dialing or the accepting end, and returns the peer's hello.
func (p *earlierPeer) handshake(dials bool, name string) (peer map[string]any, err error) {
	nonce := strings.Repeat("n", 32)
	var peerNonce string
	sendHello := func() error {
		data, err := json.Marshal(map[string]any{"v": 1, "name": name, "nonce": []byte(nonce)})
		if err != nil {
			return err
		}
		return p.write("H", string(data))
	}
	readHello := func() error {
		kind, payload, err := p.read()
		if err != nil || kind != "H" {
			return fmt.Errorf("frame of kind %q in place of a hello: %w", kind, err)
		}
		var h struct {
			Nonce []byte `json:"nonce"`
		}
		if err := json.Unmarshal([]byte(payload), &h); err != nil {
			return err
		}
		peerNonce = string(h.Nonce)
		return json.Unmarshal([]byte(payload), &peer)
	}
	if dials {
		p.sendKey, p.receiveKey = earlierKey(earlierSecret, "hello"), earlierKey(earlierSecret, "answer", nonce)
		if err = sendHello(); err == nil {
			err = readHello()
		}
		p.sendKey, p.receiveKey = earlierKey(earlierSecret, "dialler", nonce, peerNonce), earlierKey(earlierSecret, "other", nonce, peerNonce)
		return peer, err
	}
	p.receiveKey = earlierKey(earlierSecret, "hello")
	if err = readHello(); err == nil {
		p.sendKey = earlierKey(earlierSecret, "answer", peerNonce)
		err = sendHello()
	}
	p.sendKey, p.receiveKey = earlierKey(earlierSecret, "other", peerNonce, nonce), earlierKey(earlierSecret, "dialler", peerNonce, nonce)
	return peer, err
}

// TestPeerOfEarlierVersion checks that a process of an earlier version can be either end of a connection, and that both ends understand
// each other's frames.
func TestPeerOfEarlierVersion(t *testing.T) {
	for _, dials := range []bool{true, false} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		var c *conn
		connectErr := make(chan error, 1)
		connect := func() (err error) {
			if !dials {
				c, err = dial(context.Background(), ln.Addr().String(), earlierSecret, hello{Name: "p0", To: "former", Fleet: "fleet-a"})
				return err
			}
			raw, err := ln.Accept()
			if err == nil {
				c, err = acceptConn(raw, earlierSecret, hello{Name: "p0", Fleet: "fleet-a"}, func(hello) error { return nil })
			}
			return err
		}
		go func() { connectErr <- connect() }()
		p := &earlierPeer{}
		if dials {
			p.Conn, err = net.Dial("tcp", ln.Addr().String())
		} else {
			p.Conn, err = ln.Accept()
		}
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		if err := p.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		sentHello, err := p.handshake(dials, "former")
		if err != nil {
			t.Fatalf("dials %v: %v", dials, err)
		}
		if err := <-connectErr; err != nil {
			t.Fatalf("dials %v: %v", dials, err)
		}
		defer c.Close()
		delete(sentHello, "nonce")
		want := map[string]any{"v": 1.0, "name": "p0", "fleet": "fleet-a", "pong": true}
		if !dials {
			want = map[string]any{"v": 1.0, "name": "p0", "fleet": "fleet-a", "to": "former"}
		}
		if !reflect.DeepEqual(sentHello, want) || c.peer.Name != "former" {
			t.Errorf("dials %v: sent hello %v, want %v; peer %+v", dials, sentHello, want, c.peer)
		}
		if err := c.write(kindRequest, []byte("question")); err != nil {
			t.Error(err)
		}
		if kind, payload, err := p.read(); kind != "Q" || payload != "question" || err != nil {
			t.Errorf("dials %v: earlier version read kind %q, payload %q, error %v", dials, kind, payload, err)
		}
		if err := p.write("A", "answer"); err != nil {
			t.Error(err)
		}
		if kind, payload, err := c.read(maxFrameBytes); kind != kindResponse || string(payload) != "answer" || err != nil {
			t.Errorf("dials %v: read kind %q, payload %q, error %v", dials, kind, payload, err)
		}
	}
}

// writeExampleStore writes a store as the only voter of a fleet: a snapshot after the admission of another member, and then a log entry of
// each kind.
func writeExampleStore(t *testing.T, path string) *consensus.StateMachine {
	t.Helper()
	s, err := OpenStore(path, "p0")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.id.Store = "store-0" // replaces the random ID
	snap, err := consensus.BootstrapSnapshot(consensus.NewStateMachine("fleet-a", "p0", s.id.Store, []string{"p0", "p1"}))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Save(consensus.PersistentState{Snapshot: snap, HardState: consensus.BootstrapHardState()}, true); err != nil {
		t.Fatal(err)
	}
	if err := s.SaveIdentity("fleet-a", 1); err != nil {
		t.Fatal(err)
	}
	n := leadingNode(t, s)
	submit := func(q consensus.Request) {
		t.Helper()
		n.Submit(0, 1, q)
		if out, err := n.Process(0, s); err != nil || len(out.Replies) != 1 || out.Replies[0].Response.NotLeader {
			t.Fatalf("request %+v: replies %+v, error %v", q, out.Replies, err)
		}
	}
	submit(consensus.Request{Voter: &consensus.VoterCommand{Op: consensus.OpAdmit, Name: "p1", StoreID: "store-1"}})
	before, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	for saved := before; saved.Snapshot.GetMetadata().GetIndex() == before.Snapshot.GetMetadata().GetIndex(); {
		n.Tick(0) // until the membership change is applied, which truncates the log
		if _, err := n.Process(0, s); err != nil {
			t.Fatal(err)
		}
		if saved, err = s.Load(); err != nil {
			t.Fatal(err)
		}
	}
	submit(consensus.Request{Lease: &lease.Request{ID: 1, Member: "p0", Command: &lease.Command{Op: lease.OpOpen, Member: "p0", Nonce: "n0.1"}}})
	submit(consensus.Request{Lease: &lease.Request{ID: 2, Member: "p0", SessionID: 1, Command: &lease.Command{Op: lease.OpAcquire, SessionID: 1, Seq: 1, Name: "task/sweep", Limit: 1, Wait: true}}})
	submit(consensus.Request{Voter: &consensus.VoterCommand{Op: consensus.OpAdd, Name: "p2"}})
	submit(consensus.Request{Task: &task.Command{Op: task.OpBegin, Task: "sweep", Slot: 20, Token: 2}})
	submit(consensus.Request{Decision: &consensus.DecisionCommand{Key: "order/farm/box", Value: "out"}})
	return n.StateMachine().Clone()
}

// leadingNode returns the raft node of a store's process once the node is the leader.
func leadingNode(t *testing.T, s *Store) *consensus.Node {
	t.Helper()
	saved, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	n, err := consensus.New(consensus.Config{ID: s.Identity().ID, LeaseTiming: lease.Timing{TTL: time.Second}, Persisted: saved})
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		n.Tick(0)
		if _, err := n.Process(0, s); err != nil {
			t.Fatal(err)
		}
		if n.IsLeader() {
			return n
		}
	}
	t.Fatal("the only voter did not become the leader")
	return nil
}

// dumpStore returns the contents of a store's file, by bucket and key.
func dumpStore(t *testing.T, path string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	all := map[string]string{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				name := string(k)
				if string(bucket) == "entries" {
					name = strconv.FormatUint(binary.BigEndian.Uint64(k), 10)
				}
				all[string(bucket)+"/"+name] = fmt.Sprintf("%q", v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// TestStoreOfEarlierVersion checks that a store written by an earlier version can be opened and read, that this version writes the same
// store, and that the resulting state is the same.
func TestStoreOfEarlierVersion(t *testing.T) {
	const file = "testdata/store.db"
	dir := t.TempDir()
	fresh, earlier := filepath.Join(dir, "fresh.db"), filepath.Join(dir, "former.db")
	machine := writeExampleStore(t, fresh)
	if goldentest.Update() {
		copyFile(t, fresh, file)
	}
	copyFile(t, file, earlier)
	dump := dumpStore(t, fresh)
	names := slices.Sorted(maps.Keys(dump))
	lines := goldentest.Lines(t, "testdata/store.golden", names, func(name string) string { return dump[name] })
	if !maps.Equal(dump, lines) {
		t.Errorf("written now\n got %v\nwant %v", dump, lines)
	}
	if read := dumpStore(t, earlier); !maps.Equal(read, lines) {
		t.Errorf("in the store\n got %v\nwant %v", read, lines)
	}
	s, err := OpenStore(earlier, "p0")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if want := (Identity{Format: 1, Name: "p0", Store: "store-0", Fleet: "fleet-a", ID: 1}); s.Identity() != want {
		t.Errorf("identity %+v, want %+v", s.Identity(), want)
	}
	saved, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	meta, entries := saved.Snapshot.GetMetadata(), saved.Entries
	if saved.HardState.GetTerm() != 2 || saved.HardState.GetVote() != 1 || !slices.Equal(meta.GetConfState().GetLearners(), []uint64{2}) || len(entries) != 5 ||
		entries[0].GetIndex() != meta.GetIndex()+1 {
		t.Errorf("hard state %v, snapshot %v, %d entries", saved.HardState, meta, len(entries))
	}
	if got := leadingNode(t, s).StateMachine().Clone(); !reflect.DeepEqual(got, machine) {
		t.Errorf("the state\n got %+v\nwant %+v", got, machine)
	}
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	data, err := os.ReadFile(from)
	if err == nil {
		err = os.WriteFile(to, data, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestSharedStateFileOfEarlierVersion checks that the shared state file of an earlier version can be read, and that this version writes the
// same file.
func TestSharedStateFileOfEarlierVersion(t *testing.T) {
	const file = "testdata/copies.kept"
	newState := func(path string) *sharedState {
		cfg := gossip.DefaultConfig()
		cfg.Name, cfg.Members, cfg.Kinds, cfg.DecidedKinds = "p", []string{"p", "q"}, []string{gossip.UnreachableKind}, consensus.DecisionKinds
		return &sharedState{cfg: SharedStateConfig{Store: path}, node: gossip.New(0, cfg)}
	}
	shared := newState("")
	shared.node.ApplyDecision("order/farm/box", 4, []byte("out"))
	shared.node.ApplyDecision("zone/farm/b", 5, nil)
	data := shared.snapshot("p")
	if goldentest.Update() {
		if err := writeFileAtomically(file, data); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, want) {
		t.Errorf("written now\n got %x\nwant %x", data, want)
	}
	path := filepath.Join(t.TempDir(), "copies")
	copyFile(t, file, path)
	read := newState(path)
	if err := read.restore(0, "p"); err != nil || read.loaded != 2 {
		t.Fatalf("restored %d entries: %v", read.loaded, err)
	}
	for key, number := range map[string]uint64{"order/farm/box": 4, "zone/farm/b": 5} {
		if e, ok := read.node.Store().Get(gossip.ConsensusOwner, key); !ok || e.Sequence != number {
			t.Errorf("%s: %+v", key, e)
		}
	}
	if read.node.Incarnation() <= shared.node.Incarnation() {
		t.Error("the incarnation of the next start is not larger than the last one")
	}
}

// TestStoredWords checks that names, keys and numbers that are stored or sent keep their spelling and value.
func TestStoredWords(t *testing.T) {
	for _, c := range []struct{ got, want any }{
		{taskLeaseName("sweep"), "task/sweep"}, {zoneview.LeaseName, "zones"}, {operatorName, "operator"},
		{gossip.UnreachableKind, "dead"}, {zoneview.ZoneCheckKind, "look"}, {zoneview.GrayFailureKind, "grey"}, {consensus.OperatorKind, "order"}, {consensus.ZoneKind, "zone"},
		{gossip.PoolKey(consensus.ZoneKind, "farm", "b"), "zone/farm/b"},
		{string(zoneview.EncodeZoneCheck(0, 3)), "0"}, {string(zoneview.EncodeZoneCheck(2, 3)), "p"}, {string(zoneview.EncodeZoneCheck(3, 3)), "1"},
		{zonefailover.State{Step: 2, Manual: true, Relapses: 1, Reason: "lost"}.Encode(), "2 true 1 lost"},
		{zonefailover.State{Step: zonefailover.FullStep, WarmingUp: true, Reason: "back"}.Encode(), "4c false 0 back"},
		{storeFormat, 1}, {helloVersion, 1}, {tagLength, 16},
	} {
		if c.got != c.want {
			t.Errorf("got %v, want %v", c.got, c.want)
		}
	}
}

// requestRecorder is a Sender that records the request.
type requestRecorder struct{ sent *httpmsg.Request }

func (r *requestRecorder) Do(_ context.Context, _ string, q *httpmsg.Request) (httpmsg.InternalResponse, error) {
	r.sent = q
	return httpmsg.InternalResponse{Response: httpmsg.Response{Status: http.StatusOK}}, nil
}

// TestSlotRequest checks that endpoints receive the same request for a slot as from earlier versions, in particular the same keys and tokens.
func TestSlotRequest(t *testing.T) {
	clock, err := NewClock()
	if err != nil {
		t.Fatal(err)
	}
	var pools requestRecorder
	host := &Host{ctx: t.Context(), clock: clock, sender: &pools}
	cfg := Task{Spec: task.Spec{Name: "sweep", Idempotency: task.IdempotentByKey}, Pool: "farm", Method: "POST", Path: "/delivery-order/sweep?all=1", Tenant: "depot", Body: "body"}
	r := &taskRunner{cfg: cfg, core: task.NewRunner(cfg.Spec, time.Second, time.Second)}
	host.sendTaskRequest(r, task.SlotRequest{Slot: 20, Key: "sweep-20", Token: 4, Attempt: 2, Deadline: clock.Now() + time.Minute})
	q := pools.sent
	left := q.Header.Get("X-Timeout-Ms")
	want := &httpmsg.Request{
		Method: "POST", URI: "/delivery-order/sweep?all=1", Path: "/delivery-order/sweep", Host: "farm", Length: 4, Body: []byte("body"),
		Header: http.Header{
			"X-Request-Id": {"sweep-20-4-2"}, "X-Timeout-Ms": {left}, "Fencing-Token": {"4"}, "Task-Slot": {"sweep-20"}, "Idempotency-Key": {"sweep-20"}, "X-Tenant-Id": {"depot"},
		},
	}
	if left == "" || !reflect.DeepEqual(q, want) {
		t.Errorf("request %+v, want %+v", q, want)
	}
}
