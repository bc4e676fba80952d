package pool

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"testing"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/quota"
	"sorrelrudder/internal/settings"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// startPlatformPool is a pool before one server of the platform, which gives each connection's request one answer. The requests
// are handed to the test as they stood on the wire.
func startPlatformPool(t *testing.T, answer string, inline bool) (*Pool, <-chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	requests := make(chan string, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				requests <- q.Method + " " + q.RequestURI
				_, _ = io.WriteString(c, answer) // the test sees what is missing
			}
			c.Close()
		}
	}()
	cfg := policy.Config{
		InstanceCount: 1, MaxAttempts: 1, PollInterval: time.Hour, TimerResolution: time.Millisecond, DialTimeout: 20 * time.Second, InlineLoadReports: inline,
		Classes: []policy.Class{safeClass},
	}
	descriptors := process.NewDescriptors(64)
	descriptors.Register(1, quota.Claim{Limit: quota.Unlimited}, func() bool { return false })
	seq := int64(1)
	p, err := New(Config{
		Settings:   settings.Settings{Config: cfg, LoadReportFields: []string{"queue", "inflight", "latency_ms", "eps"}},
		Source:     scriptedSource{make(chan *discovery.EndpointList), make(chan struct{}, 1)},
		CachedList: &discovery.EndpointList{Version: &seq, Complete: true, Endpoints: []discovery.Endpoint{{ID: "a", Address: ln.Addr().String(), Health: "active"}}},
	}, upstream.New(cfg, descriptors.Pool(1)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, requests
}

// httpAnswer is an answer with a field, after which the connection closes.
func httpAnswer(status int, field, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, field, len(body), body)
}

// TestProbeForm holds what a server of the platform is asked by a probe, and what its answers tell.
func TestProbeForm(t *testing.T) {
	all := &policy.LoadReport{Queue: 2, InFlight: 7, Latency: 3.5, ErrorRate: 0.25}
	some := &policy.LoadReport{Queue: 2, InFlight: -1, Latency: -1, ErrorRate: -1}
	for _, c := range []struct {
		name, answer string
		status       policy.Status
		load         *policy.LoadReport
	}{
		{"all fields", httpAnswer(200, "", "TEXT queue=2, inflight=7, latency_ms=3.5, eps=0.25, util=0.61"), policy.StatusOK, all},
		{"no format", httpAnswer(200, "", "queue=2\n"), policy.StatusOK, some},
		{"no load", httpAnswer(200, "", ""), policy.StatusOK, nil},
		{"load in a field", httpAnswer(200, "X-Server-Load: TEXT queue=2\r\n", ""), policy.StatusOK, nil},
		{"503", httpAnswer(503, "", "queue=2"), policy.StatusOverloaded, nil},
		{"504", httpAnswer(504, "", "queue=2"), policy.StatusApplicationError, nil},
		{"500", httpAnswer(500, "", "queue=2"), policy.StatusApplicationError, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, requests := startPlatformPool(t, c.answer, true)
			p.mu.Lock()
			to := p.peers["a"]
			p.mu.Unlock()
			status, load := p.healthCheck(to)
			if status != c.status || !reflect.DeepEqual(load, c.load) {
				t.Errorf("got %v, %+v, want %v, %+v", status, load, c.status, c.load)
			}
			if got := wait(t, "the probe", requests); got != "GET /load" {
				t.Errorf("asked %s", got)
			}
		})
	}
}

// TestInlineLoadForm holds the field of an answer that tells the server's load, and that it is read only where settings say so:
// the second of two requests finds its server with the queue that the answer to the first has told.
func TestInlineLoadForm(t *testing.T) {
	for name, c := range map[string]struct {
		field  string
		inline bool
		told   bool
	}{
		"inline":        {"X-Server-Load: TEXT queue=2\r\n", true, true},
		"on probe":      {"X-Server-Load: TEXT queue=2\r\n", false, false},
		"another field": {"X-Load: TEXT queue=2\r\n", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := startPlatformPool(t, httpAnswer(200, c.field, "ok"), c.inline)
			for _, id := range []string{"r1", "r2"} {
				e, err := p.Submit(&httpmsg.Request{Method: "GET", URI: "/c", Host: "h", Header: http.Header{"X-Request-Id": {id}}},
					ParsedRequest{policyRequest: policy.Request{Class: "c"}, timeout: time.Minute, requestID: id}, func() {})
				if err != nil {
					t.Fatal(err)
				}
				if a := wait(t, "an answer", e.Response()); a.Status != 200 {
					t.Fatalf("answered %d", a.Status)
				}
			}
			if queue := p.ExportLearnedState().LatencyModel[0]; (queue > 0) != c.told {
				t.Errorf("mean queue %v; a load was told: %v", queue, c.told)
			}
		})
	}
}

// TestTurnedAwayForm holds which answers prove that a request has not run.
func TestTurnedAwayForm(t *testing.T) {
	for _, c := range []struct {
		status       int
		field, value string
		want         bool
	}{
		{503, "X-Not-Processed", "1", true}, {504, "X-Not-Processed", "1", true},
		{500, "X-Not-Processed", "1", false}, {429, "X-Not-Processed", "1", false}, {200, "X-Not-Processed", "1", false},
		{503, "X-Not-Processed", "true", false}, {503, "X-Not-Processed", "0", false}, {503, "X-Processed", "1", false},
	} {
		if got := provesNotExecuted(&http.Response{StatusCode: c.status, Header: http.Header{c.field: {c.value}}}); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
