package e2e

import (
	"context"
	"fmt"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-return", Duration: 40 * time.Second, Run: zoneReturn,
		Summary: "a zone comes back cold, and its boxes fall when they are sent more than they bear then: returned to as a fleet, and by each alone",
	})
}

// zoneReturn loses a zone whose backends come back cold, and fall when they are sent more than they bear then. No list says when they were started:
// what a process knows is that they were away.
func zoneReturn(ctx context.Context, e *Env) error {
	const ramp = 4 * time.Second
	served := map[bool]float64{}
	for _, together := range []bool{false, true} {
		recorder := fake.NewEffectRecorder()
		f, err := e.startZoneFleetOf(ctx, recorder, together, 30, 3, fmt.Sprintf("[pools.farm.safety]\ncold_from = 0.1\nramp = %q\n", ramp), func(b *fake.BackendConfig) {
			b.ServiceTime, b.Cores, b.QueueLimit = 20*time.Millisecond, 2, 200
			b.SlowStartMinCapacity, b.SlowStart, b.CrashDuration, b.LoadReporting = 0.1, ramp, 1500*time.Millisecond, fake.ReportNone
		})
		if err != nil {
			return err
		}
		name := "alone"
		if together {
			name = "together"
		}
		length := e.Duration / 2
		e.Phase("a zone is lost, and its boxes fall when they get too much while cold, "+name, length)
		load, cancel := context.WithTimeout(ctx, length)
		gone := f.loseZone(load, "b", 2*time.Second, 4*time.Second)
		clients := f.runClients(load, name, 18, recorder)
		cancel()
		<-gone.done
		falls, most, lost, used := int64(0), 0.0, int64(0), int64(0)
		for _, b := range f.backends {
			n, hot := b.Crashes()
			falls, most = falls+n, max(most, hot)
			lost += b.LostRequests()
		}
		for _, b := range f.backendsIn("b") {
			used += b.Served()
		}
		e.Measure(name+"_dead_sends", float64(lost))
		e.Measure(name+"_most_cold_share", most)
		e.Measure(name+"_served_by_zone", float64(used))
		e.Measure(name+"_cold_overload", float64(falls))
		served[together] = clients.ServedFraction()
		e.measureResults(name+"_", clients)
		if together {
			e.AtMost("cold_overload", float64(falls), 0)
			all := f.exclusionTimes(0, gone.restored)
			if len(all) < len(f.members) {
				e.Fail("%d of %d processes use the zone again", len(all), len(f.members))
			} else {
				e.Measure("returned_s", all[len(all)-1].Sub(gone.restored).Seconds())
			}
		}
		f.drainAll()
		e.checkAnsweredOnce(recorder, name+"_")
	}
	e.Measure("served_alone", served[false])
	e.AtLeast("served", served[true], served[false]-0.002)
	return nil
}
