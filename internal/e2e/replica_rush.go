package e2e

import (
	"context"
	"fmt"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "replica-rush", Duration: 28 * time.Second, Run: replicaRush,
		Summary: "members are restarted under load while two of nine backends are unreachable: requests served in their first three seconds, compared with the other members",
	})
}

// restartCompareTime is the time after a restart for which members are compared with their neighbours.
const restartCompareTime = 3 * time.Second

// restartOutcome is the result of the members that were just restarted, and of their neighbours: the other members, over the same time.
type restartOutcome struct{ restarted, neighbours *fake.ClientResults }

// servedDeficit returns by how much the served fraction of the restarted members is below that of their neighbours.
func (o restartOutcome) servedDeficit() float64 {
	return o.neighbours.ServedFraction() - o.restarted.ServedFraction()
}

// replicaRush restarts members under load, two at a time, while two backends are unreachable. Without shared state, only members that have
// sent to those backends know it.
func replicaRush(ctx context.Context, e *Env) error {
	recorder := fake.NewEffectRecorder()
	alone, err := e.playRestarts(ctx, false, recorder)
	if err != nil {
		return err
	}
	shared, err := e.playRestarts(ctx, true, recorder)
	if err != nil {
		return err
	}
	e.Measure("behind_alone", alone.servedDeficit())
	e.AtMost("behind", shared.servedDeficit(), 0.03) // of about 600 requests; over many seeds the deficit is 0.01
	e.checkAnsweredOnce(recorder, "")
	return nil
}

func (e *Env) playRestarts(ctx context.Context, shared bool, recorder *fake.EffectRecorder) (outcome restartOutcome, err error) {
	f, name, err := e.startSharedStateFleet(ctx, shared, fleetConfig{
		processes: 10, voters: 3, backends: 9, recorder: recorder,
		configureBackend: func(b *fake.BackendConfig) { b.ServiceTime = 15 * time.Millisecond },
	})
	if err != nil {
		return restartOutcome{}, err
	}
	e.Phase("members are restarted under load, "+name, e.Duration/2)
	f.runClientsFor(ctx, 2*time.Second, name+"warm", 20, recorder)
	for _, backend := range f.backends[:2] {
		f.logEvent("%s becomes unreachable", backend.Name())
		backend.SetFault(unreachableFault)
	}
	maxStart := time.Duration(0)
	for round := range int(e.Duration / 2 / (restartCompareTime + time.Second)) {
		restarted := map[int]bool{3 + 2*round%7: true, 4 + 2*round%6: true}
		startTime, err := f.restartTogether(ctx, restarted)
		if err != nil {
			return restartOutcome{}, err
		}
		maxStart = max(maxStart, startTime)
		outcome.add(f.compareRestarted(ctx, restarted, name, round, recorder))
	}
	lost := f.lostRequests()
	f.drainAll()
	e.Measure(name+"_started_s", maxStart.Seconds())
	e.Measure(name+"_dead_sends", float64(lost))
	e.Measure(name+"_served_first", outcome.restarted.ServedFraction())
	e.Measure(name+"_served_neighbours", outcome.neighbours.ServedFraction())
	e.Measure(name+"_ops_first", float64(outcome.restarted.Operations()))
	return outcome, nil
}

// restartTogether kills members, starts them again and returns the time until all were ready.
func (f *fleet) restartTogether(ctx context.Context, indexes map[int]bool) (time.Duration, error) {
	for i := range indexes {
		f.members[i].kill()
	}
	began := time.Now()
	for i := range indexes {
		if err := f.members[i].start(); err != nil {
			return 0, err
		}
	}
	for i := range indexes {
		if err := f.members[i].awaitReady(ctx); err != nil {
			return 0, err
		}
	}
	return time.Since(began), nil
}

// compareRestarted sends requests without retries to all members for restartCompareTime, and returns the results.
func (f *fleet) compareRestarted(ctx context.Context, restarted map[int]bool, name string, round int, recorder *fake.EffectRecorder) restartOutcome {
	const rate = 30
	load, cancel := context.WithTimeout(ctx, restartCompareTime)
	defer cancel()
	var configs []fake.ClientConfig
	for i, member := range f.members {
		cfg := farmClients(fmt.Sprint(name, round, member.name), member.currentProgram().Addr("farm"), rate, recorder,
			f.env.Seed<<16+uint64(i*100+round))
		cfg.MaxAttempts, cfg.Backoff, cfg.HonorRetryAfter = 1, 0, false
		configs = append(configs, cfg)
	}
	var outcome restartOutcome
	for i, results := range runAll(load, configs) {
		if restarted[i] {
			outcome.restarted = mergeOptional(outcome.restarted, results)
		} else {
			outcome.neighbours = mergeOptional(outcome.neighbours, results)
		}
	}
	return outcome
}

// add adds the results of a round.
func (o *restartOutcome) add(round restartOutcome) {
	o.restarted = mergeOptional(o.restarted, round.restarted)
	o.neighbours = mergeOptional(o.neighbours, round.neighbours)
}

// mergeOptional returns the sum of two results, of which the first may be nil.
func mergeOptional(sum, results *fake.ClientResults) *fake.ClientResults {
	if sum == nil {
		return results
	}
	return sum.Merge(results)
}
