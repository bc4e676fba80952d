package policy

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// hedgeDriver generates random events for a Balancer. Some endpoints respond late, so that many hedged requests win; queues are short; and
// the list service fails at times. TestActionTrace rarely reaches these cases.
type hedgeDriver struct {
	*hasher
	b    *Balancer
	rng  *rand.Rand
	last RequestID
	won  int // responses to attempts after the first
}

// hedgeTraceConfig returns cfg with limits for the delays of polls and with a different priority for each class.
func hedgeTraceConfig(cfg Config) Config {
	cfg.PollMaxBackoff, cfg.WatchReopenMaxDelay = 1500*time.Millisecond, 40*time.Millisecond
	for i := range cfg.Classes {
		cfg.Classes[i].PriorityWeight, cfg.Classes[i].LateWeightFraction = float64(i+1), 0.3*float64(i%2)
	}
	return cfg
}

// hedgeTrace generates 4000 events. It returns the hash of all actions and of the learned state, and the number of responses to attempts
// after the first.
func hedgeTrace(t *testing.T, cfg Config, seed uint64) (hash uint64, won int) {
	t.Helper()
	b, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	p := &hedgeDriver{hasher: &hasher{counts: map[RequestID]int{}}, b: b, rng: rand.New(rand.NewPCG(seed, 5))}
	_, list := randomList(p.rng, 0)
	for i := range list {
		list[i].Started, list[i].State = 0, Ready
	}
	b.UpdateEndpoints(0, UpdateCached, list, p)
	for range 4000 {
		p.now += Time(p.rng.Int64N(int64(6 * time.Millisecond)))
		p.event()
		p.record("%v", b.Summarize(p.now))
	}
	learned, err := json.Marshal(b.ExportLearnedState(p.now))
	if err != nil {
		t.Fatal(err)
	}
	p.record("%s", learned)
	return p.hash, p.won
}

// event passes one random event to the Balancer.
func (p *hedgeDriver) event() {
	switch draw := p.rng.IntN(1000); {
	case draw < 250:
		p.last++
		p.b.HandleRequest(p.now, p.request(p.last), p)
	case draw < 650:
		p.endNewestAttempt()
	case draw < 800:
		if id, ok := takeAny(p.rng, &p.healthChecks); ok {
			p.b.HandleHealthCheck(p.now, HealthCheckResult{Endpoint: id, Load: &LoadReport{Queue: float64(p.rng.IntN(10) / 9)}}, p)
		}
	case draw < 995:
		fireDueTimers(p.b, p.hasher)
	default:
		kind := []UpdateKind{UpdatePollFailed, UpdateWatchLost, UpdateDelta}[p.rng.IntN(3)]
		_, list := randomList(p.rng, p.now)
		if kind == UpdateDelta {
			list = list[:min(1, len(list))]
		}
		p.b.UpdateEndpoints(p.now, kind, list, p)
	}
}

// request returns a random request. Hedging is allowed for most of them.
func (p *hedgeDriver) request(id RequestID) Request {
	r := randomRequest(p.rng, p.now, id)
	if p.rng.IntN(4) == 0 {
		return r
	}
	r.Class, r.Expires = []string{"safe", "keyed", "zonal"}[p.rng.IntN(3)], p.now+time.Second
	r.PriorAttempts, r.StreamedBody, r.MaxAttempts = nil, false, 0
	return r
}

// endNewestAttempt ends the newest attempt whose response time has passed. For a request at a slow endpoint, this is usually an attempt
// after the first.
func (p *hedgeDriver) endNewestAttempt() {
	slow := []EndpointID{"s1", "s2", "s5"}
	for i, a := range slices.Backward(p.attempts) {
		age := p.now - a.sentAt
		if age < 8*time.Millisecond || age < 800*time.Millisecond && slices.Contains(slow, a.endpoint) {
			continue
		}
		p.attempts = slices.Delete(p.attempts, i, i+1)
		if a.attempt > 0 {
			p.won++
		}
		status := StatusOK
		if p.rng.IntN(30) == 0 {
			status = Status(p.rng.IntN(8))
		}
		load := &LoadReport{Queue: float64(p.rng.IntN(10) / 9), InFlight: float64(p.rng.IntN(10) / 8)}
		p.b.HandleAttemptResult(p.now, AttemptResult{
			ID: a.id, Attempt: a.attempt, Endpoint: a.endpoint, Status: status, Latency: age, RequestEnded: status == StatusOK, Load: load,
		}, p)
		return
	}
}

// TestHedgeTrace guards against unintended changes of decisions, as TestActionTrace does, in cases where hedged requests win and the list
// service fails.
func TestHedgeTrace(t *testing.T) {
	var got strings.Builder
	for i, cfg := range traceConfigs() {
		for seed := range uint64(10) {
			hash, won := hedgeTrace(t, hedgeTraceConfig(cfg), seed)
			fmt.Fprintf(&got, "config %d seed %d: %016x, %d later attempts answered\n", i, seed, hash, won)
		}
	}
	compareGolden(t, "hedges.golden", got.String())
}
