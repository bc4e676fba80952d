package policy

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the golden files of this package")

// hasher is an Actions that adds each action to a hash, and stores the timers, health checks and attempts whose results a host would report
// later.
type hasher struct {
	lightTraffic bool // light traffic, most requests have a response in time
	now          Time
	actions      int
	hash         uint64
	timers       []dueTimer
	healthChecks []EndpointID
	attempts     []sentAttempt
	uploads      []RequestID
	counts       map[RequestID]int
}

type dueTimer struct {
	at    Time
	token string
}

type sentAttempt struct {
	id       RequestID
	attempt  int
	endpoint EndpointID
	sentAt   Time
}

func (h *hasher) record(format string, args ...any) {
	sum := fnv.New64a()
	fmt.Fprintf(sum, "%x %d ", h.hash, h.now)
	fmt.Fprintf(sum, format, args...)
	h.hash = sum.Sum64()
	h.actions++
}

func (h *hasher) StartAttempt(id RequestID, endpointID EndpointID, d time.Duration) {
	h.record("send %d %s %d", id, endpointID, d)
	h.attempts = append(h.attempts, sentAttempt{id, h.counts[id], endpointID, h.now})
	h.counts[id]++
}
func (h *hasher) Reject(id RequestID, d time.Duration)    { h.record("refuse %d %d", id, d) }
func (h *hasher) Fail(id RequestID)                       { h.record("fail %d", id) }
func (h *hasher) CancelAttempt(id RequestID, attempt int) { h.record("cancel %d %d", id, attempt) }
func (h *hasher) SetTimer(d time.Duration, token string) {
	h.record("timer %d %s", d, token)
	h.timers = append(h.timers, dueTimer{h.now + d, token})
}
func (h *hasher) CheckHealth(endpointID EndpointID) {
	h.record("probe %s", endpointID)
	h.healthChecks = append(h.healthChecks, endpointID)
}
func (h *hasher) WatchEndpoints(on bool) { h.record("watch %v", on) }
func (h *hasher) Log(text string)        { h.record("log %s", text) }

