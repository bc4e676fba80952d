package fake

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitFor waits until f returns true. It fails the test after testTimeout.
func waitFor(t *testing.T, event string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", event)
		}
	}
}
