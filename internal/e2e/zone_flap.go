package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-flap", Duration: 30 * time.Second, Run: zoneFlap,
		Summary: "a zone fails and recovers every three seconds: the fleet leaves it, and each failed return is followed by a longer hold",
	})
}

const (
	flapHalfPeriod = 1500 * time.Millisecond

	// maxFlapShifts is the target for the number of zone shifts in a run: one to leave, and at least two for each return. The holds
	// before the returns are 1, 2, 4, 8 s and longer.
	maxFlapShifts = 16
)

// zoneFlap loses and restores a zone repeatedly.
func zoneFlap(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, zoneFleetConfig{recorder: recorder})
	if err != nil {
		return err
	}
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	clients := f.startClients(load, f.members, 6, recorder)
	e.Phase("the zone fails and recovers repeatedly", e.Duration)
	began := time.Now()
	for pause(load, flapHalfPeriod) {
		setFault(f.backendsIn("b"), unreachableFault)
		pause(load, flapHalfPeriod)
		f.restoreZone("b")
	}
	results := <-clients
	if n := len(f.exclusionTimes(backendsPerZone, began)); n < len(f.members) {
		e.Fail("%d of %d processes have ever left the zone", n, len(f.members))
	}
	e.AtMost("epochs", float64(f.zoneShifts()), maxFlapShifts)
	e.Measure("dead_sends", float64(f.lostRequests()))
	e.measureResults("", results)
	e.Measure("served", results.ServedFraction())
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}