// takeAny removes a random element of list.
func takeAny[T any](rng *rand.Rand, list *[]T) (x T, ok bool) {
	if len(*list) == 0 {
		return x, false
	}
	i := rng.IntN(len(*list))
	x = (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return x, true
}

// traceConfigs returns configurations that together reach each branch of the package.
func traceConfigs() []Config {
	base := testConfig()
	base.InstanceCount, base.InstanceIndex = 7, 3
	base.RetryAfterHonored, base.MaxRetryAfter = true, 2*time.Second
	base.ConnectionCost, base.HandshakeCost = 0.05, 0.001
	zonal := base
	zonal.CrossZoneCost, zonal.InlineLoadReports = 0.5, true
	pushed := base
	pushed.EndpointsPushed, pushed.HealthChecksAllowed, pushed.CancellationAllowed = true, false, false
	keyed := base
	keyed.KeyAffinity, keyed.InstanceCount, keyed.InstanceIndex = true, 300, 250
	alone := testConfig()
	alone.HedgingAllowed, alone.MaxAttempts = false, 2
	return []Config{base, zonal, pushed, keyed, alone}
}

// randomLoad returns a random load report, or nil.
func randomLoad(rng *rand.Rand) *LoadReport {
	if rng.IntN(5) == 0 {
		return nil
	}
	queue := rng.Float64() * 6
	if rng.IntN(8) == 0 {
		queue = -1
	}
	return &LoadReport{Queue: queue, InFlight: rng.Float64() * 8, Latency: 40, ErrorRate: rng.Float64()}
}

// randomList returns a random update of a list of twelve endpoints, some of them restarted.
func randomList(rng *rand.Rand, now Time) (UpdateKind, []Endpoint) {
	kind := []UpdateKind{UpdateDelta, UpdateDelta, UpdateFull, UpdateCached, UpdatePollFailed, UpdateWatchLost}[rng.IntN(6)]
	var list []Endpoint
	for i := range 12 {
		if kind == UpdateDelta && rng.IntN(4) > 0 {
			continue
		}
		e := Endpoint{ID: EndpointID(fmt.Sprint("s", i)), Zone: string(rune('a' + i%2)), Cell: i / 3, MachineType: fmt.Sprint("k", i%3), Weight: 1}
		if rng.IntN(5) == 0 {
			e.State = EndpointState(rng.IntN(3))
		}
		if i%4 == 0 {
			e.Started = max(0, now-Time(rng.Int64N(int64(10*time.Second))))
		}
		list = append(list, e)
	}
	return kind, list
}

// trace generates random events, first for a new Balancer and then for one that has imported its learned state. It returns the hash of all
// actions and of the learned state, and the number of actions.
func trace(t *testing.T, cfg Config, seed uint64, events int, lightTraffic bool) (uint64, int) {
	t.Helper()
	b, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	h := &hasher{lightTraffic: lightTraffic, counts: map[RequestID]int{}}
	_, first := randomList(rng, 0)
	b.UpdateEndpoints(0, UpdateCached, first, h)
	var last RequestID
	for range events {
		h.now += Time(rng.Int64N(int64(12 * time.Millisecond)))
		applyRandomEvent(b, h, rng, &last)
		summary := b.Summarize(h.now)
		h.record("seen %d %v %d", summary.TypicalLatency, summary.CapacityShortage, summary.EjectedEndpoints)
	}
	learned, err := json.Marshal(b.ExportLearnedState(h.now))
	if err != nil {
		t.Fatal(err)
	}
	h.record("learnt %s", learned)
	next, _ := New(cfg, seed)
	kind, list := randomList(rng, h.now)
	next.UpdateEndpoints(h.now, kind, list, h)
	next.ImportLearnedState(h.now, b.ExportLearnedState(h.now))
	for range events / 4 {
		h.now += Time(rng.Int64N(int64(12 * time.Millisecond)))
		applyRandomEvent(next, h, rng, &last)
	}
	return h.hash, h.actions
}

// applyRandomEvent passes one random event to b.
func applyRandomEvent(b *Balancer, h *hasher, rng *rand.Rand, last *RequestID) {
	requests := 330
	if h.lightTraffic {
		requests = 130
	}
	switch draw := rng.IntN(1000); {
	case draw < requests:
		*last++
		b.HandleRequest(h.now, randomRequest(rng, h.now, *last), h)
	case draw < 600:
		applyAttemptResult(b, h, rng)
	case draw < 800:
		applyHealthCheck(b, h, rng)
	case draw < 940:
		fireDueTimers(b, h)
	case draw < 955:
		b.HandleRequestAbandoned(h.now, *last-min(*last, RequestID(rng.IntN(5))), h)
	case draw < 965:
		b.HandleResponseStarted(h.now, *last-min(*last, RequestID(rng.IntN(5))), 0, h)
	case draw < 975:
		id := *last - min(*last, RequestID(rng.IntN(3)))
		b.HandleBodyStarted(h.now, id, 0)
		h.uploads = append(h.uploads, id)
	case draw < 985:
		if id, ok := takeAny(rng, &h.uploads); ok {
			b.HandleBodyFinished(h.now, id, h.now+time.Second, h)
		}
	case draw < 992:
		b.HandleUnreachableHint(h.now, EndpointID(fmt.Sprint("s", rng.IntN(13))))
	default:
		kind, list := randomList(rng, h.now)
		b.UpdateEndpoints(h.now, kind, list, h)
	}
}

// randomRequest returns a random request of a known or an unknown class.
func randomRequest(rng *rand.Rand, now Time, id RequestID) Request {
	classes := []string{"safe", "safe", "keyed", "zonal", "cellular", "unsafe", "unknown"}
	r := Request{ID: id, Class: classes[rng.IntN(len(classes))], Tenant: "t", Expires: now + Time(rng.Int64N(int64(time.Second)))}
	if rng.IntN(3) == 0 {
		r.Key, r.ExpectedWork = fmt.Sprint("key", rng.IntN(4)), 20*time.Millisecond
	}
	if rng.IntN(12) == 0 {
		r.PriorAttempts = []PriorAttempt{{Zone: "a", Cell: 1, NotExecuted: rng.IntN(2) == 0, DedupRemaining: 200 * time.Millisecond}}
	}
	if rng.IntN(12) == 0 {
		r.MaxAttempts = 1 + rng.IntN(2)
	}
	r.StreamedBody = rng.IntN(15) == 0
	if !r.StreamedBody && rng.IntN(2) == 0 {
		r.Expires = now + time.Second
	}
	return r
}

// fireDueTimers fires the timers that are due, in order of time.
func fireDueTimers(b *Balancer, h *hasher) {
	slices.SortStableFunc(h.timers, func(x, y dueTimer) int { return cmp.Compare(x.at, y.at) })
	for len(h.timers) > 0 && h.timers[0].at <= h.now {
		token := h.timers[0].token
		h.timers = h.timers[1:]
		b.HandleTimer(h.now, token, h)
	}
}

// applyAttemptResult ends a random attempt with a random status, mostly StatusOK. Under light traffic, attempts at s1 and s2 take at least
// one second.
func applyAttemptResult(b *Balancer, h *hasher, rng *rand.Rand) {
	a, ok := takeAny(rng, &h.attempts)
	if !ok {
		return
	}
	if h.lightTraffic && (a.endpoint == "s1" || a.endpoint == "s2") && h.now-a.sentAt < time.Second { // slow endpoints
		h.attempts = append(h.attempts, a)
		return
	}
	status := StatusOK
	if rng.IntN(4) == 0 {
		status = Status(rng.IntN(int(StatusNotSent) + 1))
	}
	b.HandleAttemptResult(h.now, AttemptResult{
		ID: a.id, Attempt: a.attempt, Endpoint: a.endpoint, Status: status, Latency: h.now - a.sentAt, RequestEnded: status == StatusOK, Load: randomLoad(rng),
	}, h)
}

// applyHealthCheck ends a random health check with a random status, mostly StatusOK.
func applyHealthCheck(b *Balancer, h *hasher, rng *rand.Rand) {
	endpointID, ok := takeAny(rng, &h.healthChecks)
	if !ok {
		return
	}
	status := StatusOK
	if rng.IntN(8) == 0 {
		status = Status(rng.IntN(int(StatusNotSent) + 1))
	}
	b.HandleHealthCheck(h.now, HealthCheckResult{Endpoint: endpointID, Status: status, Latency: 2 * time.Millisecond, Load: randomLoad(rng)}, h)
}

// TestActionTrace guards against unintended changes of decisions, including the random draws. Equal events and an equal seed must give the
// sequence of actions from which the golden file was written.
func TestActionTrace(t *testing.T) {
	var got strings.Builder
	for i, cfg := range traceConfigs() {
		for seed := range uint64(4) {
			for _, lightTraffic := range []bool{false, true} {
				hash, actions := trace(t, cfg, seed+1, 4000, lightTraffic)
				fmt.Fprintf(&got, "config %d seed %d calm %v: %016x after %d actions\n", i, seed+1, lightTraffic, hash, actions)
			}
		}
	}
	compareGolden(t, "actions.golden", got.String())
}

// compareGolden compares got with a golden file in testdata, and rewrites the file with -update.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the actions differ from the golden file:\ngot\n%swant\n%s", got, want)
	}
}
