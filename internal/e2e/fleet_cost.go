package e2e

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "tier-cost", Duration: 48 * time.Second, Run: fleetCost,
		Summary: "processor time a request of a process that leads a fleet of three and shares state with it, at the usual times, and of one alone, in turn at two rates: what it costs by request, and what by time",
	})
}

// fleetCostRounds is how often the two are measured in turn, at each of the rates.
const fleetCostRounds = 6

// fleetCostRates are requests a second. What knowing a fleet costs by the time, heartbeats and renewals, is the same at each; the rest is by request.
var fleetCostRates = []float64{500, 2500}

// fleetCost compares a process that leads a fleet's consensus group and holds its task's lease, a slot a second, and shares state, with one that knows no others.
func fleetCost(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{
		processes: 3, voters: 3, ttl: 3 * time.Second, tick: 100 * time.Millisecond, sharedState: "witnesses = 2\n", tasks: taskTOML("sweep", "/delivery-order/sweep", "1s", ""),
	})
	if err != nil {
		return err
	}
	if err := f.settle(ctx, "task/sweep"); err != nil {
		return err
	}
	recorder := fake.NewEffectRecorder()
	text, _, _ := strings.Cut(f.members[0].configText(), "[tier]") // the same pool, and no fleet
	alone, err := e.StartNamed(ctx, "alone", text, 1)
	if err != nil {
		return err
	}
	leader := f.members[f.consensusLeader()].program
	part := e.Duration / time.Duration(2*fleetCostRounds*len(fleetCostRates))
	clientResults := 0
	// used is the processor time a second, and the requests a second, under a load.
	used := func(p *Program, rate float64) (cores, requests float64, err error) {
		clientResults++
		before, err := p.CPU()
		if err != nil {
			return 0, 0, err
		}
		began := time.Now()
		load, cancel := context.WithTimeout(ctx, part)
		defer cancel()
		clients := fake.RunClients(load, fake.ClientConfig{
			Name: fmt.Sprint("farm", clientResults), Addr: p.Addr("farm"), Host: "farm.example.org", Rate: rate, MaxAttempts: 1, Classes: []fake.ClassLoad{allocationCheck}, Recorder: recorder, Seed: e.Seed,
		})
		after, err := p.CPU()
		if err != nil || clients.Operations() == 0 {
			return 0, 0, fmt.Errorf("no requests: %w", err)
		}
		length := time.Since(began).Seconds()
		return (after - before).Seconds() / length, float64(clients.Operations()) / length, nil
	}
	ratios := make([][]float64, len(fleetCostRates))
	var slopes, byTime []float64
	for n := range fleetCostRounds {
		e.Phase(fmt.Sprintf("round %d of %d", n+1, fleetCostRounds), 2*part*time.Duration(len(fleetCostRates)))
		type point struct{ cores, requests float64 }
		points := map[*Program][]point{}
		for i, rate := range fleetCostRates {
			pair := []*Program{leader, alone}
			if (n+i)%2 == 1 {
				slices.Reverse(pair)
			}
			for _, p := range pair {
				cores, requests, err := used(p, rate)
				if err != nil {
					return err
				}
				points[p] = append(points[p], point{cores, requests})
			}
			a, b := points[leader][i], points[alone][i]
			ratios[i] = append(ratios[i], a.cores/a.requests/(b.cores/b.requests))
		}
		last := len(fleetCostRates) - 1
		slope := func(p *Program) float64 {
			return (points[p][last].cores - points[p][0].cores) / (points[p][last].requests - points[p][0].requests)
		}
		slopes = append(slopes, slope(leader)/slope(alone))
		byTime = append(byTime, points[leader][0].cores-points[leader][0].requests*slope(leader)-(points[alone][0].cores-points[alone][0].requests*slope(alone)))
	}
	told := func(name string, all []float64) {
		slices.Sort(all)
		e.Measure(name+"_least", all[0])
		e.Measure(name, (all[(len(all)-1)/2]+all[len(all)/2])/2)
		e.Measure(name+"_most", all[len(all)-1])
	}
	for i, rate := range fleetCostRates {
		told(fmt.Sprintf("ratio_at_%.0f", rate), ratios[i])
	}
	told("ratio_by_request", slopes)
	told("cores_by_time", byTime)
	rest := map[*Program]time.Duration{}
	for _, p := range []*Program{leader, alone} {
		if rest[p], err = p.CPU(); err != nil {
			return err
		}
	}
	pause(ctx, 2*part)
	for name, p := range map[string]*Program{"cores_at_rest": leader, "cores_at_rest_alone": alone} {
		now, err := p.CPU()
		if err != nil {
			return err
		}
		e.Measure(name, (now-rest[p]).Seconds()/(2*part).Seconds())
	}
	memory, err := leader.MemoryMB()
	if err != nil {
		return err
	}
	e.Measure("memory_mb", memory)
	if memory, err = alone.MemoryMB(); err != nil {
		return err
	}
	e.Measure("memory_alone_mb", memory)
	f.drainAll()
	return nil
}
