package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "quickstart", Duration: 10 * time.Second, Run: quickstart,
		Summary: "one pool of three backends at 150 requests per second; one backend fails all requests for a while, and one drains",
	})
}

// quickstart runs the program with a pool of three backends, of which one returns errors for a while and one drains.
func quickstart(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	program, backends, discovery, err := e.startFarm(ctx, recorder, "")
	if err != nil {
		return err
	}
	e.Phase("three backends: one returns errors for a while, and one drains", e.Duration)
	load, cancel := context.WithTimeout(ctx, e.Duration)
	defer cancel()
	go runScript(load, e.Duration,
		scriptStep{0.3, func() { backends[0].SetFault(fake.Fault{Kind: fake.FaultError, Fraction: 1}) }},
		scriptStep{0.6, func() { backends[0].SetFault(fake.Fault{}) }},
		scriptStep{0.7, func() {
			backends[2].Drain(true)
			discovery.SetEndpoints(endpoints(backends)...)
		}},
	)
	results := fake.RunClients(load, farmClients("farm", program.Addr("farm"), 150, recorder, e.Seed))
	if err := program.Stop(); err != nil {
		e.Fail("the program ended with %v", err)
	}
	v := e.CheckRules(recorder)
	e.measureResults("", results)
	e.Measure("effects", float64(v.Effects))
	e.Measure("effects_doubled", float64(v.DuplicateEffects))
	e.AtLeast("served_in_time", results.ServedFraction(), 0.95)
	return nil
}
