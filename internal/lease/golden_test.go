package lease

import (
	"testing"

	"sorrelrudder/internal/goldentest"
)

// TestGoldenSnapshot checks that the encoding of a snapshot is the same as in earlier versions.
func TestGoldenSnapshot(t *testing.T) {
	m := &StateMachine{
		LastID: 9,
		Sessions: map[uint64]*Session{
			3: {
				Member: "p0", Nonce: "n0.1", Version: 4, LastSeq: 2, Results: map[uint64]Result{2: {Refusal: RefusedHeld, SessionID: 3, Token: 4, QueuePosition: 1, Version: 4, PreviousVersion: 3}},
				Tokens: map[string]uint64{"task/sweep": 4}, Waiting: map[string]bool{},
			},
			5: {Member: "p1", Nonce: "n1.1", Superseded: true, Version: 6, Results: map[uint64]Result{}, Tokens: map[string]uint64{}, Waiting: map[string]bool{"task/sweep": true}},
		},
		Leases: map[string]*Lease{
			"task/sweep": {Limit: 1, Holders: []Grant{{SessionID: 3, Token: 4}}, Waiters: []uint64{5}},
			"zones":      {Limit: 2, Holders: []Grant{{SessionID: 5, Token: 6, Revoked: true}}},
		},
		Revoked: map[uint64]string{6: "zones"},
	}
	goldentest.CheckFile(t, "testdata/snapshot.golden", goldentest.Case{
		Value:  m,
		Encode: m.Snapshot,
		Decode: func(data []byte) (any, error) { return Restore(data) },
	})
}

// TestStoredWords checks the values of Op and Refusal, which log entries, stored results and messages contain.
func TestStoredWords(t *testing.T) {
	for _, c := range []struct {
		got  Op
		want string
	}{
		{OpOpen, "open"}, {OpAcquire, "acquire"}, {OpRelease, "release"}, {OpTransfer, "pass"}, {OpClose, "close"}, {OpExpire, "expire"}, {OpRevoke, "revoke"}, {OpReclaim, "free"},
	} {
		if string(c.got) != c.want {
			t.Errorf("stored value is %q, want %q", c.got, c.want)
		}
	}
	for _, c := range []struct {
		got  Refusal
		want string
	}{
		{RefusedNoSession, "no such session"}, {RefusedSuperseded, "another process has the name"}, {RefusedLimitReached, "no room"}, {RefusedHeld, "held by others"},
		{RefusedLimitMismatch, "in use with another limit"}, {RefusedNotHeld, "not held by this session"}, {RefusedUnknownMember, "no such member"},
		{RefusedStale, "asked too long ago"}, {RefusedMalformed, "malformed"},
	} {
		if string(c.got) != c.want {
			t.Errorf("stored value is %q, want %q", c.got, c.want)
		}
	}
}
