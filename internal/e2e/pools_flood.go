package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"sync"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "pools", Duration: 6 * time.Second, Run: pools,
		Summary: "three pools, first under normal load, then with one flooded at ten times its rate limit: the other pools must not be affected",
	})
}

const (
	// floodedPoolRate is the rate limit of the flooded pool, in requests per second.
	floodedPoolRate = 100

	floodMaxInFlight     = 400
	floodBodyBytes       = 60 << 10
	floodHeldConnections = 100 // idle connections, and as many with an unfinished request
)

// poolNames lists the pools. Each pool has its own host.
var poolNames = []string{"orders", "meters", "channels"}

// poolHost returns the host that is routed to a pool.
func poolHost(pool string) string { return pool + ".example.org" }

// poolsTOML returns a configuration of three pools, of which orders has a rate limit. discoveries are the addresses of their discovery
// servers by pool.
func poolsTOML(discoveries map[string]string) string {
	var b strings.Builder
	b.WriteString("[process]\nmemory = \"64MiB\"\ndescriptors = 512\n\n[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n")
	for _, name := range poolNames {
		fmt.Fprintf(&b, "\n[pools.%s]\ndiscovery = %q\n", name, discoveries[name])
		if name == "orders" {
			fmt.Fprintf(&b, "[pools.orders.limits]\nrate = %d.0\nburst = 20.0\n", floodedPoolRate)
		}
		b.WriteString(classesTOML(name))
		fmt.Fprintf(&b, "[[routes]]\nname = %q\nhosts = [%q]\npool = %q\n", name, poolHost(name), name)
	}
	return b.String()
}

// poolsResult is the result of a load on the pools.
type poolsResult struct {
	quiet           *fake.ClientResults // of the pools meters and channels
	flood           *fake.ClientResults // nil without a flood
	cpu             time.Duration       // CPU time of the program
	slowRequests    int64               // connections opened with an unfinished request
	idleConnections int64
}

// pools runs the same load twice: alone, and beside a flood of one pool.
func pools(ctx context.Context, e *Env) error {
	alone, err := runPools(ctx, e, false)
	if err != nil {
		return err
	}
	beside, err := runPools(ctx, e, true)
	if err != nil {
		return err
	}
	e.measurePools(alone, beside)
	return nil
}

func (e *Env) measurePools(alone, beside *poolsResult) {
	quietAlone, quiet, flood := alone.quiet, beside.quiet, beside.flood
	seconds := e.Duration.Seconds()
	e.Measure("quiet_operations", float64(quiet.Operations()))
	e.Measure("quiet_served_alone", quietAlone.ServedFraction())
	e.Measure("quiet_served_beside_flood", quiet.ServedFraction())
	e.AtMost("quiet_served_lost", quietAlone.ServedFraction()-quiet.ServedFraction(), 0.01)
	e.Measure("quiet_p99_alone_ms", milliseconds(quietAlone.Percentile(0.99)))
	e.Measure("quiet_p99_beside_flood_ms", milliseconds(quiet.Percentile(0.99)))
	e.Measure("quiet_p99_ratio", float64(quiet.Percentile(0.99))/float64(quietAlone.Percentile(0.99)))
	limited := flood.Statuses[http.StatusTooManyRequests]
	e.Measure("flood_requests", float64(flood.Attempts))
	e.Measure("flood_refused", float64(limited+flood.Statuses[http.StatusServiceUnavailable]))
	e.Measure("flood_refusal_p50_ms", milliseconds(flood.RejectionPercentile(0.5)))
	e.Measure("flood_refusal_p99_ms", milliseconds(flood.RejectionPercentile(0.99)))
	e.Measure("flood_served_a_second", float64(flood.Statuses[http.StatusOK])/seconds)
	e.Measure("program_cpu_share_alone", alone.cpu.Seconds()/seconds)
	e.Measure("program_cpu_share_beside_flood", beside.cpu.Seconds()/seconds)
	e.Measure("quiet_connections", float64(quiet.Connections))
	e.Measure("flood_slow_heads", float64(beside.slowRequests))
	e.Measure("flood_silent_connections", float64(beside.idleConnections))
	if limited == 0 {
		e.Fail("the flood was never refused by its pool's limit: nothing was shown")
	}
}

