package httpservice

import (
	"encoding/base64"
	"errors"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/proto"

	"sorrelrudder/internal/classify"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/policy"
)

// newDialect returns a dialect with three classes. change, which may be nil, adjusts its configuration.
func newDialect(t *testing.T, change func(*Config)) *Dialect {
	t.Helper()
	pattern := func(text string) []classify.Pattern {
		p, err := classify.ParsePattern(text)
		if err != nil {
			t.Fatal(err)
		}
		return []classify.Pattern{p}
	}
	cfg := Config{
		Via: "edge", FailureStatuses: []int{502, 503}, TimeoutFields: []string{"X-Timeout-Ms", "grpc-timeout"},
		Classes: []Class{
			{Rule: classify.Rule{Class: "read", Patterns: pattern("GET /items/{id}")}, Deadline: time.Second, Key: ValueSource{PathWildcard: "id"}, Tenant: ValueSource{Header: "X-Shop"}},
			{Rule: classify.Rule{Class: "order", Patterns: pattern("POST /orders")}, Idempotency: policy.IdempotentByKey, KeylessClass: "order without a key", Deadline: 2 * time.Second},
			{Rule: classify.Rule{Class: "other"}, Idempotency: policy.NonIdempotent, Deadline: 3 * time.Second},
		},
	}
	if change != nil {
		change(&cfg)
	}
	return New(cfg)
}

// newRequest returns a request. fields are the names and values of its header fields, in turn.
func newRequest(method, uri string, fields ...string) *httpmsg.Request {
	q := &httpmsg.Request{Method: method, URI: uri, Host: "shop.example.org:80", Header: http.Header{}, RemoteAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: 7}}
	for i := 0; i < len(fields); i += 2 {
		q.Header.Add(fields[i], fields[i+1])
	}
	return q
}

// TestParseRequest guards against wrong attributes of a request: its class, idempotency, timeout, tenant and affinity
// key. It also guards against forwarding a request without an ID, using the client's ID as identity, and forwarding CONNECT, TRACE and
// upgrades.
func TestParseRequest(t *testing.T) {
	d := newDialect(t, nil)
	for name, c := range map[string]struct {
		q                   *httpmsg.Request
		class               string
		idempotent          bool
		timeout             time.Duration
		tenant, affinityKey string
	}{
		"read":             {newRequest("GET", "/items/7?x=/orders", "X-Shop", "s1"), "read", true, time.Second, "s1", "7"},
		"head":             {newRequest("HEAD", "/items/7"), "read", true, time.Second, "", "7"},
		"keyed":            {newRequest("POST", "/orders", "Idempotency-Key", "k"), "order", false, 2 * time.Second, "", ""},
		"without a key":    {newRequest("POST", "/orders"), "order without a key", false, 2 * time.Second, "", ""},
		"put":              {newRequest("PUT", "/items/7"), "other", false, 3 * time.Second, "", ""},
		"encoded slash":    {newRequest("GET", "/items/..%2f7"), "other", false, 3 * time.Second, "", ""},
		"patience":         {newRequest("GET", "/items/7", "X-Timeout-Ms", "250"), "read", true, 250 * time.Millisecond, "", "7"},
		"gRPC timeout":     {newRequest("GET", "/items/7", "Grpc-Timeout", "3S"), "read", true, 3 * time.Second, "", "7"},
		"invalid timeouts": {newRequest("GET", "/items/7", "X-Timeout-Ms", "-3", "Grpc-Timeout", "99x"), "read", true, time.Second, "", "7"},
		"endless":          {newRequest("GET", "/items/7", "X-Timeout-Ms", "999999999999999"), "read", true, time.Second, "", "7"},
	} {
		attributes, err := d.ParseRequest(c.q, "")
		if err != nil || attributes.PolicyRequest.Class != c.class || attributes.Idempotent != c.idempotent || attributes.Timeout != c.timeout || attributes.PolicyRequest.Tenant != c.tenant || attributes.PolicyRequest.Key != c.affinityKey {
			t.Errorf("%s: parsed request with attributes %+v, error %v", name, attributes, err)
		}
		if c.q.Header.Get("X-Request-Id") == "" || attributes.ID == "" {
			t.Errorf("%s: the request has no ID", name)
		}
	}
	a, _ := d.ParseRequest(newRequest("GET", "/items/1", "X-Request-Id", "mine"), "")
	b, _ := d.ParseRequest(newRequest("GET", "/items/1", "X-Request-Id", "mine"), "")
	if a.ID == b.ID {
		t.Error("two requests with the same X-Request-Id got the same ID")
	}
	for _, q := range []*httpmsg.Request{
		newRequest("TRACE", "/"), newRequest("CONNECT", "/"), newRequest("GET", "/chat", "Connection", "keep-alive, Upgrade", "Upgrade", "websocket"),
	} {
		_, err := d.ParseRequest(q, "")
		if bad, ok := errors.AsType[httpmsg.RejectionError](err); !ok || bad.Status != 501 {
			t.Errorf("%s with header %v: got error %v, want a rejection with status 501", q.Method, q.Header, err)
		}
	}
}

