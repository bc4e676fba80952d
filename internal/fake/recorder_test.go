package fake

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestEffectRecorder guards against a recorder that does not report a broken rule, or that reports a rule which was kept. Each
// rule is broken at least once and kept at least once.
func TestEffectRecorder(t *testing.T) {
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	answered := func(recorder *EffectRecorder, id string, status int) { recorder.RecordResponse(id, status, true) }
	for name, c := range map[string]struct {
		record func(recorder *EffectRecorder)
		want   string // part of the violations; empty: no violation
	}{
		"all rules kept": {func(recorder *EffectRecorder) {
			for i, kind := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
				id := strconv.Itoa(i)
				recorder.RecordSent(recorder.BeginOperation(kind), id, time.Second)
				recorder.RecordArrival("box", id)
				recorder.RecordEffect(id)
				answered(recorder, id, 200)
			}
		}, ""},
		"no response": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
		}, "never answered"},
		"client disconnected": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.RecordClientGone("a")
		}, ""},
		"late response": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.attempts["a"].sent = ago(3 * time.Second)
			answered(recorder, "a", 502)
		}, "after its time"},
		"two responses": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			answered(recorder, "a", 200)
			answered(recorder, "a", 200)
		}, "a second answer"},
		"response of another request": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.RecordResponse("a", 200, false)
		}, "no box made for it"},
		"attempt sent after the response": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			answered(recorder, "a", 502)
			recorder.attempts["a"].answered = ago(time.Second)
			recorder.RecordArrival("box", "a")
		}, "after its answer"},
		"request that no client sent": {func(recorder *EffectRecorder) { recorder.RecordArrival("box", "a") }, "no client sent"},
		"non-idempotent, two effects of one attempt": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(NonIdempotent), "a", time.Second)
			recorder.RecordEffect("a")
			recorder.RecordEffect("a")
			answered(recorder, "a", 200)
		}, "2 effects"},
		"idempotent by key, two effects of two attempts": {func(recorder *EffectRecorder) {
			operation := recorder.BeginOperation(IdempotentByKey)
			for _, id := range []string{"a", "b"} {
				recorder.RecordSent(operation, id, time.Second)
				recorder.RecordEffect(id)
				answered(recorder, id, 200)
			}
		}, "2 effects"},
		"non-idempotent, executed and rejected": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(NonIdempotent), "a", time.Second)
			recorder.RecordEffect("a")
			answered(recorder, "a", 503)
		}, "was refused"},
		"arrival after the drain grace period": {func(recorder *EffectRecorder) {
			recorder.RecordDraining("box", true)
			recorder.backends["box"].drainingSince = ago(3 * time.Second)
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.RecordArrival("box", "a")
			answered(recorder, "a", 200)
		}, "told to leave"},
		"arrival within the drain grace period": {func(recorder *EffectRecorder) {
			recorder.RecordDraining("box", true)
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.RecordArrival("box", "a")
			answered(recorder, "a", 200)
		}, ""},
		"active again after draining": {func(recorder *EffectRecorder) {
			recorder.RecordDraining("box", true)
			recorder.backends["box"].drainingSince = ago(3 * time.Second)
			recorder.RecordDraining("box", false)
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.RecordArrival("box", "a")
			answered(recorder, "a", 200)
		}, ""},
		"too many requests during slow start": {func(recorder *EffectRecorder) {
			recorder.RecordSlowStart("box", time.Second, func(_, window time.Duration) float64 { return 10 * window.Seconds() })
			for i := range 12 {
				id := strconv.Itoa(i)
				recorder.RecordSent(recorder.BeginOperation(Idempotent), id, time.Second)
				recorder.RecordArrival("box", id)
				answered(recorder, id, 200)
			}
		}, "12 requests in 1s"},
	} {
		recorder := NewEffectRecorder()
		c.record(recorder)
		got := strings.Join(recorder.Check(DefaultTolerance).Violations, "; ")
		if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: violations are %q, want them to contain %q, or none if that is empty", name, got, c.want)
		}
	}
}
