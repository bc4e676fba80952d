package e2e

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	for _, s := range []Scenario{
		{Name: "gateway-calm", Duration: 5 * time.Second, Summary: "two sites with spare capacity: almost no requests are forwarded between them", Run: gatewayCalm},
		{Name: "gateway-cost", Duration: 6 * time.Second, Summary: "all requests of one site are forwarded over a link without delay: the latency that forwarding adds", Run: gatewayCost},
		{Name: "gateway-overload", Duration: 4 * time.Second, Summary: "both sites are overloaded: requests must not be forwarded back and forth", Run: gatewayOverload},
		{Name: "gateway-loss", Duration: 8 * time.Second, Summary: "one site loses 18, 50 and 100% of its backends, each for a while", Run: gatewayLoss},
		{Name: "gateway-stall", Duration: 6 * time.Second, Summary: "the link stalls in both directions and in one while requests are forwarded", Run: gatewayStall},
		{Name: "gateway-drain", Duration: 4 * time.Second, Summary: "both sites drain at the same time while requests are forwarded", Run: gatewayDrain},
		{Name: "gateway-flap", Duration: 6 * time.Second, Summary: "the link is reset and stalled repeatedly while requests are forwarded", Run: gatewayFlap},
		{Name: "gateway-split", Duration: 6 * time.Second, Summary: "the sites are partitioned for a while; both have clients, and one has a capacity shortage", Run: gatewaySplit},
	} {
		Register(s)
	}
}

// gatewayCalm runs two sites with spare capacity, without a link between them and with one. The comparison shows the cost of the gateway.
func gatewayCalm(ctx context.Context, e *Env) error {
	var cost [2]float64
	for i, gateway := range []bool{false, true} {
		t, err := startSites(ctx, e, gateway)
		if err != nil {
			return err
		}
		phase := []string{"alone", "joined"}[i]
		e.Phase("two sites with spare capacity, "+phase, e.Duration)
		load, cancel := context.WithTimeout(ctx, e.Duration)
		all := t.runClients(load, e, phase, [2]float64{siteRate, siteRate}, farmClasses...)
		cancel()
		sum := all[0].Merge(all[1])
		for _, p := range t.programs {
			cpu, err := p.CPU()
			if err != nil {
				return err
			}
			cost[i] += cpu.Seconds() / float64(max(1, sum.Attempts))
		}
		if !gateway {
			t.drainAll(e)
			e.CheckRules(t.recorder)
			continue
		}
		t.finish(e, "")
		e.measureResults("", sum)
		e.AtLeast("served", sum.ServedFraction(), 0.95)
		e.AtMost("crossed_in_calm", e.Measured("crossed_share"), 0.01)
	}
	e.Measure("cpu_us_a_request_alone", 1e6*cost[0])
	e.Measure("cpu_us_a_request", 1e6*cost[1])
	e.Measure("cpu_ratio", cost[1]/cost[0])
	return nil
}

