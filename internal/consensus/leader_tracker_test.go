package consensus

import (
	"testing"
	"time"
)

// TestLeaderTracker checks that a member that did not answer is skipped for the backoff time, even if other members report it as the
// leader, and that the other members are picked in turn.
func TestLeaderTracker(t *testing.T) {
	tracker := NewLeaderTracker([]string{"a", "b", "c"}, 0, time.Second)
	tracker.LeaderConfirmed("b")
	if tracker.Pick(0) != "b" {
		t.Fatal("Pick did not return the confirmed leader")
	}
	tracker.Unreachable(0, "b")
	seen := map[string]bool{}
	for range 4 {
		member := tracker.Pick(0)
		seen[member] = true
		if tracker.Redirected(0, member, "b") {
			t.Error("Redirected recommends the unreachable member before the backoff has passed")
		}
	}
	if seen["b"] || len(seen) != 2 {
		t.Errorf("picked %v, want a and c", seen)
	}
	if !tracker.Redirected(time.Second, "a", "b") || tracker.Pick(time.Second) != "b" {
		t.Error("the unreachable member is still skipped after the backoff")
	}
	for _, member := range []string{"a", "b", "c"} {
		tracker.Unreachable(2*time.Second, member)
	}
	if tracker.Pick(2*time.Second) == "" {
		t.Error("Pick returned no member with all members unreachable")
	}
}
