package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-leave", Duration: 24 * time.Second, Run: zoneLeave,
		Summary: "a zone of three is lost for five seconds in the rush and returns cold: left as a fleet, and each process alone, on the same seed",
	})
}

func zoneLeave(ctx context.Context, e *Env) error {
	type outcome struct {
		lost   int64
		served float64
	}
	results := map[bool]outcome{}
	for _, together := range []bool{false, true} {
		recorder := fake.NewEffectRecorder()
		f, err := e.startZoneFleet(ctx, recorder, together, 3)
		if err != nil {
			return err
		}
		name := "alone"
		if together {
			name = "together"
		}
		length := e.Duration / 2
		e.Phase("a zone is lost, and returns cold, "+name, length)
		load, cancel := context.WithTimeout(ctx, length)
		gone := f.loseZone(load, "b", 2*time.Second, 5*time.Second)
		clients := f.runClients(load, name, 9, recorder)
		cancel()
		<-gone.done
		sent := int64(0)
		for _, b := range f.backends {
			sent += b.LostRequests()
		}
		results[together] = outcome{sent, clients.ServedFraction()}
		e.measureResults(name+"_", clients)
		if together {
			left := f.exclusionTimes(3, gone.lost)
			if len(left) < len(f.members) {
				e.Fail("%d of %d processes have left the zone", len(left), len(f.members))
			}
			if len(left) > 0 {
				e.AtMost("left_s", left[len(left)-1].Sub(gone.lost).Seconds(), 4)
				e.AtMost("apart_s", left[len(left)-1].Sub(left[0]).Seconds(), 1)
			}
			if err := f.awaitCondition(ctx, 20*time.Second, "all use the zone again", func() bool { return len(f.exclusionTimes(0, gone.restored)) == len(f.members) }); err != nil {
				return err
			}
			all := f.exclusionTimes(0, gone.restored)
			e.Measure("returned_s", all[len(all)-1].Sub(gone.restored).Seconds())
			decided := 0
			for _, p := range f.members {
				decided += p.program.CountLog("zone shift decided")
			}
			e.Measure("epochs", float64(decided))
		}
		f.drainAll()
		e.checkAnsweredOnce(recorder, name+"_")
	}
	e.Measure("dead_sends_alone", float64(results[false].lost))
	e.Measure("dead_sends", float64(results[true].lost))
	e.Measure("served_alone", results[false].served)
	e.AtLeast("served", results[true].served, results[false].served-0.01)
	return nil
}
