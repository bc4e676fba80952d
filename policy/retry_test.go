package policy

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// TestRetryAndRejectionRules guards against forbidden repeats and false rejections. By class and first status, it checks which endpoints a
// second attempt may go to, and whether the request may be rejected.
func TestRetryAndRejectionRules(t *testing.T) {
	tests := []struct {
		class      string
		first      Status
		allowed    []EndpointID // endpoints where the second attempt is allowed
		rejectable bool
	}{
		{"safe", StatusApplicationError, []EndpointID{"s0", "s1", "s2", "s3"}, true},
		{"keyed", StatusApplicationError, []EndpointID{"s0", "s1", "s2", "s3"}, true},
		{"zonal", StatusApplicationError, []EndpointID{"s0", "s2"}, false},
		{"cellular", StatusReset, []EndpointID{"s0", "s1"}, false},
		{"cellular", StatusOverloaded, []EndpointID{"s0", "s1", "s2", "s3"}, true},
		{"unsafe", StatusApplicationError, nil, false},
		{"unsafe", StatusConnectFailed, []EndpointID{"s0", "s1", "s2", "s3"}, true},
		{"unknown", StatusTimeout, nil, false},
	}
	for _, tt := range tests {
		b, _ := newTestBalancer(t, testConfig(), 4)
		c := b.classes[tt.class]
		if c == nil {
			c = &classState{Class: Class{Idempotency: NonIdempotent}}
		}
		e := b.endpoints["s0"]
		r := &request{Request: Request{Expires: time.Second}, class: c}
		r.attempts = []attempt{{endpoint: e, zone: e.Zone, cell: e.Cell, notExecuted: tt.first.NotExecuted()}}
		var allowed []EndpointID
		for _, id := range slices.Sorted(maps.Keys(b.endpoints)) {
			if b.attemptAllowed(0, r, b.endpoints[id]) {
				allowed = append(allowed, id)
			}
		}
		if !slices.Equal(allowed, tt.allowed) {
			t.Errorf("%s after %v: second attempt allowed at %v, want %v", tt.class, tt.first, allowed, tt.allowed)
		}
		if got := b.retries.rejectionSafe(0, r); got != tt.rejectable {
			t.Errorf("%s after %v: rejectionSafe = %v, want %v", tt.class, tt.first, got, tt.rejectable)
		}
	}
}

// TestRejectionWithinDedupWindow guards against rejecting a keyed request after the dedup window of an attempt that may have been executed. The
// client would repeat it, and it would be executed again.
func TestRejectionWithinDedupWindow(t *testing.T) {
	policy := retryPolicy{maxAttempts: 3, dedupMargin: 10 * time.Millisecond}
	keyed := &classState{Class: Class{Idempotency: IdempotentByKey, DedupScope: DedupEverywhere, DedupWindow: 100 * time.Millisecond}}
	safe := &classState{Class: Class{Idempotency: Idempotent}}
	attempts := func(sentAt ...Time) []attempt {
		var all []attempt
		for _, at := range sentAt {
			all = append(all, attempt{sentAt: at})
		}
		return all
	}
	for name, tt := range map[string]struct {
		class    *classState
		attempts []attempt
		now      Time
		want     bool
	}{
		"within the window":              {keyed, attempts(0), 90*time.Millisecond - 1, true},
		"within the margin":              {keyed, attempts(0), 90 * time.Millisecond, false},
		"after the window":               {keyed, attempts(0), time.Second, false},
		"after the window of the first":  {keyed, attempts(0, 50*time.Millisecond), 95 * time.Millisecond, false},
		"after the window, not executed": {keyed, []attempt{{notExecuted: true}}, time.Second, true},
		"no attempt":                     {keyed, nil, time.Second, true},
		"idempotent":                     {safe, attempts(0), time.Second, true},
	} {
		if got := policy.rejectionSafe(tt.now, &request{class: tt.class, attempts: tt.attempts}); got != tt.want {
			t.Errorf("%s: rejectionSafe = %v, want %v", name, got, tt.want)
		}
	}
}

