package e2e

import (
	"context"
	"slices"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "replica-dead", Duration: 28 * time.Second, Run: replicaDead,
		Summary: "a server dies silently before 30 processes: sends to it with shared state and without, on the same seed",
	})
}

func replicaDead(ctx context.Context, e *Env) error {
	const processes, backends, rate = 30, 10, 1 // quiet ones: where each meets a server seldom, it pays the most for what others know
	type outcome struct {
		lost   int64
		served float64
	}
	results := map[bool]outcome{}
	recorder := fake.NewEffectRecorder()
	for _, shared := range []bool{false, true} {
		f, name, err := e.startSharedStateFleet(ctx, shared, fleetConfig{
			processes: processes, voters: 3, backends: backends, recorder: recorder, subsets: true,
			configureBackend: func(b *fake.BackendConfig) { b.ServiceTime = 15 * time.Millisecond },
		})
		if err != nil {
			return err
		}
		length := e.Duration / 2
		e.Phase("a server dies silently, "+name, length)
		load, cancel := context.WithTimeout(ctx, length+2*time.Second)
		var dead *fake.Backend
		went := make(chan struct{})
		go func() {
			defer close(went)
			if pause(load, 2*time.Second) { // all have met some servers by then: one of those that are used most
				byUse := slices.SortedFunc(slices.Values(f.backends), func(a, b *fake.Backend) int { return int(b.Served() - a.Served()) })
				dead = byUse[int(e.Seed)%3]
				f.logEvent("%s dies", dead.Name())
				dead.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
			}
		}()
		clients := f.runClients(load, name, rate, recorder)
		cancel()
		<-went
		results[shared] = outcome{dead.LostRequests(), clients.ServedFraction()}
		e.measureResults(name+"_", clients)
		if shared {
			hinted := 0
			for _, s := range f.sharedStates(f.members) {
				hinted += s.Hinted
			}
			e.Measure("hints", float64(hinted))
		}
		f.drainAll()
	}
	e.checkAnsweredOnce(recorder, "")
	e.Measure("dead_sends_alone", float64(results[false].lost))
	e.Measure("dead_sends", float64(results[true].lost))
	e.AtMost("dead_sends_share", float64(results[true].lost)/float64(max(1, results[false].lost)), 0.7) // of some ten sends: a quarter over many seeds
	e.Measure("served_alone", results[false].served)
	e.AtLeast("served", results[true].served, results[false].served-0.01)
	return nil
}
