package e2e

import (
	"context"
	"sync"
	"time"

	"sorrelrudder/internal/fake"
)

// runClients sends requests to all members until ctx ends, and returns the sum of the results. rate is in operations per second to each
// member.
func (f *fleet) runClients(ctx context.Context, name string, rate float64, recorder *fake.EffectRecorder) *fake.ClientResults {
	return f.runClientsAt(ctx, f.members, name, rate, recorder)
}

// runClientsAt is like runClients, for some of the members. Scenarios leave out the members that they pause: their late responses are no
// fault of the program.
func (f *fleet) runClientsAt(ctx context.Context, members []*fleetMember, name string, rate float64, recorder *fake.EffectRecorder) *fake.ClientResults {
	var configs []fake.ClientConfig
	for _, member := range members {
		addr, seed := member.currentProgram().Addr("farm"), f.env.Seed<<8+uint64(member.index)
		configs = append(configs, farmClients(name+member.name, addr, rate, recorder, seed))
	}
	return mergeResults(runAll(ctx, configs)...)
}

// runAll runs several loads concurrently and returns their results in the order of configs.
func runAll(ctx context.Context, configs []fake.ClientConfig) []*fake.ClientResults {
	all := make([]*fake.ClientResults, len(configs))
	var clients sync.WaitGroup
	for i, cfg := range configs {
		clients.Go(func() { all[i] = fake.RunClients(ctx, cfg) })
	}
	clients.Wait()
	return all
}

// runClientsFor is like runClients, for a limited time.
func (f *fleet) runClientsFor(ctx context.Context, length time.Duration, name string, rate float64, recorder *fake.EffectRecorder) *fake.ClientResults {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	return f.runClients(ctx, name, rate, recorder)
}

// startClients is like runClientsAt, in the background. The channel receives the results once ctx has ended.
func (f *fleet) startClients(ctx context.Context, members []*fleetMember, rate float64, recorder *fake.EffectRecorder) <-chan *fake.ClientResults {
	results := make(chan *fake.ClientResults, 1)
	go func() { results <- f.runClientsAt(ctx, members, "farm", rate, recorder) }()
	return results
}

// mergeResults returns the sum of the results. It needs at least one.
func mergeResults(all ...*fake.ClientResults) *fake.ClientResults {
	sum := all[0]
	for _, results := range all[1:] {
		sum = sum.Merge(results)
	}
	return sum
}

// checkAnsweredOnce checks the four rules, that each request got exactly one response, and that no operation took effect twice.
func (e *Env) checkAnsweredOnce(recorder *fake.EffectRecorder, prefix string) {
	v := e.CheckRules(recorder)
	e.AtLeast(prefix+"answered_once", float64(v.Answered)/float64(max(1, v.Attempts)), 1)
	e.AtMost(prefix+"duplicates", float64(v.DuplicateEffects), 0)
}