// TestForwarding guards against forwarding fields of an untrusted client, and against wrong values of these fields in each mode.
func TestForwarding(t *testing.T) {
	for name, c := range map[string]struct {
		mode                  Forwarding
		xff, forwarded, proto string
	}{
		"replace": {ForwardingReplace, "127.0.0.9", `for=127.0.0.9;host="shop.example.org:80";proto=http`, "http"},
		"append":  {ForwardingAppend, "10.0.0.1, 127.0.0.9", `for=10.0.0.1, for=127.0.0.9;host="shop.example.org:80";proto=http`, "https"},
		"drop":    {ForwardingDrop, "", "", ""},
	} {
		q := newRequest("GET", "/", "X-Forwarded-For", "10.0.0.1", "Forwarded", "for=10.0.0.1", "X-Forwarded-Proto", "https", "Via", "1.0 old")
		if _, err := newDialect(t, func(cfg *Config) { cfg.Forwarding = c.mode }).ParseRequest(q, ""); err != nil {
			t.Fatal(err)
		}
		h := q.Header
		if h.Get("X-Forwarded-For") != c.xff || h.Get("Forwarded") != c.forwarded || h.Get("X-Forwarded-Proto") != c.proto {
			t.Errorf("%s: got header %v", name, h)
		}
		if via := strings.Join(h.Values("Via"), ", "); via != "1.0 old, 1.1 edge" {
			t.Errorf("%s: got Via %q", name, via)
		}
	}
}

// TestTraceparent guards against attempts that share a span or lose their trace, and against forwarding a span for an invalid traceparent.
func TestTraceparent(t *testing.T) {
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	d := newDialect(t, nil)
	seen := map[string]bool{parent: true}
	for range 3 {
		extra := d.ExtraFields(nil, http.Header{"Traceparent": {parent}}, 0)
		if len(extra) != 1 || extra[0].Value[:36] != parent[:36] || extra[0].Value[52:] != "-01" || seen[extra[0].Value] || !isTraceparent(extra[0].Value) {
			t.Fatalf("%+v", extra)
		}
		seen[extra[0].Value] = true
	}
	for _, bad := range []string{"", "00-x", strings.ToUpper(parent), "01" + parent[2:], parent + "0"} {
		if extra := d.ExtraFields(nil, http.Header{"Traceparent": {bad}}, 0); extra != nil {
			t.Errorf("invalid traceparent %q: got extra fields %+v, want none", bad, extra)
		}
	}
}

// TestClassifyResponse guards against treating a status as proof that a request was not executed although the operator has not configured
// it as such.
func TestClassifyResponse(t *testing.T) {
	d := newDialect(t, func(c *Config) { c.NotExecutedStatuses = []int{429} })
	for status, want := range map[int]policy.Status{
		200: policy.StatusOK, 204: policy.StatusOK, 301: policy.StatusOK, 404: policy.StatusOK, 500: policy.StatusOK, 502: policy.StatusApplicationError, 503: policy.StatusApplicationError, 429: policy.StatusOverloaded,
	} {
		if got, _ := d.ClassifyResponse(status, http.Header{}); got != want {
			t.Errorf("status %d: got %v, want %v", status, got, want)
		}
	}
}

// TestORCA guards against wrong or implausible loads from ORCA reports in each format.
func TestORCA(t *testing.T) {
	raw, err := proto.Marshal(&orca.OrcaLoadReport{CpuUtilization: 0.5, NamedMetrics: map[string]float64{"queue": 4}})
	if err != nil {
		t.Fatal(err)
	}
	bin := base64.StdEncoding.EncodeToString(raw)
	for text, want := range map[string]float64{ // the greater of queue and inflight; -1: no usable report
		"TEXT named_metrics.queue=3, cpu_utilization=0.9":                 3,
		"TEXT cpu_utilization=0.5":                                        1,
		"TEXT application_utilization=0.75,cpu_utilization=0.5":           3,
		"TEXT cpu_utilization=7":                                          fullQueue,
		`JSON {"cpu_utilization": 0.5, "named_metrics": {"inflight": 2}}`: 2,
		`JSON {"cpuUtilization": 0.5, "other": 1}`:                        1,
		"BIN " + bin:                  4,
		"TEXT cpu_utilization=NaN":    -1,
		"TEXT cpu_utilization=-1":     -1,
		"TEXT named_metrics.queue=-2": -1,
		"TEXT ":                       -1,
		"JSON {":                      -1,
		"BIN !!":                      -1,
		"XML <a>":                     -1,
		"TEXT named_metrics.queue=1" + strings.Repeat(" ", maxReportBytes):   -1,
		"TEXT named_metrics.queue=Inf, application_utilization=0.5":          1,
		`JSON {"named_metrics": {"queue": "NaN"}, "cpu_utilization": "Inf"}`: -1,
	} {
		l := parseORCA(http.Header{orcaField: {text}})
		got := -1.0
		if l != nil {
			got = max(l.Queue, l.InFlight)
		}
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("report %.60q: got %v requests, want %v", text, got, want)
		}
	}
	if l := parseORCA(http.Header{orcaBinaryField: {bin}}); l == nil || l.Queue != 4 {
		t.Errorf("binary field: got load %+v, want a queue of 4", l)
	}
}

// FuzzORCA guards against loads outside the valid range, whatever the report contains.
func FuzzORCA(f *testing.F) {
	for _, s := range []string{"TEXT cpu_utilization=0.5", `JSON {"cpu_utilization":1}`, "BIN AAAA", "TEXT a=b,c", "JSON []"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		l := parseORCA(http.Header{orcaField: {text}})
		if l == nil {
			return
		}
		for _, v := range []float64{l.Queue, l.InFlight} {
			if !(v == -1 || v >= 0 && v <= maxQueue) {
				t.Fatalf("report %q: got load %+v, want values of -1 or from 0 to maxQueue", text, l)
			}
		}
	})
}
