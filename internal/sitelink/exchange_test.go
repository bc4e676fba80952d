package sitelink

import (
	"net/http"
	"testing"
	"time"

	"sorrelrudder/internal/siteheader"
)

// TestAnswerCountsAttempts guards against a response that omits the attempts made at the remote site. The origin counts these attempts
// against the limit of the request.
func TestAnswerCountsAttempts(t *testing.T) {
	p := startPair(t, 1, [2]*TLS{})
	r := siteheader.Request{TimeLeft: time.Second, StallTimeout: time.Second, Stamp: p.far.extension.now(), Pool: "farm", Class: "check", AttemptsAllowed: 1, Origin: "near", Path: []string{"near"}}
	text, err := r.String()
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.far.addr("sites")+"/check/counted", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(siteheader.RequestField, text)
	request.Header.Set("X-Request-Id", "counted")
	request.Header.Set("X-Timeout-Ms", "1000")
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	a, err := siteheader.ParseResponse(resp.Header.Values(siteheader.ResponseField), 1)
	if err != nil || a.Outcome != siteheader.Served || a.Attempts != 1 {
		t.Errorf("response of the remote site: status %d, field %+v, error %v, want outcome served with one attempt", resp.StatusCode, a, err)
	}
}
