package lab

import (
	"context"
	"fmt"
	"slices"
	"time"

	"sorrelrudder/internal/standin"
)

func init() {
	Register(Scenario{
		Name: "tier-cost", Duration: 24 * time.Second, Run: tierCost,
		Summary: "processor time a request of a process that leads a fleet of three and shares state with it, at the usual times, and of one alone, in turn",
	})
}

// tierRounds is how often the two are measured in turn.
const tierRounds = 6

// tierCost compares a process that leads a fleet's council and holds its task's lease, a slot a second, and shares state, with one that knows no others.
func tierCost(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 3, voters: 3, tick: 100 * time.Millisecond, copies: "witnesses = 2\n", tasks: taskTOML("sweep", "/delivery-order/sweep", "1s", "")})
	if err != nil {
		return err
	}
	if err := f.settle(ctx, "task/sweep"); err != nil {
		return err
	}
	ledger := standin.NewLedger()
	text := "[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:0\"\n\n[pools.farm]\n"
	alone, err := e.StartAs(ctx, "alone", text+serversTOML("farm", f.boxes)+classesTOML("farm"), 1)
	if err != nil {
		return err
	}
	leader := f.procs[f.leader()].prog
	part := e.Duration / (2 * tierRounds)
	crowds := 0
	per := func(p *Program) (float64, error) {
		crowds++
		before, err := p.CPU()
		if err != nil {
			return 0, err
		}
		load, cancel := context.WithTimeout(ctx, part)
		defer cancel()
		crowd := standin.RunClients(load, standin.ClientConfig{
			Name: fmt.Sprint("farm", crowds), Addr: p.Addr("farm"), Host: "farm.example.org", Rate: 500, Tries: 1, Classes: []standin.ClassLoad{allocationCheck}, Ledger: ledger, Seed: e.Seed,
		})
		after, err := p.CPU()
		if err != nil || crowd.Ops() == 0 {
			return 0, fmt.Errorf("no requests: %w", err)
		}
		return (after - before).Seconds() / float64(crowd.Ops()), nil
	}
	var ratios []float64
	for n := range tierRounds {
		e.Phase(fmt.Sprintf("round %d of %d", n+1, tierRounds), 2*part)
		first, second := leader, alone
		if n%2 == 1 {
			first, second = alone, leader
		}
		a, err := per(first)
		if err != nil {
			return err
		}
		b, err := per(second)
		if err != nil {
			return err
		}
		if n%2 == 1 {
			a, b = b, a
		}
		ratios = append(ratios, a/b)
	}
	slices.Sort(ratios)
	e.Measure("ratio_least", ratios[0])
	e.Measure("ratio_median", (ratios[(tierRounds-1)/2]+ratios[tierRounds/2])/2)
	e.Measure("ratio_most", ratios[tierRounds-1])
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
	f.stop()
	return nil
}
