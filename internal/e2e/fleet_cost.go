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
		Summary: "CPU time of the leader of a fleet of three that shares state, with the default intervals, and of a process without a fleet, alternately at two rates: the cost per request and the cost that is independent of requests",
	})
}

// fleetCostRounds is the number of rounds. Each round measures both processes at each of the rates.
const fleetCostRounds = 6

// fleetCostRates are in requests per second. The part of the cost that depends on time, such as heartbeats, is the same at each rate; the
// rest depends on the number of requests.
var fleetCostRates = []float64{500, 2500}

// fleetCostScenario compares the CPU time of a fleet's leader, which holds the lease of a task and shares state, with that of a process
// without a fleet.
type fleetCostScenario struct {
	env           *Env
	leader, alone *Program
	recorder      *fake.EffectRecorder
	roundLength   time.Duration // length of the load on one process at one rate
	loads         int           // number of loads so far

	ratios    [][]float64 // leader to process without a fleet, of the CPU time per request, by rate and round
	byRequest []float64   // the same ratio of the CPU time of an additional request, by round
	byTime    []float64   // leader minus process without a fleet, of the CPU seconds per second that do not depend on requests, by round
}

// costPoint is the CPU usage of a process at a request rate.
type costPoint struct {
	cores    float64 // CPU seconds per second
	requests float64 // per second
}

// coresPerRequest returns the CPU seconds per request.
func (p costPoint) coresPerRequest() float64 { return p.cores / p.requests }

// costLine is the CPU usage of a process at the lowest and at the highest rate.
type costLine struct{ low, high costPoint }

// slope returns the CPU seconds of an additional request.
func (l costLine) slope() float64 {
	return (l.high.cores - l.low.cores) / (l.high.requests - l.low.requests)
}

// coresWithoutRequests returns the CPU seconds per second that do not depend on requests.
func (l costLine) coresWithoutRequests() float64 { return l.low.cores - l.low.requests*l.slope() }

func fleetCost(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{
		processes: 3, voters: 3, ttl: 3 * time.Second, tick: 100 * time.Millisecond, sharedState: "witnesses = 2\n", tasks: sweepTask("1s"),
	})
	if err != nil {
		return err
	}
	if err := f.repairAndAwaitLease(ctx, sweepLease); err != nil {
		return err
	}
	text, _, _ := strings.Cut(f.members[0].configText(), "[tier]") // the same pool without a fleet
	alone, err := e.StartNamed(ctx, "alone", text, 1)
	if err != nil {
		return err
	}
	s := &fleetCostScenario{
		env: e, leader: f.members[f.consensusLeader()].currentProgram(), alone: alone, recorder: fake.NewEffectRecorder(),
		roundLength: e.Duration / time.Duration(2*fleetCostRounds*len(fleetCostRates)), ratios: make([][]float64, len(fleetCostRates)),
	}
	for round := range fleetCostRounds {
		e.Phase(fmt.Sprintf("round %d of %d", round+1, fleetCostRounds), 2*s.roundLength*time.Duration(len(fleetCostRates)))
		if err := s.playRound(ctx, round); err != nil {
			return err
		}
	}
	s.measureRounds()
	if err := s.measureAtRest(ctx); err != nil {
		return err
	}
	f.drainAll()
	return nil
}

// playRound measures both processes at each rate. Which one is measured first alternates between rates and rounds.
func (s *fleetCostScenario) playRound(ctx context.Context, round int) error {
	points := map[*Program][]costPoint{}
	for i, rate := range fleetCostRates {
		pair := []*Program{s.leader, s.alone}
		if (round+i)%2 == 1 {
			slices.Reverse(pair)
		}
		for _, program := range pair {
			point, err := s.load(ctx, program, rate)
			if err != nil {
				return err
			}
			points[program] = append(points[program], point)
		}
		s.ratios[i] = append(s.ratios[i], points[s.leader][i].coresPerRequest()/points[s.alone][i].coresPerRequest())
	}
	last := len(fleetCostRates) - 1
	leader := costLine{points[s.leader][0], points[s.leader][last]}
	alone := costLine{points[s.alone][0], points[s.alone][last]}
	s.byRequest = append(s.byRequest, leader.slope()/alone.slope())
	s.byTime = append(s.byTime, leader.coresWithoutRequests()-alone.coresWithoutRequests())
	return nil
}

// load sends requests to a process at a rate and returns its CPU usage.
func (s *fleetCostScenario) load(ctx context.Context, program *Program, rate float64) (costPoint, error) {
	s.loads++
	before, err := program.CPU()
	if err != nil {
		return costPoint{}, err
	}
	began := time.Now()
	load, cancel := context.WithTimeout(ctx, s.roundLength)
	defer cancel()
	results := fake.RunClients(load, fake.ClientConfig{
		Name: fmt.Sprint("farm", s.loads), Addr: program.Addr("farm"), Host: farmHost, Rate: rate, MaxAttempts: 1,
		Classes: []fake.ClassLoad{allocationCheck}, Recorder: s.recorder, Seed: s.env.Seed,
	})
	after, err := program.CPU()
	if err != nil {
		return costPoint{}, err
	}
	if results.Operations() == 0 {
		return costPoint{}, errNoRequests
	}
	seconds := time.Since(began).Seconds()
	return costPoint{cores: (after - before).Seconds() / seconds, requests: float64(results.Operations()) / seconds}, nil
}

func (s *fleetCostScenario) measureRounds() {
	for i, rate := range fleetCostRates {
		s.measureSpread(fmt.Sprintf("ratio_at_%.0f", rate), s.ratios[i])
	}
	s.measureSpread("ratio_by_request", s.byRequest)
	s.measureSpread("cores_by_time", s.byTime)
}

// measureSpread measures the minimum, the median and the maximum of the values of all rounds.
func (s *fleetCostScenario) measureSpread(name string, all []float64) {
	slices.Sort(all)
	s.env.Measure(name+"_least", all[0])
	s.env.Measure(name, (all[(len(all)-1)/2]+all[len(all)/2])/2)
	s.env.Measure(name+"_most", all[len(all)-1])
}

// measureAtRest measures the CPU usage of both processes without requests, and their memory.
func (s *fleetCostScenario) measureAtRest(ctx context.Context) error {
	leaderBefore, err := s.leader.CPU()
	if err != nil {
		return err
	}
	aloneBefore, err := s.alone.CPU()
	if err != nil {
		return err
	}
	length := 2 * s.roundLength
	pause(ctx, length)
	for _, rest := range []struct {
		name    string
		program *Program
		before  time.Duration
	}{{"cores_at_rest", s.leader, leaderBefore}, {"cores_at_rest_alone", s.alone, aloneBefore}} {
		after, err := rest.program.CPU()
		if err != nil {
			return err
		}
		s.env.Measure(rest.name, (after-rest.before).Seconds()/length.Seconds())
	}
	memory, err := s.leader.MemoryMB()
	if err != nil {
		return err
	}
	s.env.Measure("memory_mb", memory)
	if memory, err = s.alone.MemoryMB(); err != nil {
		return err
	}
	s.env.Measure("memory_alone_mb", memory)
	return nil
}
