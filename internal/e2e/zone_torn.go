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

// zoneTorn plays faults that are no loss of a zone, in which no zone may be left.
func zoneTorn(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, zoneFleetConfig{recorder: recorder})
	if err != nil {
		return err
	}
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	clients := f.startClients(load, f.members, 6, recorder)
	part := e.Duration / 4
	playFault := func(phase string, fault fake.Fault, backends ...*fake.Backend) {
		e.Phase(phase, part)
		setFault(backends, fault)
		pause(ctx, part)
	}
	one := f.backendsIn("b")[:1]
	playFault("one of a zone's three servers", unreachableFault, one...)
	setFault(one, fake.Fault{})
	oneOfEach := []*fake.Backend{f.backendsIn("a")[0], f.backendsIn("b")[0], f.backendsIn("c")[0]}
	playFault("a server of each zone, as a bad release", unreachableFault, oneOfEach...)
	setFault(oneOfEach, fake.Fault{})
	e.Phase("members that are cut off", part)
	inSecondZone := func(i int) bool { return i%len(zoneNames) == 1 }
	restore := f.partition(func(from, to int) bool { return inSecondZone(from) || inSecondZone(to) })
	pause(ctx, part)
	restore()
	playFault("errors of one in eight", fake.Fault{Kind: fake.FaultError, Fraction: 0.125}, f.backendsIn("c")...)
	cancel()
	results := <-clients
	e.AtMost("wrongly_left", float64(f.zoneShiftDeciders()), 0)
	e.measureResults("", results)
	e.Measure("served", results.ServedFraction())
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}
