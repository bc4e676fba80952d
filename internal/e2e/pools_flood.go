package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "pools", Duration: 6 * time.Second, Run: pools,
		Summary: "three pools, alone and then with one flooded at ten times its limit: the others must not feel it",
	})
}

// floodedPoolRate is the limit of the pool that is flooded, in requests a second.
const floodedPoolRate = 100

// poolsTOML is a file of three pools, orders with a limit.
func poolsTOML(lists map[string]string) string {
	var b strings.Builder
	b.WriteString("[process]\nmemory = \"64MiB\"\ndescriptors = 512\n\n[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n")
	for _, name := range []string{"orders", "meters", "channels"} {
		fmt.Fprintf(&b, "\n[pools.%s]\ndiscovery = %q\n", name, lists[name])
		if name == "orders" {
			fmt.Fprintf(&b, "[pools.orders.limits]\nrate = %d.0\nburst = 20.0\n", floodedPoolRate)
		}
		b.WriteString(classesTOML(name))
		fmt.Fprintf(&b, "[[routes]]\nname = %q\nhosts = [\"%s.example.org\"]\npool = %q\n", name, name, name)
	}
	return b.String()
}

// pools plays one and the same load twice: once with no more than that, once beside a flood of one pool.
func pools(ctx context.Context, e *Env) error {
	var quiet [2]poolsResult
	for i, flooded := range []bool{false, true} {
		day, err := runPools(ctx, e, flooded)
		if err != nil {
			return err
		}
		quiet[i] = *day
	}
	alone, beside := quiet[0].quiet, quiet[1].quiet
	e.Measure("quiet_operations", float64(beside.Operations()))
	e.Measure("quiet_served_alone", alone.ServedFraction())
	e.Measure("quiet_served_beside_flood", beside.ServedFraction())
	e.AtMost("quiet_served_lost", alone.ServedFraction()-beside.ServedFraction(), 0.01)
	e.Measure("quiet_p99_alone_ms", milliseconds(alone.Percentile(0.99)))
	e.Measure("quiet_p99_beside_flood_ms", milliseconds(beside.Percentile(0.99)))
	e.Measure("quiet_p99_ratio", float64(beside.Percentile(0.99))/float64(alone.Percentile(0.99)))
	f := quiet[1].flood
	e.Measure("flood_requests", float64(f.Attempts))
	e.Measure("flood_refused", float64(f.Statuses[429]+f.Statuses[503]))
	e.Measure("flood_refusal_p50_ms", milliseconds(f.RejectionPercentile(0.5)))
	e.Measure("flood_refusal_p99_ms", milliseconds(f.RejectionPercentile(0.99)))
	e.Measure("flood_served_a_second", float64(f.Statuses[200])/e.Duration.Seconds())
	e.Measure("program_cpu_share_alone", quiet[0].cpu.Seconds()/e.Duration.Seconds())
	e.Measure("program_cpu_share_beside_flood", quiet[1].cpu.Seconds()/e.Duration.Seconds())
	e.Measure("quiet_connections", float64(beside.Connections))
	e.Measure("flood_slow_heads", float64(quiet[1].slowRequests))
	e.Measure("flood_silent_connections", float64(quiet[1].idleConnections))
	if f.Statuses[429] == 0 {
		e.Fail("the flood was never refused by its pool's limit: nothing was shown")
	}
	return nil
}

type poolsResult struct {
	quiet                         *fake.ClientResults // of meters and channels
	flood                         *fake.ClientResults
	slowRequests, idleConnections int64
	cpu                           time.Duration // of the program
}

// runPools plays a day with a program and backends of its own.
func runPools(ctx context.Context, e *Env, flooded bool) (*poolsResult, error) {
	recorder := fake.NewEffectRecorder()
	lists := map[string]string{}
	for _, name := range []string{"orders", "meters", "channels"} {
		backends, err := e.startBackends(name, 3, recorder, nil)
		if err != nil {
			return nil, err
		}
		d, err := e.startDiscovery(recorder, backends)
		if err != nil {
			return nil, err
		}
		lists[name] = d.Addr()
	}
	p, err := e.Start(ctx, poolsTOML(lists), 1)
	if err != nil {
		return nil, err
	}
	name := "three pools alone"
	if flooded {
		name = "three pools, orders flooded"
	}
	e.Phase(name, e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	day := &poolsResult{}
	addr := p.Addr("farm")
	usual := fake.ClientConfig{
		Addr: addr, MaxAttempts: 3, Backoff: 40 * time.Millisecond, HonorRetryAfter: true, Recorder: recorder, Seed: e.Seed,
	}
	var all sync.WaitGroup
	all.Go(func() { // meters and channels are one load each; their sums are the quiet pools' measure
		meters, channels := usual, usual
		meters.Name, meters.Host, meters.Rate = "m", "meters.example.org", 60
		meters.Classes = []fake.ClassLoad{meterBooking}
		channels.Name, channels.Host, channels.Rate = "c", "channels.example.org", 90
		channels.Classes = []fake.ClassLoad{allocationCheck}
		channels.Seed++
		var a, b *fake.ClientResults
		var both sync.WaitGroup
		both.Go(func() { a = fake.RunClients(load, meters) })
		both.Go(func() { b = fake.RunClients(load, channels) })
		both.Wait()
		day.quiet = a.Merge(b)
	})
	all.Go(func() {
		orders := usual
		orders.Name, orders.Host, orders.Rate = "o", "orders.example.org", floodedPoolRate/2
		orders.Classes = []fake.ClassLoad{deliveryOrder, allocationCheck}
		fake.RunClients(load, orders)
	})
	if flooded {
		flood := usual
		flood.Host, flood.MaxAttempts, flood.HonorRetryAfter, flood.Backoff = "orders.example.org", 3, false, 0
		flood.MaxInFlight = 400
		big := deliveryOrder
		big.BodyBytes = 60 << 10
		var clientResults [3]*fake.ClientResults
		for i, change := range []func(*fake.ClientConfig){
			func(c *fake.ClientConfig) { c.Classes = []fake.ClassLoad{allocationCheck, deliveryOrder} },
			func(c *fake.ClientConfig) { c.Classes = []fake.ClassLoad{big} },
			func(c *fake.ClientConfig) { c.Classes, c.NewConnections = []fake.ClassLoad{allocationCheck}, true },
		} {
			c := flood
			c.Name, c.Seed, c.Rate = fmt.Sprintf("f%d", i), e.Seed+10+uint64(i), []float64{7, 1, 2}[i]*floodedPoolRate
			change(&c)
			all.Go(func() { clientResults[i] = fake.RunClients(load, c) })
		}
		all.Go(func() { day.slowRequests = fake.OpenSlowRequests(load, addr, "orders.example.org", 100) })
		all.Go(func() { day.idleConnections = fake.OpenIdleConnections(load, addr, 100) })
		all.Wait()
		day.flood = clientResults[0].Merge(clientResults[1]).Merge(clientResults[2])
	}
	all.Wait()
	cpu, err := p.CPU()
	if err != nil {
		return nil, err
	}
	day.cpu = cpu
	if err := p.Stop(); err != nil {
		e.Fail("the program ended with %v", err)
	}
	e.CheckRules(recorder)
	return day, nil
}
