package policy

import (
	"testing"
	"time"
)

// TestEstimateStart guards against spending capacity on a client's retry after the latency objective, and against treating a first try as
// a retry. The timeout of a last try differs from the usual one, and a first try of a client with another timeout looks similar.
func TestEstimateStart(t *testing.T) {
	const ms = time.Millisecond
	usual := []Request{{Expires: 400 * ms}, {Expires: 400 * ms}}
	pending := &request{Request: Request{Tenant: "t", Key: "k"}, startedAt: 100 * ms}
	tests := []struct {
		name    string
		before  []Request // at 0
		pending []*request
		now     Time
		q       Request
		want    Time
	}{
		{"no history", nil, nil, 300 * ms, Request{Expires: 700 * ms}, 300 * ms},
		{"usual timeout", usual, nil, 300 * ms, Request{Expires: 700 * ms}, 300 * ms},
		{"last try with a longer timeout", usual, []*request{{startedAt: 198 * ms}}, 300 * ms, Request{Expires: 1200 * ms}, 200 * ms},
		{"last try with a shorter timeout", usual, []*request{{startedAt: 0}}, 900 * ms, Request{Expires: 1000 * ms}, 0},
		{"first try with a short timeout", usual, []*request{{startedAt: 100 * ms}}, 900 * ms, Request{Expires: 1000 * ms}, 900 * ms},
		{"retry of an unanswered request", usual, []*request{pending}, 300 * ms,
			Request{Expires: 700 * ms, Tenant: "t", Key: "k"}, 100 * ms},
		{"different key", usual, []*request{pending}, 300 * ms,
			Request{Expires: 700 * ms, Tenant: "t"}, 300 * ms},
		{"different expected work", usual, []*request{pending}, 300 * ms,
			Request{Expires: 700 * ms, Tenant: "t", Key: "k", ExpectedWork: 1}, 300 * ms},
		{"neither key nor expected work", usual, []*request{{startedAt: 100 * ms}}, 300 * ms,
			Request{Expires: 700 * ms}, 300 * ms},
		{"after the deadline of the unanswered request", usual, []*request{pending}, 800 * ms,
			Request{Expires: 1200 * ms, Tenant: "t", Key: "k"}, 800 * ms},
	}
	for _, tc := range tests {
		c := &classState{Class: Class{Deadline: time.Second}}
		for _, q := range tc.before {
			c.estimateStart(0, q, 5*ms)
		}
		c.unanswered = tc.pending
		if got := c.estimateStart(tc.now, tc.q, 5*ms); got != tc.want {
			t.Errorf("%s: estimated start %v, want %v", tc.name, got, tc.want)
		}
	}
}
