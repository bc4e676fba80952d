package policy

import (
	"testing"
	"time"
)

// TestEstimateStart guards against work for a client's retry whose latency objective has passed, and against taking first tries for
// retries because the last try of a request gets longer.
func TestEstimateStart(t *testing.T) {
	const ms = time.Millisecond
	usual := []Request{{Expires: 400 * ms}, {Expires: 400 * ms}}
	unanswered := &request{Request: Request{Tenant: "t", Key: "k"}, startedAt: 100 * ms}
	tests := []struct {
		name       string
		before     []Request // at 0
		unanswered []*request
		now        Time
		q          Request
		want       Time
	}{
		{"nothing known", nil, nil, 300 * ms, Request{Expires: 700 * ms}, 300 * ms},
		{"a usual try", usual, nil, 300 * ms, Request{Expires: 700 * ms}, 300 * ms},
		{"a last try gets longer", usual, []*request{{startedAt: 198 * ms}}, 300 * ms, Request{Expires: 1200 * ms}, 200 * ms},
		{"a last try is cut short", usual, []*request{{startedAt: 0}}, 900 * ms, Request{Expires: 1000 * ms}, 0},
		{"a client of little patience", usual, []*request{{startedAt: 100 * ms}}, 900 * ms, Request{Expires: 1000 * ms}, 900 * ms},
		{"a retry of one owed", usual, []*request{unanswered}, 300 * ms,
			Request{Expires: 700 * ms, Tenant: "t", Key: "k"}, 100 * ms},
		{"of another key", usual, []*request{unanswered}, 300 * ms,
			Request{Expires: 700 * ms, Tenant: "t"}, 300 * ms},
		{"of other work", usual, []*request{unanswered}, 300 * ms,
			Request{Expires: 700 * ms, Tenant: "t", Key: "k", ExpectedWork: 1}, 300 * ms},
		{"nothing tells them apart", usual, []*request{{startedAt: 100 * ms}}, 300 * ms,
			Request{Expires: 700 * ms}, 300 * ms},
		{"too late for it", usual, []*request{unanswered}, 800 * ms,
			Request{Expires: 1200 * ms, Tenant: "t", Key: "k"}, 800 * ms},
	}
	for _, tc := range tests {
		c := &classState{Class: Class{Deadline: time.Second}}
		for _, q := range tc.before {
			c.estimateStart(0, q, 5*ms)
		}
		c.unanswered = tc.unanswered
		if got := c.estimateStart(tc.now, tc.q, 5*ms); got != tc.want {
			t.Errorf("%s: started %v, want %v", tc.name, got, tc.want)
		}
	}
}
