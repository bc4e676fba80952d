package fake

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestEffectRecorder guards against a recorder that sees no rule broken: each is broken once here, and kept once.
func TestEffectRecorder(t *testing.T) {
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	answered := func(recorder *EffectRecorder, id string, status int) { recorder.RecordResponse(id, status, true) }
	for name, c := range map[string]struct {
		play func(recorder *EffectRecorder)
		want string // a part of what is broken, "" if nothing is
	}{
		"all kept": {func(recorder *EffectRecorder) {
			for i, e := range []Idempotency{Idempotent, IdempotentByKey, NonIdempotent} {
				id := strconv.Itoa(i)
				recorder.RecordSent(recorder.BeginOperation(e), id, time.Second)
				recorder.RecordArrival("box", id)
				recorder.RecordEffect(id)
				answered(recorder, id, 200)
			}
		}, ""},
		"never answered": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
		}, "never answered"},
		"the client left": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.RecordClientGone("a")
		}, ""},
		"answered late": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.attempts["a"].sent = ago(3 * time.Second)
			answered(recorder, "a", 502)
		}, "after its time"},
		"two answers": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			answered(recorder, "a", 200)
			answered(recorder, "a", 200)
		}, "a second answer"},
		"another's answer": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.RecordResponse("a", 200, false)
		}, "no box made for it"},
		"sent after the answer": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			answered(recorder, "a", 502)
			recorder.attempts["a"].answered = ago(time.Second)
			recorder.RecordArrival("box", "a")
		}, "after its answer"},
		"an invented request": {func(recorder *EffectRecorder) { recorder.RecordArrival("box", "a") }, "no client sent"},
		"unsafe, twice by one attempt": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(NonIdempotent), "a", time.Second)
			recorder.RecordEffect("a")
			recorder.RecordEffect("a")
			answered(recorder, "a", 200)
		}, "2 effects"},
		"keyed, twice over two attempts": {func(recorder *EffectRecorder) {
			o := recorder.BeginOperation(IdempotentByKey)
			for _, id := range []string{"a", "b"} {
				recorder.RecordSent(o, id, time.Second)
				recorder.RecordEffect(id)
				answered(recorder, id, 200)
			}
		}, "2 effects"},
		"unsafe, run and refused": {func(recorder *EffectRecorder) {
			recorder.RecordSent(recorder.BeginOperation(NonIdempotent), "a", time.Second)
			recorder.RecordEffect("a")
			answered(recorder, "a", 503)
		}, "was refused"},
		"after the grace": {func(recorder *EffectRecorder) {
			recorder.RecordDraining("box", true)
			recorder.backends["box"].drainingSince = ago(3 * time.Second)
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.RecordArrival("box", "a")
			answered(recorder, "a", 200)
		}, "told to leave"},
		"within the grace": {func(recorder *EffectRecorder) {
			recorder.RecordDraining("box", true)
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.RecordArrival("box", "a")
			answered(recorder, "a", 200)
		}, ""},
		"back again": {func(recorder *EffectRecorder) {
			recorder.RecordDraining("box", true)
			recorder.backends["box"].drainingSince = ago(3 * time.Second)
			recorder.RecordDraining("box", false)
			recorder.RecordSent(recorder.BeginOperation(Idempotent), "a", time.Second)
			recorder.RecordArrival("box", "a")
			answered(recorder, "a", 200)
		}, ""},
		"a backend that warms up": {func(recorder *EffectRecorder) {
			recorder.RecordSlowStart("box", time.Second, func(_, w time.Duration) float64 { return 10 * w.Seconds() })
			for i := range 12 {
				id := strconv.Itoa(i)
				recorder.RecordSent(recorder.BeginOperation(Idempotent), id, time.Second)
				recorder.RecordArrival("box", id)
				answered(recorder, id, 200)
			}
		}, "12 requests in 1s"},
	} {
		recorder := NewEffectRecorder()
		c.play(recorder)
		broken := strings.Join(recorder.Check(DefaultTolerance).Violations, "; ")
		if (broken == "") != (c.want == "") || !strings.Contains(broken, c.want) {
			t.Errorf("%s: broken is %q, want %q", name, broken, c.want)
		}
	}
}
