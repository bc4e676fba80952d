package consensus

import (
	"encoding/json"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"sorrelrudder/internal/goldentest"
	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// messageCase returns the golden case of a raft message.
func messageCase(name string, m *raftpb.Message) goldentest.Case {
	return protoCase(name, m, func() ([]byte, error) { return EncodeMessage(m) }, func(data []byte) (any, error) { return DecodeMessage(data) })
}

// protoCase returns the golden case of a protobuf message.
func protoCase(name string, value proto.Message, encode func() ([]byte, error), decode func([]byte) (any, error)) goldentest.Case {
	return goldentest.Case{Name: name, Value: value, Encode: encode, Decode: decode, Equal: func(decoded, value any) bool {
		return proto.Equal(decoded.(proto.Message), value.(proto.Message))
	}}
}

// isProjectPackage reports whether a package belongs to this project.
func isProjectPackage(pkgPath string) bool { return strings.HasPrefix(pkgPath, "sorrelrudder/") }

// exampleStateMachine returns a state with a non-zero value in each stored field.
func exampleStateMachine() *StateMachine {
	leases := &lease.StateMachine{
		LastID: 9,
		Sessions: map[uint64]*lease.Session{
			3: {Member: "p0", Nonce: "n0.1", Version: 4, LastSeq: 2, Results: map[uint64]lease.Result{2: exampleLeaseResult()}, Tokens: map[string]uint64{"task/sweep": 4}, Waiting: map[string]bool{}},
			5: {Member: "p1", Nonce: "n1.1", Superseded: true, Version: 6, Results: map[uint64]lease.Result{}, Tokens: map[string]uint64{}, Waiting: map[string]bool{"task/sweep": true}},
		},
		Leases: map[string]*lease.Lease{
			"task/sweep": {Limit: 1, Holders: []lease.Grant{{SessionID: 3, Token: 4}}, Waiters: []uint64{5}},
			"zones":      {Limit: 2, Holders: []lease.Grant{{SessionID: 5, Token: 6, Revoked: true}}},
		},
		Revoked: map[uint64]string{6: "zones"},
	}
	return &StateMachine{
		FleetID: "fleet-a", LastVoterID: 4, VoterNames: []string{"p0", "p1"}, Volatile: true, Leases: leases, LastDecision: 2, DeciderToken: 6,
		Voters: map[string]*Voter{"p0": {RaftID: 1, StoreID: "store-0", Votes: true}, "p1": {RaftID: 4, StoreID: "store-1", ReplacedID: 2}},
		Decisions: map[string]*Decision{
			"order/farm/box": {Number: 1, Value: "out"},
			"zone/farm/b":    {Number: 2, Value: "0 false 1 lost", Withdrawn: true, Token: 6},
		},
		Tasks: &task.Registry{AdmissionSeq: 7, Tasks: map[string]*task.Record{"sweep": ptr(exampleRecord())}},
	}
}

func exampleLeaseResult() lease.Result {
	return lease.Result{Refusal: lease.RefusedHeld, SessionID: 3, Token: 4, QueuePosition: 1, Version: 4, PreviousVersion: 3}
}

func exampleRecord() task.Record {
	return task.Record{
		Revision: 11, Token: 4, Slot: 20, Open: true, BegunBy: 4, Attempts: 2, LastOutcome: task.OutcomeDone, OutcomeCounts: map[task.Outcome]int64{task.OutcomeDone: 5, task.OutcomeUnknown: 1}, Skipped: 3, Triggered: true,
		WaitingSince: 6, Priority: 2, PassedOver: 1, Period: 8, Requests: 12, TookMs: 340,
	}
}

func exampleCommands() (lease.Command, VoterCommand, task.Command, DecisionCommand) {
	return lease.Command{
			Op: lease.OpAcquire, Member: "p0", Nonce: "n0.1", KnownLastID: 2, SessionID: 3, Seq: 2, Name: "task/sweep", Limit: 1, Wait: true, To: "p1", Token: 4,
		}, VoterCommand{Op: OpAdmit, Name: "p1", StoreID: "store-1", Volatile: true}, task.Command{
			Op: task.OpFinish, Task: "sweep", Slot: 20, Token: 4, Rerun: true, Outcome: task.OutcomeFailed, Skipped: 3, MaxOpen: 5, Priority: 2, Period: 8, Requests: 12, TookMs: 340,
		}, DecisionCommand{Key: "zone/farm/b", Value: "0 false 1 lost", Withdraw: true, Token: 6, BasedOn: 1, NewestZoneDecision: 2, Conditional: true}
}

func ptr[T any](v T) *T { return &v }

func exampleEntries() []*raftpb.Entry {
	return []*raftpb.Entry{
		{Index: ptr(uint64(8)), Term: ptr(uint64(2)), Type: raftpb.EntryNormal.Enum(), Data: []byte("data")},
		{Index: ptr(uint64(9)), Term: ptr(uint64(3)), Type: raftpb.EntryConfChangeV2.Enum(), Data: []byte("change")},
	}
}

func exampleSnapshot() *raftpb.Snapshot {
	return &raftpb.Snapshot{Data: []byte("state"), Metadata: &raftpb.SnapshotMetadata{
		Index: ptr(uint64(7)), Term: ptr(uint64(2)), ConfState: &raftpb.ConfState{Voters: []uint64{1, 2}, Learners: []uint64{4}, VotersOutgoing: []uint64{3}},
	}}
}

// TestGoldenEncodings checks that log entries, snapshots and messages have the same encoding as in earlier versions.
func TestGoldenEncodings(t *testing.T) {
	leaseCommand, voterCommand, taskCommand, decisionCommand := exampleCommands()
	fleet := exampleStateMachine()
	cases := []goldentest.Case{
		goldentest.JSONCase("entry/lease", proposal{Term: 2, ID: 10, Lease: &leaseCommand}),
		goldentest.JSONCase("entry/seat", proposal{Term: 2, ID: 11, Voter: &voterCommand}),
		goldentest.JSONCase("entry/slot", proposal{Term: 2, ID: 12, Task: &taskCommand}),
		goldentest.JSONCase("entry/order", proposal{Term: 2, ID: 13, Decision: &decisionCommand}),
		{Name: "snapshot", Value: fleet, Encode: fleet.snapshot, Decode: func(data []byte) (any, error) { return restore(data) }},
		goldentest.JSONCase("request", Request{
			Lease: &lease.Request{ID: 1, Member: "p0", SessionID: 3, KnownVersion: 4, Command: &leaseCommand}, Voter: &voterCommand, Task: &taskCommand, Decision: &decisionCommand,
			TaskRecords: []string{"sweep"}, Status: true,
		}),
		{Name: "response", Value: exampleResponse(fleet), Encode: func() ([]byte, error) { return json.Marshal(exampleResponse(fleet)) }, Decode: func(data []byte) (any, error) {
			var read Response
			if err := json.Unmarshal(data, &read); err != nil {
				return nil, err
			}
			read.Status.StateMachine = read.Status.StateMachine.Clone() // replaces nil maps by empty ones
			return read, nil
		}},
		messageCase("message/append", &raftpb.Message{
			Type: raftpb.MsgApp.Enum(), To: ptr(uint64(2)), From: ptr(uint64(1)), Term: ptr(uint64(3)), LogTerm: ptr(uint64(2)), Index: ptr(uint64(7)), Commit: ptr(uint64(8)), Entries: exampleEntries(),
		}),
		messageCase("message/snapshot", &raftpb.Message{Type: raftpb.MsgSnap.Enum(), To: ptr(uint64(4)), From: ptr(uint64(1)), Term: ptr(uint64(3)), Snapshot: exampleSnapshot()}),
		messageCase("message/heartbeat", &raftpb.Message{
			Type: raftpb.MsgHeartbeat.Enum(), To: ptr(uint64(2)), From: ptr(uint64(1)), Term: ptr(uint64(3)), Commit: ptr(uint64(8)), Context: []byte{0, 0, 0, 0, 0, 0, 0, 5},
		}),
		messageCase("message/reject", &raftpb.Message{
			Type: raftpb.MsgAppResp.Enum(), To: ptr(uint64(1)), From: ptr(uint64(2)), Term: ptr(uint64(3)), Index: ptr(uint64(7)), Reject: ptr(true), RejectHint: ptr(uint64(5)), LogTerm: ptr(uint64(2)),
		}),
	}
	for _, c := range []struct {
		name string
		conf *raftpb.ConfState
	}{
		{"change/learner", &raftpb.ConfState{Voters: []uint64{1, 2}}},
		{"change/replace", &raftpb.ConfState{Voters: []uint64{1, 3}, Learners: []uint64{2, 4}}},
		{"change/remove", &raftpb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{4}}},
	} {
		change := fleet.nextConfChange(c.conf, func(uint64) bool { return true })
		cases = append(cases, protoCase(c.name, change, func() ([]byte, error) { return proto.Marshal(change) }, func(data []byte) (any, error) {
			read := &raftpb.ConfChangeV2{}
			return read, proto.Unmarshal(data, read)
		}))
	}
	goldentest.CheckCases(t, "testdata/forms.golden", cases)
	goldentest.CheckFields(t, cases, isProjectPackage)
}

