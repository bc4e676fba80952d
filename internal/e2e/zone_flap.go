package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "zone-flap", Duration: 30 * time.Second, Run: zoneFlap,
		Summary: "a zone goes and comes every three seconds: it is left, and each return that hurts is followed by a longer hold",
	})
}

func zoneFlap(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	f, err := e.startZoneFleet(ctx, recorder, true, 3)
	if err != nil {
		return err
	}
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	clients := make(chan *fake.ClientResults, 1)
	go func() { clients <- f.runClients(load, "farm", 6, recorder) }()
	e.Phase("the zone goes and comes", e.Duration)
	at := time.Now()
	for pause(load, 1500*time.Millisecond) {
		for _, b := range f.backendsIn("b") {
			b.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
		}
		pause(load, 1500*time.Millisecond)
		for _, b := range f.backendsIn("b") {
			b.RestartSlowStart()
			b.SetFault(fake.Fault{})
		}
	}
	c := <-clients
	if n := len(f.exclusionTimes(3, at)); n < len(f.members) {
		e.Fail("%d of %d processes have ever left the zone", n, len(f.members))
	}
	decided := 0
	for _, p := range f.members {
		decided += p.program.CountLog("zone shift decided")
	}
	// Leaving, and for each return two decisions at least; returns come after holds of 1, 2, 4, 8 s and more.
	e.AtMost("epochs", float64(decided), 16)
	sent := int64(0)
	for _, b := range f.backends {
		sent += b.LostRequests()
	}
	e.Measure("dead_sends", float64(sent))
	e.measureResults("", c)
	e.Measure("served", c.ServedFraction())
	f.drainAll()
	e.checkAnsweredOnce(recorder, "")
	return nil
}
