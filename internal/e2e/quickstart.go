package e2e

import (
	"context"
	"fmt"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "quickstart", Duration: 10 * time.Second, Run: quickstart,
		Summary: "one pool, three boxes, 150 requests a second; halfway one box begins to fail at once",
	})
}

// quickstart shows the program at work: a pool of three backends, of which one errs for a while and one leaves.
func quickstart(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	p, backends, discovery, err := e.startFarm(ctx, recorder, "")
	if err != nil {
		return err
	}
	e.Phase("three boxes, one of which errs for a while and one of which leaves", e.Duration)
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
	clients := fake.RunClients(load, fake.ClientConfig{
		Name: "farm", Addr: p.Addr("farm"), Host: "farm.example.org", Rate: 150, MaxAttempts: 3, Backoff: 30 * time.Millisecond, HonorRetryAfter: true,
		Classes: []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck}, Recorder: recorder, Seed: e.Seed,
	})
	if err := p.Stop(); err != nil {
		e.Fail("the program ended with %v", err)
	}
	v := e.CheckRules(recorder)
	e.measureResults("", clients)
	e.Measure("effects", float64(v.Effects))
	e.Measure("effects_doubled", float64(v.DuplicateEffects))
	e.AtLeast("served_in_time", clients.ServedFraction(), 0.95)
	return nil
}

// startFarm starts a program of one pool of three backends; more is what its file says beside that.
func (e *Env) startFarm(ctx context.Context, l *fake.EffectRecorder, more string) (*Program, []*fake.Backend, *fake.Discovery, error) {
	backends, err := e.startBackends("box", 3, l, nil)
	if err != nil {
		return nil, nil, nil, err
	}
	discovery, err := e.startDiscovery(l, backends)
	if err != nil {
		return nil, nil, nil, err
	}
	p, err := e.Start(ctx, fmt.Sprintf("%s[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n\n[pools.farm]\ndiscovery = %q\n\n%s",
		more, discovery.Addr(), classesTOML("farm")), 1)
	return p, backends, discovery, err
}

// scriptStep is something that is done after a part of a phase.
type scriptStep struct {
	at float64
	do func()
}

// runScript does the steps, which are in order, of a phase of that length, until ctx ends.
func runScript(ctx context.Context, length time.Duration, steps ...scriptStep) {
	began := time.Now()
	for _, s := range steps {
		wait := time.NewTimer(time.Until(began.Add(time.Duration(s.at * float64(length)))))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
			s.do()
		}
	}
}
