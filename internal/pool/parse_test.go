package pool

import (
	"errors"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/policy"
)

// TestParseRequest guards which requests are rejected for violating the protocol, and which attributes are parsed from the others.
func TestParseRequest(t *testing.T) {
	p := &Pool{maxDeadline: 5 * time.Second, classes: map[string]policy.Class{
		"check": {Idempotency: policy.Idempotent}, "order": {Idempotency: policy.IdempotentByKey}, "book": {Idempotency: policy.NonIdempotent},
	}}
	header := func(more ...string) http.Header {
		h := http.Header{"X-Request-Id": {"a"}, "X-Timeout-Ms": {"300"}}
		for i := 0; i < len(more); i += 2 {
			h.Set(more[i], more[i+1])
		}
		return h
	}
	for name, c := range map[string]struct {
		method, path string
		header       http.Header
		status       int // of the rejection; 0: accepted
	}{
		"safe":             {"GET", "/check/k", header(), 0},
		"below a route":    {"GET", "check/k", header(), 0},
		"keyed":            {"POST", "/order", header("Idempotency-Key", "k"), 0},
		"unsafe":           {"POST", "/book", header(), 0},
		"no key":           {"POST", "/order", header(), 400},
		"no class":         {"GET", "/", header(), 404},
		"another class":    {"GET", "/checks", header(), 404},
		"method of safe":   {"POST", "/check", header(), 405},
		"method of unsafe": {"GET", "/book", header(), 405},
		"PUT":              {"PUT", "/book", header(), 405},
		"no id":            {"GET", "/check", header("X-Request-Id", ""), 400},
		"long id":          {"GET", "/check", header("X-Request-Id", strings.Repeat("i", maxRequestIDBytes+1)), 400},
		"no time":          {"GET", "/check", header("X-Timeout-Ms", "0"), 400},
		"negative time":    {"GET", "/check", header("X-Timeout-Ms", "-1"), 400},
		"endless time":     {"GET", "/check", header("X-Timeout-Ms", "99999999999999999999"), 400},
	} {
		parsed, err := p.ParseRequest(&httpmsg.Request{Method: c.method, Header: c.header}, c.path)
		var rejection httpmsg.RejectionError
		errors.As(err, &rejection)
		if rejection.Status != c.status || (err == nil) != (c.status == 0) {
			t.Errorf("%s: ParseRequest returned error %v, which does not have the expected status", name, err)
		}
		if err == nil && (parsed.timeout != 300*time.Millisecond || parsed.idempotent != (c.method == "GET")) {
			t.Errorf("%s: parsed as %+v, want a timeout of 300ms, and idempotent only for GET", name, parsed)
		}
	}
	parsed, err := p.ParseRequest(&httpmsg.Request{Method: "GET", Header: header(
		"X-Timeout-Ms", "60000", "X-Tenant-Id", "t", "X-Retried", "1", "X-Cost", "1500")}, "/check/of/7")
	want := policy.Request{Class: "check", Key: "7", Tenant: "t", IsRetry: true, ExpectedWork: 1500 * time.Microsecond}
	if err != nil || !reflect.DeepEqual(parsed.policyRequest, want) || parsed.timeout != p.maxDeadline {
		t.Errorf("ParseRequest returned %+v and error %v, want all attributes of the header and the longest timeout", parsed, err)
	}
}
