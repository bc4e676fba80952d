package pool

import (
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRequestIDSet holds the ids of open requests against what they promise, over any order of requests: none is taken twice while
// it is open or has just ended, each can be used again at last, and what is remembered stays bounded.
func TestRequestIDSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep = 10 * time.Second
		ids := newRequestIDSet(keep)
		open, ended := map[string]bool{}, map[string]time.Duration{}
		now := time.Duration(0)
		name := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")) })
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.Int64Range(1, int64(8*time.Second)).Draw(t, "by")) },
			"open": func(t *rapid.T) {
				id := name.Draw(t, "id")
				at, had := ended[id]
				taken := ids.open(now, id)
				switch free := !open[id] && (!had || now-at > keep); {
				case taken && !free:
					t.Fatalf("%s was taken twice", id)
				case !taken && free:
					t.Fatalf("%s is free and was not taken", id)
				case taken:
					open[id] = true
				}
			},
			"close": func(t *rapid.T) {
				id := name.Draw(t, "id")
				if !open[id] {
					t.Skip()
				}
				ids.close(now, id)
				delete(open, id)
				ended[id] = now
			},
		})
	})
}

func TestRequestIDSetBounded(t *testing.T) {
	ids := newRequestIDSet(time.Hour)
	for i := range 3 * maxClosedIDs {
		id := fmt.Sprint(i)
		if !ids.open(0, id) {
			t.Fatal(id)
		}
		ids.close(0, id)
	}
	if len(ids.ids) > maxClosedIDs+1 {
		t.Errorf("%d ids are remembered, at most %d may be", len(ids.ids), maxClosedIDs+1)
	}
}

func TestParseRequest(t *testing.T) {
	p := &Pool{maxDeadline: 5 * time.Second, idempotency: map[string]policy.Idempotency{
		"check": policy.Idempotent, "order": policy.IdempotentByKey, "book": policy.NonIdempotent,
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
		status       int // 0: legal
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
		ask, err := p.ParseRequest(&httpmsg.Request{Method: c.method, Header: c.header}, c.path)
		bad, _ := err.(httpmsg.RejectionError)
		if bad.Status != c.status || (err == nil) != (c.status == 0) {
			t.Errorf("%s: %v", name, err)
		}
		if err == nil && (ask.timeout != 300*time.Millisecond || ask.idempotent != (c.method == "GET")) {
			t.Errorf("%s: %+v", name, ask)
		}
	}
	ask, err := p.ParseRequest(&httpmsg.Request{Method: "GET", Header: header(
		"X-Timeout-Ms", "60000", "X-Tenant-Id", "t", "X-Retried", "1", "X-Cost", "1500")}, "/check/of/7")
	want := policy.Request{Class: "check", Key: "7", Tenant: "t", IsRetry: true, ExpectedWork: 1500 * time.Microsecond}
	if err != nil || !reflect.DeepEqual(ask.policyRequest, want) || ask.timeout != p.maxDeadline {
		t.Errorf("got %+v, %v", ask, err)
	}
}

// FuzzParseLoadReport guards against a panic and against figures that are none.
func FuzzParseLoadReport(f *testing.F) {
	for _, text := range []string{"TEXT inflight=7, queue=2, util=0.61", "queue=2", "queue=-1", "queue=NaN, inflight=1e300", "=,=", "TEXT "} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		l := parseLoadReport(text, []string{"queue", "inflight"})
		if l == nil {
			return
		}
		for _, v := range []float64{l.Queue, l.InFlight} {
			if !(v == -1 || v >= 0 && v <= maxLoadFigure) {
				t.Fatalf("%q gives %+v", text, l)
			}
		}
	})
}
