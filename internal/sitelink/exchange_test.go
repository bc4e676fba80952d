package sitelink

import (
	"net/http"
	"testing"
	"time"

	"sorrelrudder/internal/siteheader"
)

// TestAnswerCountsAttempts guards the far site's account of what it attempted: the origin counts those attempts against the
// request's maximum.
func TestAnswerCountsAttempts(t *testing.T) {
	p := startPair(t, 1, [2]*TLS{})
	r := siteheader.Request{TimeLeft: time.Second, StallTimeout: time.Second, Stamp: p.far.extension.now(), Pool: "farm", Class: "check", AttemptsAllowed: 1, Origin: "near", Path: []string{"near"}}
	text, err := r.String()
	if err != nil {
		t.Fatal(err)
	}
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.far.addr("sites")+"/check/counted", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set(siteheader.RequestField, text)
	q.Header.Set("X-Request-Id", "counted")
	q.Header.Set("X-Timeout-Ms", "1000")
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(q)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	a, err := siteheader.ParseResponse(resp.Header.Values(siteheader.ResponseField), 1)
	if err != nil || a.Outcome != siteheader.Served || a.Attempts != 1 {
		t.Errorf("the far site answers %d with %+v, %v, want served with one attempt", resp.StatusCode, a, err)
	}
}
