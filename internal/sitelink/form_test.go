package sitelink

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/goldentest"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/siteheader"
	"sorrelrudder/policy"
)

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(q *http.Request) (*http.Response, error) { return f(q) }

func formExtension(t *testing.T) *Extension {
	t.Helper()
	p := Pool{Settings: testSettings("a"), Peer: "far", SharedDedupClasses: []string{"order"}}
	e, err := New(Config{Site: "near", Peers: []Peer{{Name: "far", Address: "10.9.0.1:7443"}}, Pools: map[string]Pool{"orders": p}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	e.links["orders"].peer = e.peer("far")
	return e
}

// TestHealthCheckForm pins the encoding of a health check request and the parsing of the response.
func TestHealthCheckForm(t *testing.T) {
	l := formExtension(t).links["orders"]
	var sent bytes.Buffer
	l.client = &http.Client{Transport: roundTrip(func(q *http.Request) (*http.Response, error) {
		if err := q.Write(&sent); err != nil {
			return nil, err
		}
		h := http.Header{"Sorrel-Hop-Answer": {"v=1, how=served, spent=0, room=7, stamp=5"}}
		return &http.Response{StatusCode: http.StatusOK, Header: h, Body: io.NopCloser(strings.NewReader("")), Request: q}, nil
	})}
	a, status, err := l.checkPeer(time.Second)
	if want := (siteheader.Response{Outcome: siteheader.Served, Credits: 7, Stamp: 5 * time.Microsecond}); err != nil || status != http.StatusOK || a != want {
		t.Errorf("response to the health check: got %+v, status %d, error %v, want %+v", a, status, err, want)
	}
	zone := l.peer.zone()
	goldentest.CheckForms(t, "probe.golden", []goldentest.Form{{Name: "probe", Written: fmt.Sprintf("%q", sent.String())}, {Name: "zone of a peer", Written: zone}})
}

// TestForwardedRequestForm pins how the attributes of a request are encoded in the RequestField, and how a response is classified.
func TestForwardedRequestForm(t *testing.T) {
	l := formExtension(t).links["orders"]
	l.maxAttempts = 5
	l.peerClock, l.peerClockReadAt = 77*time.Second, l.extension.now()
	q := &policy.Request{
		Class: "order", Tenant: "acme", Key: "k-1", ExpectedWork: 2 * time.Millisecond, IsRetry: true,
		PriorAttempts: []policy.PriorAttempt{{Zone: "a", DedupRemaining: 9 * time.Second}, {NotExecuted: true}},
	}
	fields := l.ExtraFields(q, nil, 400*time.Millisecond)
	if len(fields) != 1 || fields[0].Name != "Sorrel-Hop" {
		t.Fatalf("got fields %+v, want only Sorrel-Hop", fields)
	}
	got, err := siteheader.ParseRequest([]string{fields[0].Value}, "far")
	if err != nil {
		t.Fatal(err)
	}
	got.StampAge, got.StallTimeout = 0, 0 // depend on the current time
	want := &siteheader.Request{
		TimeLeft: 397 * time.Millisecond, Pool: "orders", Class: "order", Tenant: "acme", Key: "k-1", ExpectedWork: 2 * time.Millisecond, IsRetry: true, AttemptsMade: 2, AttemptsAllowed: 3,
		Executions: []siteheader.Execution{{DedupRemaining: 9 * time.Second}}, Origin: "near", Path: []string{"near"}, Stamp: 77 * time.Second,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("forwarded request: got %+v, want %+v", got, want)
	}
	responses := []struct {
		status  int
		outcome string
		want    policy.Status
	}{
		{http.StatusOK, "served", policy.StatusOK}, {http.StatusBadGateway, "served", policy.StatusApplicationError}, {http.StatusServiceUnavailable, "refused", policy.StatusOverloaded},
		{http.StatusBadGateway, "may-have-run", policy.StatusApplicationError},
	}
	for _, x := range responses {
		h := http.Header{"Sorrel-Hop-Answer": {"v=1, how=" + x.outcome + ", spent=1, room=7, stamp=5"}}
		if got, _ := l.ClassifyResponse(x.status, h); got != x.want {
			t.Errorf("status %d with outcome %s: classified as %v, want %v", x.status, x.outcome, got, x.want)
		}
	}
}

// TestRejectionForm pins the statuses of rejections. It also guards against a rejection without the field that states that the request
// was not executed.
func TestRejectionForm(t *testing.T) {
	e := formExtension(t)
	h := &handler{extension: e}
	good := `v=1, left=90000000, pool="orders", class="order", used=0, may=2, stamp=NOW, ago=0, within=80000000, origin="far", passed=("far")`
	stamp := fmt.Sprint("stamp=", e.now().Microseconds())
	good = strings.Replace(good, "stamp=NOW", stamp, 1)
	var forms []goldentest.Form
	reject := func(name, peer, path string, header http.Header) {
		_, _, err := h.Admit(&httpmsg.Request{Method: http.MethodGet, Path: path, Peer: peer, Header: header})
		rejection, ok := errors.AsType[httpmsg.RejectionError](err)
		if !ok {
			t.Fatalf("%s: got error %v, want an httpmsg.RejectionError", name, err)
		}
		a, err := siteheader.ParseResponse(rejection.Header.Values("Sorrel-Hop-Answer"), 2)
		if err != nil || a.Outcome != siteheader.Rejected || a.Attempts != 0 || a.Credits != 0 {
			t.Errorf("%s: got response field %+v, error %v, want outcome refused without attempts and credits", name, a, err)
		}
		forms = append(forms, goldentest.Form{Name: name, Written: strconv.Itoa(rejection.Status)})
	}
	request := func(name, old, new string) {
		reject(name, "far", "/x", http.Header{"Sorrel-Hop": {strings.Replace(good, old, new, 1)}})
	}
	reject("not a peer", "?", "/x", http.Header{"Sorrel-Hop": {good}})
	reject("no field", "far", "/x", http.Header{})
	reject("probe of another pool", "far", "/hop", http.Header{"Sorrel-Hop-Pool": {"others"}})
	request("another version", "v=1", "v=2")
	request("a second hop", `passed=("far")`, `passed=("far" "third")`)
	request("another origin", `"far", passed=("far")`, `"third", passed=("third")`)
	request("another pool", `"orders"`, `"others"`)
	request("more groups than attempts", "used=0", `used=0, ran=("all";for=9)`)
	request("too late", stamp, "stamp=0") // one hour before now
	request("no time left", stamp+", ago=0, within=80000000", "stamp=0, ago=0, within=8000000000")
	e.draining.Store(true)
	request("drains", "v=1", "v=1")
	reject("probe of one that drains", "far", "/hop", http.Header{"Sorrel-Hop-Pool": {"orders"}})
	goldentest.CheckForms(t, "refusals.golden", forms)
}
