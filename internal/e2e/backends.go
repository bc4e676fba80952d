package e2e

import (
	"fmt"
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

// The classes of the delta's farm app, as backends and clients know them.
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

// farmClasses are all classes of the farm app.
var farmClasses = []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck}

// farmHost is whom the clients of the farm app ask for.
const farmHost = "farm.example.org"

// farmClients are the usual clients of the farm app: they send all classes, and retry as a rejection tells them.
func farmClients(name, addr string, rate float64, recorder *fake.EffectRecorder, seed uint64) fake.ClientConfig {
	return fake.ClientConfig{
		Name: name, Addr: addr, Host: farmHost, Classes: farmClasses, Rate: rate, MaxAttempts: 3, Backoff: 30 * time.Millisecond,
		HonorRetryAfter: true, Recorder: recorder, Seed: seed,
	}
}

// classesTOML are all classes as the operator's file of a pool has them.
func classesTOML(pool string) string {
	var b strings.Builder
	for _, c := range []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck} {
		fmt.Fprintf(&b, "[[pools.%s.classes]]\nname = %q\neffect = %q\naim = %q\ndeadline = %q\nworth = %.1f\n",
			pool, c.Name, c.Idempotency, c.LatencyObjective, c.Deadline, c.PriorityWeight)
		if c.Idempotency == fake.IdempotentByKey {
			b.WriteString("repeats_dropped_for = \"30s\"\n")
		}
	}
	return b.String()
}

// serversTOML are backends as the operator's file of a pool lists them.
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

// startBackends starts n backends whose names begin with pool, and which drop repeats together.
func (e *Env) startBackends(pool string, n int, l *fake.EffectRecorder, change func(*fake.BackendConfig)) ([]*fake.Backend, error) {
	var all []*fake.Backend
	repeats := fake.NewDeduplicator(time.Minute)
	for i := range n {
		cfg := fake.BackendConfig{
			Name: fmt.Sprintf("%s-%d", pool, i+1), Cores: 4, QueueLimit: 40, ServiceTime: 12 * time.Millisecond,
			Idempotency: idempotencyByClass, Deduplicator: repeats, Seed: e.Seed<<8 + uint64(i), Recorder: l,
		}
		if change != nil {
			change(&cfg)
		}
		b, err := fake.StartBackend(cfg)
		if err != nil {
			return nil, err
		}
		e.Defer(b.Close)
		all = append(all, b)
	}
	return all, nil
}

// startDiscovery starts a discovery that lists the backends.
func (e *Env) startDiscovery(l *fake.EffectRecorder, backends []*fake.Backend) (*fake.Discovery, error) {
	d, err := fake.StartDiscovery(l, endpoints(backends)...)
	if err == nil {
		e.Defer(d.Close)
	}
	return d, err
}

func endpoints(backends []*fake.Backend) []fake.Endpoint {
	var all []fake.Endpoint
	for _, b := range backends {
		all = append(all, b.Endpoint())
	}
	return all
}

// measureResults notes what became of a load of clients.
func (e *Env) measureResults(prefix string, c *fake.ClientResults) {
	e.Measure(prefix+"operations", float64(c.Operations()))
	for _, o := range []fake.Outcome{fake.OutcomeLate, fake.OutcomeRejected, fake.OutcomeFailed} {
		e.Measure(prefix+o.String(), float64(c.Outcomes[o]))
	}
	e.Measure(prefix+"p50_ms", milliseconds(c.Percentile(0.5)))
	e.Measure(prefix+"p99_ms", milliseconds(c.Percentile(0.99)))
}
