package consensus

import "testing"

// TestEventMessages checks that each kind of event has a unique message.
func TestEventMessages(t *testing.T) {
	kinds := map[string]EventKind{}
	for k := EventLeaderElected; k <= EventLeaseReclaimed; k++ {
		if other, taken := kinds[k.String()]; k.String() == "" || taken {
			t.Errorf("message of kind %d is empty or the same as of kind %d: %q", k, other, k.String())
		}
		kinds[k.String()] = k
	}
}
