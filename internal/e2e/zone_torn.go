package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-torn", Duration: 16 * time.Second, Run: zoneTorn,
		Summary: "what only looks like a lost zone: half of its servers dead, servers of all zones dead alike, members that are cut off: nothing is left",
	})
}

func zoneTorn(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, recorder, true, 3)
	if err != nil {
		return err
	}
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	clients := make(chan *fake.ClientResults, 1)
	go func() { clients <- f.runClients(load, "farm", 6, recorder) }()
	part := e.Duration / 4
	dead := func(backends ...*fake.Backend) (restore func()) {
		for _, b := range backends {
			b.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
		}
		return func() {
			for _, b := range backends {
				b.SetFault(fake.Fault{})
			}
		}
	}
	e.Phase("one of a zone's three servers", part)
	restore := dead(f.backendsIn("b")[0])
	pause(ctx, part)
	restore()
	e.Phase("a server of each zone, as a bad release", part)
	restore = dead(f.backendsIn("a")[0], f.backendsIn("b")[0], f.backendsIn("c")[0])
	pause(ctx, part)
	restore()
	e.Phase("members that are cut off", part)
	restore = f.configureProxies(func(a, b int) bool { return a%3 == 1 || b%3 == 1 }, func(w *fake.FrameFaults) { w.Partitioned = true }, func(w *fake.FrameFaults) { w.Partitioned = false })
	pause(ctx, part)
	restore()
	e.Phase("errors of one in eight", part)
	for _, b := range f.backendsIn("c") {
		b.SetFault(fake.Fault{Kind: fake.FaultError, Fraction: 0.125})
	}
	pause(ctx, part)
	cancel()
	c := <-clients
	e.AtMost("wrongly_left", float64(f.shiftDeciders()), 0)
	e.measureResults("", c)
	e.Measure("served", c.ServedFraction())
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}
