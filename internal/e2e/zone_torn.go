package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-torn", Duration: 16 * time.Second, Run: zoneTorn,
		Summary: "faults that only resemble the loss of a zone: a part of its backends unreachable, one backend of each zone unreachable, partitioned members, some errors: no zone may be left",
	})
}

// zoneTorn injects faults that are not the loss of a zone. No zone may be left.
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
	playFault("one of three backends of a zone is unreachable", unreachableFault, one...)
	setFault(one, fake.Fault{})
	oneOfEach := []*fake.Backend{f.backendsIn("a")[0], f.backendsIn("b")[0], f.backendsIn("c")[0]}
	playFault("one backend of each zone is unreachable, as after a bad release", unreachableFault, oneOfEach...)
	setFault(oneOfEach, fake.Fault{})
	e.Phase("the members of one zone are partitioned", part)
	inSecondZone := func(i int) bool { return i%len(zoneNames) == 1 }
	restore := f.partition(func(from, to int) bool { return inSecondZone(from) || inSecondZone(to) })
	pause(ctx, part)
	restore()
	playFault("one in eight responses of a zone is an error", fake.Fault{Kind: fake.FaultError, Fraction: 0.125}, f.backendsIn("c")...)
	cancel()
	results := <-clients
	e.AtMost("wrongly_left", float64(f.zoneShiftDeciders()), 0)
	e.measureResults("", results)
	e.Measure("served", results.ServedFraction())
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}
