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
		Name: "pools-reload", Duration: 20 * time.Second, Run: poolsReload,
		Summary: "200 reloads under load: pools, routes, limits, classes and boxes come, change and go",
	})
}

// reloadCount is how many times the configuration is replaced.
const reloadCount = 200

// reloadConfig is a configuration of the reload day, drawn by the number of the reload.
func reloadConfig(n int, backends map[string][]*fake.Backend) (text string, bad bool) {
	var b strings.Builder
	b.WriteString("[process]\nmemory = \"64MiB\"\ndescriptors = 512\n\n[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n")
	pool := func(name string, all []*fake.Backend, more, classes string) {
		fmt.Fprintf(&b, "\n[pools.%s]\n%s", name, more)
		b.WriteString(serversTOML(name, all))
		b.WriteString(classes)
		fmt.Fprintf(&b, "[[routes]]\nname = %q\nhosts = [\"%s.example.org\"]\npool = %q\n", name, name, name)
	}
	orders, meters := backends["orders"], backends["meters"]
	if n%4 == 1 { // a backend changes its pool
		meters = append(append([]*fake.Backend{}, meters...), orders[2])
		orders = orders[:2]
	}
	limits := ""
	if n%3 == 1 {
		limits = fmt.Sprintf("weight = %d.0\nlimits = { open = %d, rate = %d.0, burst = 100.0 }\n", 1+n%5, 50+n%50, 500+n)
	}
	pool("orders", orders, limits, classesTOML("orders"))
	classes := classesTOML("meters")
	if n%5 == 2 { // other settings: the pool is replaced by a new instance
		classes = strings.Replace(classes, `aim = "300ms"`, `aim = "301ms"`, 1)
	}
	pool("meters", meters, "", classes)
	if n%2 == 0 { // a pool that comes and goes, with requests in flight
		pool("channels", backends["channels"], "", classesTOML("channels"))
	}
	if n%10 == 7 {
		b.WriteString("\n[pools.orders.limit]\nrate = 1\n")
		return b.String(), true
	}
	return b.String(), false
}

func poolsReload(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	backends := map[string][]*fake.Backend{}
	for _, name := range []string{"orders", "meters", "channels"} {
		all, err := e.startBackends(name, 3, recorder, func(c *fake.BackendConfig) { c.ServiceTime = 20 * time.Millisecond })
		if err != nil {
			return err
		}
		backends[name] = all
	}
	text, _ := reloadConfig(0, backends)
	p, err := e.Start(ctx, text, 1)
	if err != nil {
		return err
	}
	before, err := idleUsageOf(ctx, p, text)
	if err != nil {
		return err
	}
	e.Phase(fmt.Sprintf("%d reloads under load", reloadCount), e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	usual := fake.ClientConfig{
		Addr: p.Addr("farm"), MaxAttempts: 3, Backoff: 30 * time.Millisecond, HonorRetryAfter: true, Recorder: recorder, Seed: e.Seed,
	}
	clientResults := map[string]*fake.ClientResults{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for name, classes := range map[string][]fake.ClassLoad{
		"orders": {deliveryOrder, allocationCheck}, "meters": {meterBooking, allocationCheck}, "channels": {allocationCheck, deliveryOrder},
	} {
		c := usual
		c.Name, c.Host, c.Classes, c.Rate = name, name+".example.org", classes, 80
		all.Go(func() {
			clients := fake.RunClients(load, c)
			mu.Lock()
			defer mu.Unlock()
			clientResults[name] = clients
		})
	}
	bad := 0
	applied := 1 // of settled
	tick := time.NewTicker(e.Duration / reloadCount)
	defer tick.Stop()
	for n := 1; n <= reloadCount; n++ {
		select {
		case <-ctx.Done():
			all.Wait()
			return ctx.Err()
		case <-tick.C:
		}
		text, wrong := reloadConfig(n, backends)
		if err := p.Reload(text); err != nil {
			return err
		}
		// Each is waited for: signals that come together count once.
		if wrong {
			bad++
			_, err = p.AwaitLog(ctx, "msg=\"reload: the running configuration stays in force\"", bad)
		} else {
			applied++
			_, err = p.AwaitLog(ctx, "msg=reloaded", applied)
		}
		if err != nil {
			return fmt.Errorf("reload %d: %w\n%s", n, err, p.LogTail(10))
		}
	}
	all.Wait()
	text, _ = reloadConfig(0, backends)
	after, err := idleUsageOf(ctx, p, text)
	if err != nil {
		return err
	}
	if err := p.Stop(); err != nil {
		e.Fail("the program ended with %v", err)
	}
	v := e.CheckRules(recorder)
	e.Measure("reloads", reloadCount)
	e.Measure("reloads_bad", float64(bad))
	e.Measure("operations", float64(recorder.Operations()))
	e.Measure("requests", float64(v.Attempts))
	e.AtLeast("answered_share", float64(v.Answered)/float64(v.Attempts), 1)
	e.Measure("effects", float64(v.Effects))
	e.AtMost("effects_doubled", float64(v.DuplicateEffects), 0)
	for _, name := range []string{"orders", "meters"} {
		e.AtLeast(name+"_served_in_time", clientResults[name].ServedFraction(), 0.95)
		e.Measure(name+"_p99_ms", milliseconds(clientResults[name].Percentile(0.99)))
	}
	e.Measure("channels_unrouted", float64(clientResults["channels"].Statuses[421]))
	if clientResults["channels"].Statuses[421] == 0 {
		e.Fail("no request found its pool gone: nothing was shown")
	}
	e.Measure("goroutines_before", before.goroutines)
	e.AtMost("goroutines_after", after.goroutines, before.goroutines+5)
	e.Measure("descriptors_before", before.descriptors)
	e.AtMost("descriptors_after", after.descriptors, before.descriptors+5)
	e.Measure("memory_before_mb", before.memoryMB)
	e.Measure("memory_after_mb", after.memoryMB)
	return nil
}

// idleUsage is what the program holds while nothing is asked of it.
type idleUsage struct{ goroutines, descriptors, memoryMB float64 }

// idleUsageOf makes text the configuration and waits until the program has no connection of clients, no request and no pool
// that drains; it returns what the program holds then.
func idleUsageOf(ctx context.Context, p *Program, text string) (r idleUsage, err error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		n := p.CountLog("msg=reloaded")
		if err := p.Reload(text); err != nil {
			return r, err
		}
		line, err := p.AwaitLog(ctx, "msg=reloaded", n+1)
		if err != nil {
			return r, fmt.Errorf("%w\n%s", err, p.LogTail(10))
		}
		var pools, draining, requests, timers, servers, clients int
		_, err = fmt.Sscanf(LogField(line, "load"), "%d pools, %d draining, %d requests, %d timers, %d upstreams, %d clients, %f goroutines",
			&pools, &draining, &requests, &timers, &servers, &clients, &r.goroutines)
		if err != nil {
			return r, fmt.Errorf("the log line of a reload: %w: %s", err, line)
		}
		if draining == 0 && requests == 0 && clients == 0 {
			fds, err := p.Descriptors()
			if err != nil {
				return r, err
			}
			r.descriptors = float64(fds)
			r.memoryMB, err = p.MemoryMB()
			// Idle connections to backends close within some seconds; a run is measured without them.
			if r.descriptors <= 16 || ctx.Err() != nil {
				return r, err
			}
		}
		select {
		case <-ctx.Done():
			return r, fmt.Errorf("the program does not come to rest: %s", line)
		case <-time.After(200 * time.Millisecond):
		}
	}
}
