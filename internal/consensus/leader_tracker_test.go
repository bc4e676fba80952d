package consensus

import (
	"testing"
	"time"
)

// TestLeaderTracker: a member that did not answer is left out for a while, also if others point to it; all get their turn.
func TestLeaderTracker(t *testing.T) {
	tracker := NewLeaderTracker([]string{"a", "b", "c"}, 0, time.Second)
	tracker.LeaderConfirmed("b")
	if tracker.Pick(0) != "b" {
		t.Fatal("not the leader")
	}
	tracker.Unreachable(0, "b")
	seen := map[string]bool{}
	for range 4 {
		member := tracker.Pick(0)
		seen[member] = true
		if tracker.Redirected(0, member, "b") {
			t.Error("the silent one is worth asking")
		}
	}
	if seen["b"] || len(seen) != 2 {
		t.Errorf("%v", seen)
	}
	if !tracker.Redirected(time.Second, "a", "b") || tracker.Pick(time.Second) != "b" {
		t.Error("the silent one is left out for good")
	}
	for _, member := range []string{"a", "b", "c"} {
		tracker.Unreachable(2*time.Second, member)
	}
	if tracker.Pick(2*time.Second) == "" {
		t.Error("with all silent nobody is asked")
	}
}