// runPools runs the load on a new program with new backends.
func runPools(ctx context.Context, e *Env, flooded bool) (*poolsResult, error) {
	recorder := fake.NewEffectRecorder()
	program, err := e.startPools(ctx, recorder)
	if err != nil {
		return nil, err
	}
	phase := "three pools under normal load"
	if flooded {
		phase = "three pools, with the pool orders flooded"
	}
	e.Phase(phase, e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	result := &poolsResult{}
	addr := program.Addr("farm")
	var all sync.WaitGroup
	all.Go(func() { result.quiet = e.loadQuietPools(load, addr, recorder) })
	all.Go(func() {
		orders := e.poolClients("o", "orders", addr, floodedPoolRate/2, recorder, e.Seed, deliveryOrder, allocationCheck)
		fake.RunClients(load, orders)
	})
	if flooded {
		all.Go(func() { result.flood = e.floodOrders(load, addr, recorder) })
		all.Go(func() {
			result.slowRequests = fake.OpenSlowRequests(load, addr, poolHost("orders"), floodHeldConnections)
		})
		all.Go(func() { result.idleConnections = fake.OpenIdleConnections(load, addr, floodHeldConnections) })
	}
	all.Wait()
	if result.cpu, err = program.CPU(); err != nil {
		return nil, err
	}
	if err := program.Stop(); err != nil {
		e.Fail("the program ended with %v", err)
	}
	e.CheckRules(recorder)
	return result, nil
}

// startPools starts the backends and discovery servers of all pools, and the program.
func (e *Env) startPools(ctx context.Context, recorder *fake.EffectRecorder) (*Program, error) {
	discoveries := map[string]string{}
	for _, name := range poolNames {
		backends, err := e.startBackends(name, 3, recorder, nil)
		if err != nil {
			return nil, err
		}
		discovery, err := e.startDiscovery(recorder, backends)
		if err != nil {
			return nil, err
		}
		discoveries[name] = discovery.Addr()
	}
	return e.Start(ctx, poolsTOML(discoveries), 1)
}

// poolClients returns the default clients of a pool.
func (e *Env) poolClients(name, pool, addr string, rate float64, recorder *fake.EffectRecorder, seed uint64, classes ...fake.ClassLoad) fake.ClientConfig {
	return fake.ClientConfig{
		Name: name, Addr: addr, Host: poolHost(pool), Rate: rate, MaxAttempts: 3, Backoff: 40 * time.Millisecond, HonorRetryAfter: true,
		Recorder: recorder, Seed: seed, Classes: classes,
	}
}

// loadQuietPools loads the pools that are not flooded, and returns the sum of their results.
func (e *Env) loadQuietPools(ctx context.Context, addr string, recorder *fake.EffectRecorder) *fake.ClientResults {
	return mergeResults(runAll(ctx, []fake.ClientConfig{
		e.poolClients("m", "meters", addr, 60, recorder, e.Seed, meterBooking),
		e.poolClients("c", "channels", addr, 90, recorder, e.Seed+1, allocationCheck),
	})...)
}

// floodOrders sends ten times the rate limit of the pool orders and ignores rejections. The flood consists of small requests, large bodies,
// and requests that each open a connection.
func (e *Env) floodOrders(ctx context.Context, addr string, recorder *fake.EffectRecorder) *fake.ClientResults {
	largeOrder := deliveryOrder
	largeOrder.BodyBytes = floodBodyBytes
	small := e.poolClients("f0", "orders", addr, 7*floodedPoolRate, recorder, e.Seed+10, allocationCheck, deliveryOrder)
	large := e.poolClients("f1", "orders", addr, 1*floodedPoolRate, recorder, e.Seed+11, largeOrder)
	connecting := e.poolClients("f2", "orders", addr, 2*floodedPoolRate, recorder, e.Seed+12, allocationCheck)
	connecting.NewConnections = true
	configs := []fake.ClientConfig{small, large, connecting}
	for i := range configs {
		configs[i].HonorRetryAfter, configs[i].Backoff, configs[i].MaxInFlight = false, 0, floodMaxInFlight
	}
	return mergeResults(runAll(ctx, configs)...)
}
