package e2e

import (
	"context"
	"sync"
	"time"

	"sorrelrudder/internal/fake"
)

// runClients has clients send requests to all members until ctx ends, rate operations a second to each, and returns the sum of their
// results.
func (f *fleet) runClients(ctx context.Context, name string, rate float64, recorder *fake.EffectRecorder) *fake.ClientResults {
	return f.runClientsAt(ctx, f.members, name, rate, recorder)
}

// runClientsAt does the same at some members. Those that a scenario stops answer late, which is no fault of the program.
func (f *fleet) runClientsAt(ctx context.Context, members []*fleetMember, name string, rate float64, recorder *fake.EffectRecorder) *fake.ClientResults {
	var configs []fake.ClientConfig
	for _, member := range members {
		addr, seed := member.currentProgram().Addr("farm"), f.env.Seed<<8+uint64(member.index)
		configs = append(configs, farmClients(name+member.name, addr, rate, recorder, seed))
	}
	return mergeResults(runAll(ctx, configs)...)
}

// runAll runs several loads at the same time, and returns their results in the same order.
func runAll(ctx context.Context, configs []fake.ClientConfig) []*fake.ClientResults {
	all := make([]*fake.ClientResults, len(configs))
	var clients sync.WaitGroup
	for i, cfg := range configs {
		clients.Go(func() { all[i] = fake.RunClients(ctx, cfg) })
	}
	clients.Wait()
	return all
}

// runClientsFor does the same at all members for a time.
func (f *fleet) runClientsFor(ctx context.Context, length time.Duration, name string, rate float64, recorder *fake.EffectRecorder) *fake.ClientResults {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	return f.runClients(ctx, name, rate, recorder)
}

// startClients runs clients at some members in the background. The channel has the results once ctx has ended.
func (f *fleet) startClients(ctx context.Context, members []*fleetMember, rate float64, recorder *fake.EffectRecorder) <-chan *fake.ClientResults {
	results := make(chan *fake.ClientResults, 1)
	go func() { results <- f.runClientsAt(ctx, members, "farm", rate, recorder) }()
	return results
}

// mergeResults returns the sum of results, of which there is at least one.
func mergeResults(all ...*fake.ClientResults) *fake.ClientResults {
	sum := all[0]
	for _, results := range all[1:] {
		sum = sum.Merge(results)
	}
	return sum
}

// checkAnsweredOnce checks the four rules, and that each request had one response and no operation a second effect.
func (e *Env) checkAnsweredOnce(recorder *fake.EffectRecorder, prefix string) {
	v := e.CheckRules(recorder)
	e.AtLeast(prefix+"answered_once", float64(v.Answered)/float64(max(1, v.Attempts)), 1)
	e.AtMost(prefix+"duplicates", float64(v.DuplicateEffects), 0)
}
