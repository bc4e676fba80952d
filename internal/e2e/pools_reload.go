package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "pools-reload", Duration: 20 * time.Second, Run: poolsReload,
		Summary: "200 reloads under load: pools, routes, limits, classes and backends are added, changed and removed",
	})
}

const (
	// reloadCount is the number of times that the configuration is replaced.
	reloadCount = 200

	reloadedMessage       = "msg=reloaded"
	reloadRejectedMessage = "msg=\"reload: the running configuration stays in force\""

	// reloadTolerance is the number of goroutines and file descriptors by which the program may exceed those before the reloads.
	reloadTolerance = 5
)

// reloadConfig returns the configuration of the n-th reload, and whether the program must reject it.
func reloadConfig(n int, backends map[string][]*fake.Backend) (text string, invalid bool) {
	var b strings.Builder
	b.WriteString("[process]\nmemory = \"64MiB\"\ndescriptors = 512\n\n[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n")
	pool := func(name string, all []*fake.Backend, more, classes string) {
		fmt.Fprintf(&b, "\n[pools.%s]\n%s", name, more)
		b.WriteString(serversTOML(name, all))
		b.WriteString(classes)
		fmt.Fprintf(&b, "[[routes]]\nname = %q\nhosts = [%q]\npool = %q\n", name, poolHost(name), name)
	}
	orders, meters := backends["orders"], backends["meters"]
	if n%4 == 1 { // a backend moves to another pool
		meters = append(append([]*fake.Backend{}, meters...), orders[2])
		orders = orders[:2]
	}
	limits := ""
	if n%3 == 1 {
		limits = fmt.Sprintf("weight = %d.0\nlimits = { open = %d, rate = %d.0, burst = 100.0 }\n", 1+n%5, 50+n%50, 500+n)
	}
	pool("orders", orders, limits, classesTOML("orders"))
	classes := classesTOML("meters")
	if n%5 == 2 { // changed settings replace the pool by a new instance
		classes = strings.Replace(classes, `aim = "300ms"`, `aim = "301ms"`, 1)
	}
	pool("meters", meters, "", classes)
	if n%2 == 0 { // a pool is removed and added while requests are in flight
		pool("channels", backends["channels"], "", classesTOML("channels"))
	}
	if n%10 == 7 { // an unknown key
		b.WriteString("\n[pools.orders.limit]\nrate = 1\n")
		return b.String(), true
	}
	return b.String(), false
}

// poolsReload replaces the configuration repeatedly under load, and compares the resources of the idle program before and after.
func poolsReload(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	backends := map[string][]*fake.Backend{}
	for _, name := range poolNames {
		all, err := e.startBackends(name, 3, recorder, func(c *fake.BackendConfig) { c.ServiceTime = 20 * time.Millisecond })
		if err != nil {
			return err
		}
		backends[name] = all
	}
	baseline, _ := reloadConfig(0, backends)
	program, err := e.Start(ctx, baseline, 1)
	if err != nil {
		return err
	}
	before, err := idleUsageOf(ctx, program, baseline)
	if err != nil {
		return err
	}
	e.Phase(fmt.Sprintf("%d reloads under load", reloadCount), e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	loaded := make(chan map[string]*fake.ClientResults, 1)
	go func() { loaded <- e.loadReloadedPools(load, program.Addr("farm"), recorder) }()
	rejected, err := e.reloadRepeatedly(ctx, program, backends)
	if err != nil {
		cancel()
		<-loaded
		return err
	}
	results := <-loaded
	after, err := idleUsageOf(ctx, program, baseline)
	if err != nil {
		return err
	}
	if err := program.Stop(); err != nil {
		e.Fail("the program ended with %v", err)
	}
	e.measureReloads(recorder, rejected, results)
	e.measureIdleUsage(before, after)
	return nil
}

// loadReloadedPools loads all pools until ctx ends, and returns the results by pool.
func (e *Env) loadReloadedPools(ctx context.Context, addr string, recorder *fake.EffectRecorder) map[string]*fake.ClientResults {
	const rate = 80
	classes := map[string][]fake.ClassLoad{
		"orders":   {deliveryOrder, allocationCheck},
		"meters":   {meterBooking, allocationCheck},
		"channels": {allocationCheck, deliveryOrder},
	}
	var configs []fake.ClientConfig
	for _, name := range poolNames {
		cfg := e.poolClients(name, name, addr, rate, recorder, e.Seed, classes[name]...)
		cfg.Backoff = 30 * time.Millisecond
		configs = append(configs, cfg)
	}
	results := map[string]*fake.ClientResults{}
	for i, r := range runAll(ctx, configs) {
		results[poolNames[i]] = r
	}
	return results
}

// reloadRepeatedly replaces the configuration reloadCount times, and returns the number of invalid configurations, which the program had to
// reject. It waits for each reload, since signals that are pending at the same time cause only one.
func (e *Env) reloadRepeatedly(ctx context.Context, program *Program, backends map[string][]*fake.Backend) (rejected int, err error) {
	applied := program.CountLog(reloadedMessage)
	ticker := time.NewTicker(e.Duration / reloadCount)
	defer ticker.Stop()
	for n := 1; n <= reloadCount; n++ {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-ticker.C:
		}
		text, invalid := reloadConfig(n, backends)
		if err := program.Reload(text); err != nil {
			return 0, err
		}
		if invalid {
			rejected++
			_, err = program.AwaitLog(ctx, reloadRejectedMessage, rejected)
		} else {
			applied++
			_, err = program.AwaitLog(ctx, reloadedMessage, applied)
		}
		if err != nil {
			return 0, fmt.Errorf("reload %d: %w\n%s", n, err, program.LogTail(10))
		}
	}
	return rejected, nil
}

