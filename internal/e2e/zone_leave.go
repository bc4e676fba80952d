package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-leave", Duration: 24 * time.Second, Run: zoneLeave,
		Summary: "one of three zones is lost under load for five seconds and returns in slow start: left by the fleet together, and by each member alone, on the same seed",
	})
}

// zoneOutcome is the effect of the loss of a zone on the requests.
type zoneOutcome struct {
	lostRequests int64
	served       float64
}

// zoneLeave compares the loss of a zone in a fleet that leaves the zone together, with that in a fleet whose members each detect it alone.
func zoneLeave(ctx context.Context, e *Env) error {
	alone, err := e.playZoneLeave(ctx, false)
	if err != nil {
		return err
	}
	together, err := e.playZoneLeave(ctx, true)
	if err != nil {
		return err
	}
	e.Measure("dead_sends_alone", float64(alone.lostRequests))
	e.Measure("dead_sends", float64(together.lostRequests))
	e.Measure("served_alone", alone.served)
	e.AtLeast("served", together.served, alone.served-0.01)
	return nil
}

func (e *Env) playZoneLeave(ctx context.Context, together bool) (zoneOutcome, error) {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, zoneFleetConfig{recorder: recorder, alone: !together})
	if err != nil {
		return zoneOutcome{}, err
	}
	name, length := comparisonName(together), e.Duration/2
	e.Phase("a zone is lost and returns in slow start, "+name, length)
	load, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	zone := f.loseZone(load, "b", 2*time.Second, 5*time.Second)
	results := f.runClients(load, name, 9, recorder)
	cancel()
	<-zone.done
	outcome := zoneOutcome{f.lostRequests(), results.ServedFraction()}
	e.measureResults(name+"_", results)
	if together {
		f.measureExclusions(zone.lost)
		if err := f.awaitZoneUsed(ctx, 20*time.Second, zone.restored); err != nil {
			return zoneOutcome{}, err
		}
		times := f.exclusionTimes(0, zone.restored)
		e.Measure("returned_s", times[len(times)-1].Sub(zone.restored).Seconds())
		e.Measure("epochs", float64(f.zoneShifts()))
	}
	f.drainAll()
	e.checkAnsweredOnce(recorder, name+"_")
	return outcome, nil
}
