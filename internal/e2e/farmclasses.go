package e2e

import (
	"fmt"
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

// The request classes of the farm app.
var (
	deliveryOrder = fake.ClassLoad{
		Name: "delivery-order", Idempotency: fake.IdempotentByKey, Weight: 1, PriorityWeight: 5, BodyBytes: 200,
		LatencyObjective: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond,
	}
	meterBooking = fake.ClassLoad{
		Name: "meter-booking", Idempotency: fake.NonIdempotent, Weight: 1, PriorityWeight: 3, BodyBytes: 200,
		LatencyObjective: 300 * time.Millisecond, Deadline: time.Second,
	}
	allocationCheck = fake.ClassLoad{
		Name: "allocation-check", Idempotency: fake.Idempotent, Weight: 1, PriorityWeight: 1,
		LatencyObjective: 150 * time.Millisecond, Deadline: 600 * time.Millisecond,
	}
	idempotencyByClass = map[string]fake.Idempotency{
		deliveryOrder.Name: fake.IdempotentByKey, meterBooking.Name: fake.NonIdempotent, allocationCheck.Name: fake.Idempotent,
	}
)

// farmClasses lists all classes of the farm app.
var farmClasses = []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck}

// farmHost is the Host of the farm app's requests.
const farmHost = "farm.example.org"

// farmClients returns the default clients of the farm app: they send all classes, and retry as rejections tell them to.
func farmClients(name, addr string, rate float64, recorder *fake.EffectRecorder, seed uint64) fake.ClientConfig {
	return fake.ClientConfig{
		Name: name, Addr: addr, Host: farmHost, Classes: farmClasses, Rate: rate, MaxAttempts: 3, Backoff: 30 * time.Millisecond,
		HonorRetryAfter: true, Recorder: recorder, Seed: seed,
	}
}

// classesTOML returns the sections of all classes in a pool.
func classesTOML(pool string) string {
	var b strings.Builder
	for _, c := range farmClasses {
		fmt.Fprintf(&b, "[[pools.%s.classes]]\nname = %q\neffect = %q\naim = %q\ndeadline = %q\nworth = %.1f\n",
			pool, c.Name, c.Idempotency, c.LatencyObjective, c.Deadline, c.PriorityWeight)
		if c.Idempotency == fake.IdempotentByKey {
			b.WriteString("repeats_dropped_for = \"30s\"\n")
		}
	}
	return b.String()
}

// serversTOML returns the sections of the backends in a pool.
func serversTOML(pool string, backends []*fake.Backend) string {
	var b strings.Builder
	for _, backend := range backends {
		fmt.Fprintf(&b, "[[pools.%s.servers]]\nname = %q\naddress = %q\n", pool, backend.Name(), backend.Addr())
		if backend.Zone() != "" {
			fmt.Fprintf(&b, "zone = %q\n", backend.Zone())
		}
	}
	return b.String()
}

// startBackends starts n backends that share a deduplicator. Their names begin with pool. change modifies the default configuration of a
// backend and may be nil. The backends are closed when the scenario ends.
func (e *Env) startBackends(pool string, n int, recorder *fake.EffectRecorder, change func(*fake.BackendConfig)) ([]*fake.Backend, error) {
	var all []*fake.Backend
	deduplicator := fake.NewDeduplicator(time.Minute)
	for i := range n {
		cfg := fake.BackendConfig{
			Name: fmt.Sprintf("%s-%d", pool, i+1), Cores: 4, QueueLimit: 40, ServiceTime: 12 * time.Millisecond,
			Idempotency: idempotencyByClass, Deduplicator: deduplicator, Seed: e.Seed<<8 + uint64(i), Recorder: recorder,
		}
		if change != nil {
			change(&cfg)
		}
		backend, err := fake.StartBackend(cfg)
		if err != nil {
			return nil, err
		}
		e.Defer(backend.Close)
		all = append(all, backend)
	}
	return all, nil
}

// startDiscovery starts a discovery that lists the backends. It is closed when the scenario ends.
func (e *Env) startDiscovery(recorder *fake.EffectRecorder, backends []*fake.Backend) (*fake.Discovery, error) {
	discovery, err := fake.StartDiscovery(recorder, endpoints(backends)...)
	if err == nil {
		e.Defer(discovery.Close)
	}
	return discovery, err
}

// endpoints returns the endpoints of backends, as discovery lists them.
func endpoints(backends []*fake.Backend) []fake.Endpoint {
	var all []fake.Endpoint
	for _, backend := range backends {
		all = append(all, backend.Endpoint())
	}
	return all
}

// measureResults measures the outcomes and the latency of a load. prefix is that of the measures' names.
func (e *Env) measureResults(prefix string, results *fake.ClientResults) {
	e.Measure(prefix+"operations", float64(results.Operations()))
	for _, outcome := range []fake.Outcome{fake.OutcomeLate, fake.OutcomeRejected, fake.OutcomeFailed} {
		e.Measure(prefix+outcome.String(), float64(results.Outcomes[outcome]))
	}
	e.Measure(prefix+"p50_ms", milliseconds(results.Percentile(0.5)))
	e.Measure(prefix+"p99_ms", milliseconds(results.Percentile(0.99)))
}