// TestNoHedgingWhereForbidden guards against a second attempt in flight where hedging is not allowed.
func TestNoHedgingWhereForbidden(t *testing.T) {
	cfg := testConfig()
	for _, allowed := range []bool{true, false} {
		cfg.HedgingAllowed = allowed
		b, _ := newTestBalancer(t, cfg, 2)
		e := b.endpoints["s0"]
		r := &request{Request: Request{Expires: time.Second}, class: b.classes["safe"], inFlight: 1}
		r.attempts = []attempt{{endpoint: e, inFlight: true}}
		if got := b.attemptAllowed(0, r, b.endpoints["s1"]); got != allowed {
			t.Errorf("HedgingAllowed %v: attemptAllowed = %v, want the same value", allowed, got)
		}
	}
}

// TestAttemptDenialReasons checks that attemptDenial returns the reason of the one rule that each case violates.
func TestAttemptDenialReasons(t *testing.T) {
	policy := retryPolicy{maxAttempts: 3, dedupMargin: 10 * time.Millisecond}
	sent := attempt{zone: "a", cell: 1, sentAt: 0}
	keyed := Class{Idempotency: IdempotentByKey, DedupScope: DedupZone, DedupWindow: 100 * time.Millisecond}
	tests := []struct {
		change func(r *request, e *endpoint)
		want   AttemptDenial
	}{
		{func(*request, *endpoint) {}, AttemptAllowed},
		{func(r *request, _ *endpoint) { r.ended = true }, DeniedRequestEnded},
		{func(r *request, _ *endpoint) { r.responseStarted = true }, DeniedResponseStarted},
		{func(r *request, _ *endpoint) { r.bodyConsumed = true }, DeniedBodyConsumed},
		{func(_ *request, e *endpoint) { e.State = Draining }, DeniedEndpointNotReady},
		{func(_ *request, e *endpoint) { e.State = Removed }, DeniedEndpointNotReady},
		{func(r *request, _ *endpoint) { r.Expires = 50 * time.Millisecond }, DeniedDeadline},
		{func(r *request, _ *endpoint) { r.attempts = []attempt{sent, sent, sent} }, DeniedAttemptsExhausted},
		{func(r *request, _ *endpoint) { r.MaxAttempts = 1 }, DeniedAttemptsExhausted},
		{func(r *request, _ *endpoint) { r.inFlight = 1 }, DeniedHedgingForbidden},
		{func(r *request, _ *endpoint) { r.class.Idempotency = NonIdempotent }, DeniedNotIdempotent},
		{func(r *request, _ *endpoint) { r.attempts[0].sentAt = -40 * time.Millisecond }, DeniedDedupWindowExpired},
		{func(_ *request, e *endpoint) { e.Zone = "b" }, DeniedOutsideDedupScope},
		{func(r *request, e *endpoint) { r.class.DedupScope, e.Cell = DedupCell, 2 }, DeniedOutsideDedupScope},
	}
	for i, tt := range tests {
		r := &request{Request: Request{Expires: time.Second}, class: &classState{Class: keyed}, attempts: []attempt{sent}}
		e := &endpoint{Endpoint: Endpoint{Zone: "a", Cell: 1}}
		tt.change(r, e)
		if got := policy.attemptDenial(50*time.Millisecond, r, e); got != tt.want {
			t.Errorf("tests[%d]: denial %v, want %v", i, got, tt.want)
		}
	}
}

// TestAttemptDenialNames checks that every reason has a name, and that no two names are equal.
func TestAttemptDenialNames(t *testing.T) {
	names := map[string]bool{}
	for d := AttemptAllowed; d <= DeniedOutsideDedupScope; d++ {
		names[d.String()] = true
	}
	if len(names) != int(DeniedOutsideDedupScope)+1 || names[""] || names[AttemptDenial(-1).String()] {
		t.Errorf("names %v, want a distinct name for each of the reasons", names)
	}
}
