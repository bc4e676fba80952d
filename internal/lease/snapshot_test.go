package lease

import (
	"errors"
	"testing"
)

// FuzzRestore checks that Restore rejects a snapshot from a disk or a peer with ErrInvalidSnapshot, or returns a state to which Apply can
// apply commands without a panic.
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
			if !errors.Is(err, ErrInvalidSnapshot) {
				t.Errorf("Restore failed with %v, want ErrInvalidSnapshot", err)
			}
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