func exampleResponse(f *StateMachine) Response {
	return Response{
		NotLeader: true, Leader: "p0",
		Lease: &lease.Response{
			ID: 1, Refusal: lease.RefusedNoSession, LastID: 9, Result: ptr(exampleLeaseResult()), Holdings: &lease.Holdings{Version: 4, Tokens: map[string]uint64{"task/sweep": 4}},
		},
		Voter: &VoterResult{Refusal: "no store", RaftID: 4, FleetID: "fleet-a", Votes: true}, Task: &task.Result{Refusal: task.RefusedConcurrencyLimit, Record: exampleRecord()},
		Decision: &DecisionResult{Refusal: RefusedConflict, Number: 2, Current: f.Decisions["zone/farm/b"]}, Digest: f.digest(), TaskRecords: map[string]task.Record{"sweep": exampleRecord()},
		Status: &Status{ID: 1, Role: "StateLeader", Leader: "p0", Term: 3, Commit: 8, Applied: 7, Voters: []uint64{1, 2}, Learners: []uint64{4}, StateMachine: f},
	}
}

// TestBootstrapEncoding checks that the initial snapshot and hard state of a fleet have the same encoding as in earlier versions.
func TestBootstrapEncoding(t *testing.T) {
	snap, err := BootstrapSnapshot(NewStateMachine("fleet-a", "p0", "store-0", []string{"p0", "p1"}))
	if err != nil {
		t.Fatal(err)
	}
	hard := BootstrapHardState()
	goldentest.CheckCases(t, "testdata/founding.golden", []goldentest.Case{
		protoCase("snapshot", snap, func() ([]byte, error) { return proto.Marshal(snap) }, func(data []byte) (any, error) {
			read := &raftpb.Snapshot{}
			return read, proto.Unmarshal(data, read)
		}),
		protoCase("hard", hard, func() ([]byte, error) { return proto.Marshal(hard) }, func(data []byte) (any, error) {
			read := &raftpb.HardState{}
			return read, proto.Unmarshal(data, read)
		}),
	})
}

// TestStoredWords checks the values of operations, kinds and refusals, which log entries, snapshots and keys contain.
func TestStoredWords(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{string(OpAdmit), "admit"}, {string(OpAdd), "add"}, {string(OpRemove), "remove"}, {string(OpReplace), "replace"},
		{OperatorKind, "order"}, {ZoneKind, "zone"}, {string(RefusedConflict), "something else was decided meanwhile"},
	} {
		if c.got != c.want {
			t.Errorf("stored value is %q, want %q", c.got, c.want)
		}
	}
}
