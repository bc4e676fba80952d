package consensus

import "testing"

// TestEventMessages: each kind of event has a message of its own.
func TestEventMessages(t *testing.T) {
	kinds := map[string]EventKind{}
	for k := EventLeaderElected; k <= EventLeaseReclaimed; k++ {
		if other, taken := kinds[k.String()]; k.String() == "" || taken {
			t.Errorf("kinds %d and %d: %q", k, other, k.String())
		}
		kinds[k.String()] = k
	}
}
