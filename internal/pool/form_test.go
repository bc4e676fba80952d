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

// startPlatformPool starts a pool with one backend, which sends response to the one request of each connection. The method and target of
// each request are sent to the returned channel.
func startPlatformPool(t *testing.T, response string, inline bool) (*Pool, <-chan string) {
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
				_, _ = io.WriteString(c, response) // a truncated response fails the test
			}
			c.Close()
		}
	}()
	cfg := policy.Config{
		InstanceCount: 1, MaxAttempts: 1, PollInterval: time.Hour, TimerResolution: time.Millisecond, DialTimeout: 20 * time.Second, InlineLoadReports: inline,
		Classes: []policy.Class{idempotentClass},
	}
	descriptors := process.NewDescriptors(64)
	descriptors.Register(1, quota.Claim{Limit: quota.Unlimited}, func() bool { return false })
	version := int64(1)
	p, err := New(Config{
		Settings:   settings.Settings{Config: cfg, LoadReportFields: []string{"queue", "inflight", "latency_ms", "eps"}},
		Source:     scriptedSource{make(chan *discovery.EndpointList), make(chan struct{}, 1)},
		CachedList: &discovery.EndpointList{Version: &version, Complete: true, Endpoints: []discovery.Endpoint{{ID: "a", Address: ln.Addr().String(), Health: "active"}}},
	}, upstream.New(cfg, descriptors.Pool(1)), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, requests
}

// httpResponse returns a response with the given header field, which is empty or ends with CRLF. The connection closes after it.
func httpResponse(status int, field, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, field, len(body), body)
}

// TestHealthCheckProtocol guards the platform's health check protocol: the request that is sent, and how each response is interpreted.
func TestHealthCheckProtocol(t *testing.T) {
	all := &policy.LoadReport{Queue: 2, InFlight: 7, Latency: 3.5, ErrorRate: 0.25}
	some := &policy.LoadReport{Queue: 2, InFlight: -1, Latency: -1, ErrorRate: -1}
	for _, c := range []struct {
		name, response string
		status         policy.Status
		load           *policy.LoadReport
	}{
		{"all fields", httpResponse(200, "", "TEXT queue=2, inflight=7, latency_ms=3.5, eps=0.25, util=0.61"), policy.StatusOK, all},
		{"no format", httpResponse(200, "", "queue=2\n"), policy.StatusOK, some},
		{"no load", httpResponse(200, "", ""), policy.StatusOK, nil},
		{"load in a field", httpResponse(200, "X-Server-Load: TEXT queue=2\r\n", ""), policy.StatusOK, nil},
		{"503", httpResponse(503, "", "queue=2"), policy.StatusOverloaded, nil},
		{"504", httpResponse(504, "", "queue=2"), policy.StatusApplicationError, nil},
		{"500", httpResponse(500, "", "queue=2"), policy.StatusApplicationError, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, requests := startPlatformPool(t, c.response, true)
			p.mu.Lock()
			peer := p.peers["a"]
			p.mu.Unlock()
			status, load := p.healthCheck(peer)
			if status != c.status || !reflect.DeepEqual(load, c.load) {
				t.Errorf("got status %v and load %+v, want %v and %+v", status, load, c.status, c.load)
			}
			if got := receive(t, "the health check", requests); got != "GET /load" {
				t.Errorf("the health check sent %q, want GET /load", got)
			}
		})
	}
}

// TestInlineLoadReport guards the name of the response header field that carries a load report, and that the report is read only if the
// settings enable inline load reports. After two requests the learned latency model shows whether the queue in the first response's report
// was used for the second request.
func TestInlineLoadReport(t *testing.T) {
	for name, c := range map[string]struct {
		field  string
		inline bool
		used   bool
	}{
		"inline":         {"X-Server-Load: TEXT queue=2\r\n", true, true},
		"in checks only": {"X-Server-Load: TEXT queue=2\r\n", false, false},
		"another field":  {"X-Load: TEXT queue=2\r\n", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := startPlatformPool(t, httpResponse(200, c.field, "ok"), c.inline)
			for _, id := range []string{"r1", "r2"} {
				e, err := p.Submit(&httpmsg.Request{Method: "GET", URI: "/c", Host: "h", Header: http.Header{"X-Request-Id": {id}}},
					ParsedRequest{policyRequest: policy.Request{Class: "c"}, timeout: time.Minute, requestID: id}, func() {})
				if err != nil {
					t.Fatal(err)
				}
				if response := receive(t, "the response", e.Response()); response.Status != 200 {
					t.Fatalf("response has status %d, want 200", response.Status)
				}
			}
			if queue := p.ExportLearnedState().LatencyModel[0]; (queue > 0) != c.used {
				t.Errorf("the mean queue is %v; want it above 0: %v", queue, c.used)
			}
		})
	}
}

// TestProvesNotExecuted guards against retrying a request that may have been executed: only some responses prove that it was not.
func TestProvesNotExecuted(t *testing.T) {
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
			t.Errorf("provesNotExecuted for %+v returned %v", c, got)
		}
	}
}
