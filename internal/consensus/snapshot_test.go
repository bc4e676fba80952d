package consensus

import (
	"errors"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// FuzzRestore checks that restore rejects a snapshot with ErrInvalidSnapshot, or returns a state to which commands and configuration
// changes can be applied without a panic.
func FuzzRestore(f *testing.F) {
	data, err := NewStateMachine("fleet", "a", "s", []string{"a", "b", "c"}).snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"id":"x","seats":{"a":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := restore(data)
		if err != nil {
			if !errors.Is(err, ErrInvalidSnapshot) {
				t.Errorf("restore failed with %v, want ErrInvalidSnapshot", err)
			}
			return
		}
		m.applyVoter(VoterCommand{Op: OpAdmit, Name: "b", StoreID: "s"})
		m.nextConfChange(&raftpb.ConfState{Voters: []uint64{1}}, alwaysCaughtUp)
	})
}
