package fake

import (
	"context"
	"slices"
	"testing"
	"time"
)

// TestClients guards against clients that don't keep their deadlines, that retry what may have run and must not run twice, or
// that count wrongly.
func TestClients(t *testing.T) {
	recorder := NewEffectRecorder()
	b := startTestBackend(t, BackendConfig{
		Name: "box", Cores: 50, QueueLimit: 100, Idempotency: map[string]Idempotency{"book": NonIdempotent, "order": IdempotentByKey}, Recorder: recorder,
	})
	b.SetFault(Fault{Kind: FaultError, Fraction: 0.5})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	class := func(name string, e Idempotency) ClassLoad {
		return ClassLoad{Name: name, Idempotency: e, Weight: 1, LatencyObjective: testTimeout, Deadline: testTimeout, PriorityWeight: 2, BodyBytes: 10}
	}
	results := RunClients(ctx, ClientConfig{
		Name: "c", Addr: b.Addr(), Host: "h", Rate: 200, MaxAttempts: 3, Recorder: recorder, Seed: 1,
		Classes: []ClassLoad{class("check", Idempotent), class("order", IdempotentByKey), class("book", NonIdempotent)},
	})
	if results.Operations() < 20 || results.Operations() != recorder.Operations() || results.Outcomes[OutcomeServed] == 0 || results.Outcomes[OutcomeFailed] == 0 {
		t.Errorf("%d operations, %v", results.Operations(), results.Outcomes)
	}
	if want := 2 * float64(results.Operations()); results.OfferedWeight != want || results.ServedWeight != 2*float64(results.Outcomes[OutcomeServed]) {
		t.Errorf("weight %v of %v, want %v", results.ServedWeight, results.OfferedWeight, want)
	}
	for _, attempt := range recorder.attempts {
		if attempt.operation.idempotency == NonIdempotent && len(attempt.operation.attemptIDs) > 1 {
			t.Errorf("an non-idempotent operation that failed was retried: %v", attempt.operation.attemptIDs)
		}
	}
	if v := recorder.Check(Tolerance{LateResponse: testTimeout, AttemptAfterResponse: testTimeout, AfterDrainGrace: testTimeout}); len(v.Violations) > 0 {
		t.Error(v.Violations)
	}
	if both := results.Merge(results); both.Operations() != 2*results.Operations() || both.ServedFraction() != results.ServedFraction() || len(both.Latencies) != 2*len(results.Latencies) {
		t.Error("two results do not add up")
	}
	if p := results.Percentile(1); len(results.Latencies) > 0 && p != slices.Max(results.Latencies) {
		t.Errorf("the last percentile is %v", p)
	}
}
