package e2e

import (
	"context"
	"sync"
	"time"

	"sorrelrudder/internal/fake"
)

// runClients has clients ask at all processes until ctx ends, rate operations a second at each, and returns what became of all.
func (f *fleet) runClients(ctx context.Context, name string, rate float64, recorder *fake.EffectRecorder) *fake.ClientResults {
	return f.runClientsAt(ctx, f.members, name, rate, recorder)
}

// runClientsAt does so at some: one that is stopped answers late, which is no fault of its own.
func (f *fleet) runClientsAt(ctx context.Context, members []*fleetMember, name string, rate float64, recorder *fake.EffectRecorder) *fake.ClientResults {
	var mu sync.Mutex
	var all sync.WaitGroup
	var sum *fake.ClientResults
	for _, p := range members {
		addr := p.program.Addr("farm")
		all.Go(func() {
			c := fake.RunClients(ctx, fake.ClientConfig{
				Name: name + p.name, Addr: addr, Host: "farm.example.org", Rate: rate, MaxAttempts: 3, Backoff: 30 * time.Millisecond, HonorRetryAfter: true,
				Classes: []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck}, Recorder: recorder, Seed: f.env.Seed<<8 + uint64(p.index),
			})
			mu.Lock()
			defer mu.Unlock()
			if sum == nil {
				sum = c
			} else {
				sum = sum.Merge(c)
			}
		})
	}
	all.Wait()
	return sum
}

// checkAnsweredOnce holds the four rules, and that each request had one answer and none a second effect.
func (e *Env) checkAnsweredOnce(recorder *fake.EffectRecorder, prefix string) {
	v := e.CheckRules(recorder)
	e.AtLeast(prefix+"answered_once", float64(v.Answered)/float64(max(1, v.Attempts)), 1)
	e.AtMost(prefix+"duplicates", float64(v.DuplicateEffects), 0)
}
