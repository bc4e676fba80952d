package e2e

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "replica-rush", Duration: 28 * time.Second, Run: replicaRush,
		Summary: "processes are killed and started again in the rush while two of nine servers are dead: what each serves in its first three seconds, beside its neighbours",
	})
}

// replicaRush starts processes again under load, two at a time, while servers are dead that only those know which have met them.
func replicaRush(ctx context.Context, e *Env) error {
	const first = 3 * time.Second // of a process' life, in which it is compared
	recorder := fake.NewEffectRecorder()
	served := map[string]float64{}
	for _, shared := range []bool{false, true} {
		f, name, err := e.startSharedStateFleet(ctx, shared, fleetConfig{
			processes: 10, voters: 3, backends: 9, recorder: recorder, configureBackend: func(b *fake.BackendConfig) { b.ServiceTime = 15 * time.Millisecond },
		})
		if err != nil {
			return err
		}
		e.Phase("killed and started again in the rush, "+name, e.Duration/2)
		warm, cancel := context.WithTimeout(ctx, 2*time.Second)
		f.runClients(warm, name+"warm", 20, recorder)
		cancel()
		for _, b := range f.backends[:2] {
			f.logEvent("%s dies", b.Name())
			b.SetFault(fake.Fault{Kind: fake.FaultUnreachable, Fraction: 1})
		}
		var again, others *fake.ClientResults
		most := 0.0
		for round := range int(e.Duration / 2 / (first + time.Second)) {
			back := map[int]bool{3 + 2*round%7: true, 4 + 2*round%6: true}
			for i := range back {
				f.members[i].kill()
			}
			began := time.Now()
			for i := range back {
				if err := f.members[i].start(); err != nil {
					return err
				}
			}
			for i := range back {
				if err := f.members[i].awaitReady(ctx); err != nil {
					return err
				}
			}
			most = max(most, time.Since(began).Seconds())
			load, cancel := context.WithTimeout(ctx, first)
			var mu sync.Mutex
			var all sync.WaitGroup
			for _, p := range f.members {
				all.Go(func() {
					c := fake.RunClients(load, fake.ClientConfig{
						Name: fmt.Sprint(name, round, p.name), Addr: p.program.Addr("farm"), Host: "farm.example.org", Rate: 30, MaxAttempts: 1,
						Classes: []fake.ClassLoad{deliveryOrder, meterBooking, allocationCheck}, Recorder: recorder, Seed: e.Seed<<16 + uint64(p.index*100+round),
					})
					mu.Lock()
					defer mu.Unlock()
					to := &others
					if back[p.index] {
						to = &again
					}
					if *to == nil {
						*to = c
					} else {
						*to = (*to).Merge(c)
					}
				})
			}
			all.Wait()
			cancel()
		}
		sent := int64(0)
		for _, b := range f.backends {
			sent += b.LostRequests()
		}
		f.drainAll()
		e.Measure(name+"_started_s", most)
		e.Measure(name+"_dead_sends", float64(sent))
		e.Measure(name+"_served_first", again.ServedFraction())
		e.Measure(name+"_served_neighbours", others.ServedFraction())
		e.Measure(name+"_ops_first", float64(again.Operations()))
		served[name] = others.ServedFraction() - again.ServedFraction()
	}
	e.Measure("behind_alone", served["alone"])
	e.AtMost("behind", served["shared"], 0.03) // of some 600 requests: 0.01 over many seeds
	e.checkAnsweredOnce(recorder, "")
	return nil
}