// gatewayCost has a site without backends forward all of its requests over a link without delay, beside clients that send to the other site
// directly. The difference in latency is the cost of forwarding.
func gatewayCost(ctx context.Context, e *Env) error {
	t, err := startSitesOf(ctx, e, true, time.Millisecond)
	if err != nil {
		return err
	}
	t.proxies[0].SetDelay(0)
	t.proxies[1].SetDelay(0)
	t.drainFraction(1, false)
	e.Phase("all requests of one site are forwarded", e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	var memory [2]float64
	go runScript(load, e.Duration,
		scriptStep{0.3, func() { memory[0], _ = t.programs[0].MemoryMB() }},
		scriptStep{0.9, func() { memory[1], _ = t.programs[0].MemoryMB() }})
	all := t.runClients(load, e, "cost", [2]float64{300, 300}, allocationCheck)
	t.finish(e, "")
	e.Measure("direct_p50_ms", milliseconds(all[1].Percentile(0.5)))
	e.Measure("direct_p99_ms", milliseconds(all[1].Percentile(0.99)))
	e.Measure("crossing_p50_ms", milliseconds(all[0].Percentile(0.5)))
	e.Measure("crossing_p99_ms", milliseconds(all[0].Percentile(0.99)))
	e.Measure("crossing_costs_p99_ms", milliseconds(all[0].Percentile(0.99)-all[1].Percentile(0.99)))
	e.Measure("crossing_costs_p50_ms", milliseconds(all[0].Percentile(0.5)-all[1].Percentile(0.5)))
	e.Measure("memory_early_mb", memory[0])
	e.Measure("memory_late_mb", memory[1])
	e.AtLeast("served", all[0].ServedFraction(), 0.8) // includes the requests rejected before the site has detected its capacity shortage
	return nil
}

// gatewayOverload overloads both sites. Requests must not be forwarded back and forth, and the sites must not make more attempts than
// independent sites do.
func gatewayOverload(ctx context.Context, e *Env) error {
	var attempts, served [2]float64
	for i, gateway := range []bool{false, true} {
		t, err := startSites(ctx, e, gateway)
		if err != nil {
			return err
		}
		phase := []string{"alone", "joined"}[i]
		e.Phase("both sites overloaded, "+phase, e.Duration)
		load, cancel := context.WithTimeout(ctx, e.Duration)
		all := t.runClients(load, e, phase, [2]float64{2.5 * siteRate, 2.5 * siteRate}, farmClasses...)
		cancel()
		served[i] = all[0].Merge(all[1]).ServedFraction()
		if gateway {
			t.finish(e, "")
			attempts[i] = e.Measured("amplification")
		} else {
			t.drainAll(e)
			v := e.CheckRules(t.recorder)
			attempts[i] = float64(v.Arrivals) / float64(max(1, v.Operations))
		}
	}
	e.Measure("served_without_gateway", served[0])
	e.Measure("served", served[1])
	e.Measure("amplification_without_gateway", attempts[0])
	e.AtMost("amplification_more", attempts[1]-attempts[0], 0.1)
	e.AtMost("crossed_while_both_short", e.Measured("crossed_share"), 0.05)
	return nil
}

// gatewayLoss runs sites of which one loses a fraction of its backends, with a link between the sites and without it.
func gatewayLoss(ctx context.Context, e *Env) error {
	for _, fraction := range []float64{0.18, 0.5, 1} {
		prefix := fmt.Sprintf("loss_%.0f_", 100*fraction)
		with, err := playLossWithGateway(ctx, e, prefix, fraction)
		if err != nil {
			return err
		}
		without, err := playLossWithoutGateway(ctx, e, prefix, fraction)
		if err != nil {
			return err
		}
		e.Measure(prefix+"served_without_gateway", without)
		// Both sites together keep at least half of their backends. That exceeds the load, so a policy that knew the state of all
		// backends would serve all requests.
		e.AtLeast(prefix+"served", with, 0.95)
	}
	return nil
}

// playLossWithGateway returns the fraction served by both sites, and measures the requests forwarded between them.
func playLossWithGateway(ctx context.Context, e *Env, prefix string, fraction float64) (served float64, err error) {
	t, err := startSites(ctx, e, true)
	if err != nil {
		return 0, err
	}
	results, restored := t.playLoss(ctx, e, prefix+"with", fraction)
	t.finish(e, prefix)
	e.measureResults(prefix, results[0])
	lastCrossing := t.recorder.LastArrivalAt(backendNames(t.backends[1]), t.names[0])
	e.AtMost(prefix+"crosses_after_the_boxes_are_back_s", max(0, lastCrossing.Sub(restored).Seconds()), 10)
	return results[0].Merge(results[1]).ServedFraction(), nil
}

// playLossWithoutGateway returns the fraction served by both sites, which are independent.
func playLossWithoutGateway(ctx context.Context, e *Env, prefix string, fraction float64) (served float64, err error) {
	t, err := startSites(ctx, e, false)
	if err != nil {
		return 0, err
	}
	results, _ := t.playLoss(ctx, e, prefix+"without", fraction)
	t.drainAll(e)
	e.CheckRules(t.recorder)
	return results[0].Merge(results[1]).ServedFraction(), nil
}

// playLoss drains a fraction of the first site's backends for half of the load, and returns the time at which they were restored.
func (t *twoSites) playLoss(ctx context.Context, e *Env, phase string, fraction float64) (results [2]*fake.ClientResults, restored time.Time) {
	length := e.Duration / 2
	e.Phase(phase, length)
	load, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var script sync.WaitGroup
	script.Go(func() {
		runScript(load, length,
			scriptStep{0.2, func() { t.drainFraction(fraction, false) }},
			scriptStep{0.7, func() {
				t.drainFraction(fraction, true)
				restored = time.Now()
			}})
	})
	results = t.runClients(load, e, phase, [2]float64{siteRate, siteRate / 3}, farmClasses...)
	script.Wait()
	return results, restored
}

// gatewayStall has a site that has lost most of its backends forward requests while the link stalls: in both directions, in one, and on one
// connection.
func gatewayStall(ctx context.Context, e *Env) error {
	t, err := startSites(ctx, e, true)
	if err != nil {
		return err
	}
	e.Phase("the link stalls in both directions, in one, and on one connection", e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	var stalled time.Time
	noticed := make(chan time.Duration, 1)
	go runScript(load, e.Duration,
		scriptStep{0.15, func() { t.drainFraction(0.66, false) }},
		scriptStep{0.4, func() {
			stalled = time.Now()
			t.proxies[0].SetStalled(true)
			go func() {
				if _, err := t.programs[0].AwaitLog(load, "to=stalled", 1); err == nil {
					noticed <- time.Since(stalled)
				}
			}()
		}},
		scriptStep{0.5, func() { t.proxies[0].SetStalled(false) }},
		scriptStep{0.58, func() { t.proxies[0].SetDirectionStalled(fake.FromTarget, true) }},
		scriptStep{0.65, func() { t.proxies[0].SetDirectionStalled(fake.FromTarget, false) }},
		scriptStep{0.7, func() { t.proxies[0].StallConnection() }},
		scriptStep{0.8, func() { t.proxies[0].ResetConnections() }},
	)
	all := t.runClients(load, e, "stall", [2]float64{siteRate, siteRate / 3}, farmClasses...)
	t.finish(e, "")
	e.measureResults("", all[0])
	e.AtLeast("served", all[0].Merge(all[1]).ServedFraction(), 0.7)
	select {
	case after := <-noticed: // two round trips, 200 ms, and a margin for the check of the link and for logging
		e.AtMost("stall_noticed_ms", milliseconds(after), milliseconds(200*time.Millisecond+4*siteDelay+60*time.Millisecond))
	default:
		e.Fail("the stall of the link was not noticed")
	}
	e.Measure("stalls_noticed", float64(t.programs[0].CountLog("to=stalled")))
	e.Measure("requests_failed", float64(all[0].Outcomes[fake.OutcomeFailed]))
	return nil
}

// gatewayDrain shuts both sites down while requests are forwarded between them.
func gatewayDrain(ctx context.Context, e *Env) error {
	t, err := startSites(ctx, e, true)
	if err != nil {
		return err
	}
	e.Phase("both sites drain at the same time", e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration*7/10)
	defer cancel()
	var stopping sync.WaitGroup
	stopping.Go(func() {
		runScript(load, e.Duration,
			scriptStep{0.15, func() { t.drainFraction(0.66, false) }},
			scriptStep{0.6, func() {
				for _, p := range t.programs {
					stopping.Go(func() { _ = p.Stop() }) // finish calls Stop again and reports the exit error
				}
			}})
	})
	all := t.runClients(load, e, "drain", [2]float64{siteRate, siteRate / 3}, farmClasses...)
	stopping.Wait()
	t.finish(e, "")
	e.measureResults("", all[0].Merge(all[1]))
	return nil
}

// gatewayFlap resets and stalls the link repeatedly.
func gatewayFlap(ctx context.Context, e *Env) error {
	t, err := startSites(ctx, e, true)
	if err != nil {
		return err
	}
	e.Phase("the link is reset and stalled repeatedly", e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	steps := []scriptStep{{0.1, func() { t.drainFraction(0.66, false) }}}
	for at := 0.2; at < 0.85; at += 0.1 {
		steps = append(steps, scriptStep{at, t.proxies[0].ResetConnections}, scriptStep{at + 0.03, func() { t.proxies[0].SetStalled(true) }}, scriptStep{at + 0.05, func() { t.proxies[0].SetStalled(false) }})
	}
	go runScript(load, e.Duration, steps...)
	all := t.runClients(load, e, "flap", [2]float64{siteRate, siteRate / 3}, farmClasses...)
	t.finish(e, "")
	e.measureResults("", all[0])
	e.Measure("served", all[0].Merge(all[1]).ServedFraction())
	e.Measure("changes_of_the_link", float64(t.programs[0].CountLog(`msg="site link changed state"`)))
	return nil
}

// gatewaySplit partitions the sites while the first has lost half of its backends.
func gatewaySplit(ctx context.Context, e *Env) error {
	t, err := startSites(ctx, e, true)
	if err != nil {
		return err
	}
	e.Phase("the sites are partitioned for a while", e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	go runScript(load, e.Duration,
		scriptStep{0.1, func() { t.drainFraction(0.5, false) }},
		scriptStep{0.3, func() {
			for _, l := range t.proxies {
				l.SetStalled(true)
				l.ResetConnections()
			}
		}},
		scriptStep{0.6, func() {
			for _, l := range t.proxies {
				l.SetStalled(false)
			}
		}})
	all := t.runClients(load, e, "split", [2]float64{siteRate, siteRate}, farmClasses...)
	t.finish(e, "")
	e.measureResults("", all[0].Merge(all[1]))
	e.AtLeast("served", all[0].Merge(all[1]).ServedFraction(), 0.8)
	return nil
}
