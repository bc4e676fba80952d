package lease

import (
	"bytes"
	"flag"
	"os"
	"reflect"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files from the present code")

// TestGoldenSnapshot: a snapshot is written and read as it was by earlier versions.
func TestGoldenSnapshot(t *testing.T) {
	m := &Machine{
		Last: 9,
		Sessions: map[uint64]*Session{
			3: {
				Member: "p0", Nonce: "n0.1", Version: 4, Seq: 2, Answers: map[uint64]Result{2: {Why: Taken, Session: 3, Token: 4, Place: 1, Version: 4, Before: 3}},
				Holds: map[string]uint64{"task/sweep": 4}, Waits: map[string]bool{},
			},
			5: {Member: "p1", Nonce: "n1.1", Superseded: true, Version: 6, Answers: map[uint64]Result{}, Holds: map[string]uint64{}, Waits: map[string]bool{"task/sweep": true}},
		},
		Names: map[string]*Entry{
			"task/sweep": {Limit: 1, Holders: []Hold{{Session: 3, Token: 4}}, Waiters: []uint64{5}},
			"zones":      {Limit: 2, Holders: []Hold{{Session: 5, Token: 6, Revoked: true}}},
		},
		Revoked: map[uint64]string{6: "zones"},
	}
	const file = "testdata/snapshot.golden"
	got, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("encoded\n got %s\nwant %s", got, want)
	}
	if read, err := Restore(want); err != nil || !reflect.DeepEqual(read, m) {
		t.Errorf("decoded, %v\n got %+v\nwant %+v", err, read, m)
	}
}

// TestStoredWords: the words that stand in entries, in the answers of sessions and in messages keep their spelling.
func TestStoredWords(t *testing.T) {
	for _, c := range []struct {
		got  Op
		want string
	}{
		{Open, "open"}, {Acquire, "acquire"}, {Release, "release"}, {Pass, "pass"}, {Close, "close"}, {Expire, "expire"}, {Revoke, "revoke"}, {Free, "free"},
	} {
		if string(c.got) != c.want {
			t.Errorf("%q was %q", c.got, c.want)
		}
	}
	for _, c := range []struct {
		got  Why
		want string
	}{
		{NoSession, "no such session"}, {Superseded, "another process has the name"}, {Full, "no room"}, {Taken, "held by others"},
		{OtherLimit, "in use with another limit"}, {NotHeld, "not held by this session"}, {NoMember, "no such member"},
		{Forgotten, "asked too long ago"}, {Malformed, "malformed"},
	} {
		if string(c.got) != c.want {
			t.Errorf("%q was %q", c.got, c.want)
		}
	}
}
