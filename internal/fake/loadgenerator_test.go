package fake

import (
	"context"
	"slices"
	"testing"
	"time"
)

// TestClients guards against clients that exceed their deadlines, that retry a non-idempotent request which may have been
// executed, or that count results incorrectly.
func TestClients(t *testing.T) {
	recorder := NewEffectRecorder()
	b := startTestBackend(t, BackendConfig{
		Name: "box", Cores: 50, QueueLimit: 100, Idempotency: map[string]Idempotency{"book": NonIdempotent, "order": IdempotentByKey}, Recorder: recorder,
	})
	b.SetFault(Fault{Kind: FaultError, Fraction: 0.5})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	class := func(name string, kind Idempotency) ClassLoad {
		return ClassLoad{Name: name, Idempotency: kind, Weight: 1, LatencyObjective: testTimeout, Deadline: testTimeout, PriorityWeight: 2, BodyBytes: 10}
	}
	results := RunClients(ctx, ClientConfig{
		Name: "c", Addr: b.Addr(), Host: "h", Rate: 200, MaxAttempts: 3, Recorder: recorder, Seed: 1,
		Classes: []ClassLoad{class("check", Idempotent), class("order", IdempotentByKey), class("book", NonIdempotent)},
	})
	if results.Operations() < 20 || results.Operations() != recorder.Operations() || results.Outcomes[OutcomeServed] == 0 || results.Outcomes[OutcomeFailed] == 0 {
		t.Errorf("%d operations with outcomes %v, want at least 20, all known to the recorder, some served and some failed", results.Operations(), results.Outcomes)
	}
	if want := 2 * float64(results.Operations()); results.OfferedWeight != want || results.ServedWeight != 2*float64(results.Outcomes[OutcomeServed]) {
		t.Errorf("served weight %v and offered weight %v, want offered weight %v and served weight 2 per served operation", results.ServedWeight, results.OfferedWeight, want)
	}
	for _, attempt := range recorder.attempts {
		if attempt.operation.idempotency == NonIdempotent && len(attempt.operation.attemptIDs) > 1 {
			t.Errorf("non-idempotent operation was retried after a failure: attempts %v, want one", attempt.operation.attemptIDs)
		}
	}
	if verdict := recorder.Check(Tolerance{LateResponse: testTimeout, AttemptAfterResponse: testTimeout, AfterDrainGrace: testTimeout}); len(verdict.Violations) > 0 {
		t.Error(verdict.Violations)
	}
	if merged := results.Merge(results); merged.Operations() != 2*results.Operations() || merged.ServedFraction() != results.ServedFraction() || len(merged.Latencies) != 2*len(results.Latencies) {
		t.Error("merged results differ from the sum of operations and latencies, or the served fraction changed")
	}
	if p := results.Percentile(1); len(results.Latencies) > 0 && p != slices.Max(results.Latencies) {
		t.Errorf("Percentile(1) is %v, want the longest latency", p)
	}
}
