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
		Summary: "a zone returns in slow start, and its backends crash if they receive more than their capacity: returned to by the fleet together, and by each member alone",
	})
}

const (
	zoneReturnProcesses   = 30
	zoneReturnSlowStart   = 4 * time.Second
	zoneReturnMinCapacity = 0.1
)

// zoneReturn loses a zone whose backends crash if they are overloaded in slow start. The endpoint list has no start times: members know
// only that the backends were unreachable.
func zoneReturn(ctx context.Context, e *Env) error {
	alone, err := e.playZoneReturn(ctx, false)
	if err != nil {
		return err
	}
	together, err := e.playZoneReturn(ctx, true)
	if err != nil {
		return err
	}
	e.Measure("served_alone", alone)
	e.AtLeast("served", together, alone-0.002)
	return nil
}

func (e *Env) playZoneReturn(ctx context.Context, together bool) (served float64, err error) {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, zoneFleetConfig{
		recorder: recorder, alone: !together, processes: zoneReturnProcesses,
		poolSections: fmt.Sprintf("[pools.farm.safety]\ncold_from = %.1f\nramp = %q\n", zoneReturnMinCapacity, zoneReturnSlowStart),
		configureBackend: func(b *fake.BackendConfig) {
			b.ServiceTime, b.Cores, b.QueueLimit = 20*time.Millisecond, 2, 200
			b.SlowStartMinCapacity, b.SlowStart = zoneReturnMinCapacity, zoneReturnSlowStart
			b.CrashDuration, b.LoadReporting = 1500*time.Millisecond, fake.ReportNone
		},
	})
	if err != nil {
		return 0, err
	}
	name, length := comparisonName(together), e.Duration/2
	e.Phase("a zone is lost, and its backends crash if they are overloaded in slow start, "+name, length)
	load, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	zone := f.loseZone(load, "b", 2*time.Second, 4*time.Second)
	results := f.runClients(load, name, 18, recorder)
	cancel()
	<-zone.done
	crashes := f.measureSlowStart(name)
	e.measureResults(name+"_", results)
	if together {
		e.AtMost("cold_overload", float64(crashes), 0)
		times := f.exclusionTimes(0, zone.restored)
		if len(times) < len(f.members) {
			e.Fail("%d of %d processes use the zone again", len(times), len(f.members))
		} else {
			e.Measure("returned_s", times[len(times)-1].Sub(zone.restored).Seconds())
		}
	}
	f.drainAll()
	e.checkAnsweredOnce(recorder, name+"_")
	return results.ServedFraction(), nil
}

// measureSlowStart measures the requests that backends received while they were unreachable and in slow start, and returns the number of
// crashes.
func (f *fleet) measureSlowStart(name string) (crashes int64) {
	peakLoad, served := 0.0, int64(0)
	for _, backend := range f.backends {
		n, peak := backend.Crashes()
		crashes, peakLoad = crashes+n, max(peakLoad, peak)
	}
	for _, backend := range f.backendsIn("b") {
		served += backend.Served()
	}
	f.env.Measure(name+"_dead_sends", float64(f.lostRequests()))
	f.env.Measure(name+"_most_cold_share", peakLoad)
	f.env.Measure(name+"_served_by_zone", float64(served))
	f.env.Measure(name+"_cold_overload", float64(crashes))
	return crashes
}