func (e *Env) measureReloads(recorder *fake.EffectRecorder, rejected int, results map[string]*fake.ClientResults) {
	v := e.CheckRules(recorder)
	e.Measure("reloads", reloadCount)
	e.Measure("reloads_bad", float64(rejected))
	e.Measure("operations", float64(recorder.Operations()))
	e.Measure("requests", float64(v.Attempts))
	e.AtLeast("answered_share", float64(v.Answered)/float64(v.Attempts), 1)
	e.Measure("effects", float64(v.Effects))
	e.AtMost("effects_doubled", float64(v.DuplicateEffects), 0)
	for _, name := range []string{"orders", "meters"} {
		e.AtLeast(name+"_served_in_time", results[name].ServedFraction(), 0.95)
		e.Measure(name+"_p99_ms", milliseconds(results[name].Percentile(0.99)))
	}
	unrouted := results["channels"].Statuses[http.StatusMisdirectedRequest]
	e.Measure("channels_unrouted", float64(unrouted))
	if unrouted == 0 {
		e.Fail("no request found its pool gone: nothing was shown")
	}
}

func (e *Env) measureIdleUsage(before, after idleUsage) {
	e.Measure("goroutines_before", before.goroutines)
	e.AtMost("goroutines_after", after.goroutines, before.goroutines+reloadTolerance)
	e.Measure("descriptors_before", before.descriptors)
	e.AtMost("descriptors_after", after.descriptors, before.descriptors+reloadTolerance)
	e.Measure("memory_before_mb", before.memoryMB)
	e.Measure("memory_after_mb", after.memoryMB)
}

// idleUsage is the number of resources that the program holds while it has no requests.
type idleUsage struct{ goroutines, descriptors, memoryMB float64 }

const (
	idleUsagePoll = 200 * time.Millisecond

	// maxIdleDescriptors is the number of file descriptors of the program once its idle connections to backends are closed, which
	// takes some seconds.
	maxIdleDescriptors = 16
)

// idleUsageOf loads the configuration text and waits until the program has no client connections, no requests and no draining pools. It
// returns the resources that the program holds then.
func idleUsageOf(ctx context.Context, program *Program, text string) (idleUsage, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		line, err := program.reloadAndAwait(ctx, text)
		if err != nil {
			return idleUsage{}, err
		}
		usage, idle, err := parseReloadLine(line)
		if err != nil {
			return idleUsage{}, err
		}
		if idle {
			if usage, err = program.addUsage(usage); err != nil {
				return idleUsage{}, err
			}
			if usage.descriptors <= maxIdleDescriptors || ctx.Err() != nil {
				return usage, nil
			}
		}
		if !pause(ctx, idleUsagePoll) {
			return idleUsage{}, fmt.Errorf("program did not become idle within the timeout; last reload: %s", line)
		}
	}
}

// reloadAndAwait replaces the configuration, waits until it is in force and returns the log line of the reload.
func (p *Program) reloadAndAwait(ctx context.Context, text string) (string, error) {
	n := p.CountLog(reloadedMessage)
	if err := p.Reload(text); err != nil {
		return "", err
	}
	line, err := p.AwaitLog(ctx, reloadedMessage, n+1)
	if err != nil {
		return "", fmt.Errorf("%w\n%s", err, p.LogTail(10))
	}
	return line, nil
}

// parseReloadLine parses the number of goroutines from the log line of a reload. idle reports whether the program had no client
// connections, no requests and no draining pools.
func parseReloadLine(line string) (usage idleUsage, idle bool, err error) {
	var pools, draining, requests, timers, upstreams, clients int
	_, err = fmt.Sscanf(LogField(line, "load"), "%d pools, %d draining, %d requests, %d timers, %d upstreams, %d clients, %f goroutines",
		&pools, &draining, &requests, &timers, &upstreams, &clients, &usage.goroutines)
	if err != nil {
		return idleUsage{}, false, fmt.Errorf("parsing the log line of a reload: %w: %s", err, line)
	}
	return usage, draining == 0 && requests == 0 && clients == 0, nil
}

// addUsage returns usage with the current file descriptors and memory of the program added.
func (p *Program) addUsage(usage idleUsage) (idleUsage, error) {
	descriptors, err := p.Descriptors()
	if err != nil {
		return idleUsage{}, err
	}
	usage.descriptors = float64(descriptors)
	usage.memoryMB, err = p.MemoryMB()
	return usage, err
}
