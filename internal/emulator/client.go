package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sorrelrudder/policy"
)

// answer is the outcome of a client's attempt at an instance.
type answer int

const (
	answerServed answer = iota
	answerRejected
	answerFailed
	answerNone // the client timed out, or the instance is down
)

// weightOf returns the weight of an instance in the distribution of requests.
func (c *Clients) weightOf(index int, zone string) float64 {
	if c.InstanceWeight != nil {
		return c.InstanceWeight(index, zone)
	}
	return 1 + c.RateSpread*float64(index%10)/9
}

// clientRequest is a client's request. All its attempts go to the same instance.
type clientRequest struct {
	class       *Class
	instance    *instance
	startedAt   policy.Time
	retriesLeft int
	work        time.Duration
	second      int // second of the run in which the request is counted
	done        bool
}

// arrive sends a client's request and schedules the next arrival.
func (e *Emulation) arrive() {
	if e.arrivalsClosed {
		return
	}
	e.scheduler.After(time.Duration(e.rng.ExpFloat64()/e.scenario.Clients.RequestsPerSecond*float64(time.Second)), e.arrive)
	class := e.drawClass()
	request := &clientRequest{
		class:       class,
		instance:    e.drawInstance(),
		startedAt:   e.scheduler.Now(),
		retriesLeft: e.scenario.Clients.MaxRetries,
		work:        lognormal(e.rng, class.MeanWork, class.WorkVariation),
		second:      int(e.Elapsed() / time.Second),
	}
	counts := &e.Result.Seconds[request.second]
	counts.Requests++
	counts.RequestedWeight += request.weight()
	request.send(e)
}

// drawClass draws a class at random, weighted by the fractions of the classes.
func (e *Emulation) drawClass() *Class {
	remaining := e.rng.Float64()
	class := 0
	for class < len(e.scenario.Classes)-1 && remaining >= e.scenario.Classes[class].Fraction {
		remaining -= e.scenario.Classes[class].Fraction
		class++
	}
	return &e.scenario.Classes[class]
}

// drawInstance draws an instance at random, weighted by the instances' weights.
func (e *Emulation) drawInstance() *instance {
	total := e.cumulativeWeights[len(e.cumulativeWeights)-1]
	index, _ := slices.BinarySearch(e.cumulativeWeights, e.rng.Float64()*total)
	return e.instances[min(index, len(e.instances)-1)]
}

// lognormal draws a duration from the lognormal distribution with the given mean and coefficient of variation.
func lognormal(rng *rand.Rand, mean time.Duration, variation float64) time.Duration {
	sigma := math.Sqrt(math.Log(1 + variation*variation))
	return time.Duration(float64(mean) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

// weight returns the priority weight of the request's class times the work of the request in seconds.
func (r *clientRequest) weight() float64 { return r.class.PriorityWeight * r.work.Seconds() }

// send sends one attempt to the instance.
func (r *clientRequest) send(e *Emulation) {
	timeout := time.Duration(e.scenario.Clients.AttemptTimeoutFraction * float64(r.class.Deadline))
	if e.scenario.Clients.AttemptTimeoutFraction <= 0 || r.retriesLeft == 0 {
		timeout = r.class.Deadline
	}
	timeout = min(timeout, r.startedAt+r.class.Deadline-e.scheduler.Now())
	e.counts().ClientAttempts++
	r.instance.receive(r, timeout)
}

// handleAnswer handles the outcome of an attempt.
func (r *clientRequest) handleAnswer(e *Emulation, outcome answer, retryAfter time.Duration) {
	if r.done {
		return
	}
	if outcome != answerServed {
		r.retry(e, retryAfter)
		return
	}
	r.done = true
	counts := &e.Result.Seconds[r.second]
	if e.scheduler.Now()-r.startedAt <= r.class.LatencyObjective {
		counts.WithinObjective++
		counts.ServedWeight += r.weight()
		return
	}
	counts.Late++
	counts.ServedWeight += r.weight() * r.class.LateWeightFraction
}

// retry schedules the next attempt. It ends the request as unserved if no retries are left, or if the attempt
// would start at or after the deadline.
func (r *clientRequest) retry(e *Emulation, retryAfter time.Duration) {
	delay := e.scenario.Clients.RetryDelay
	if e.scenario.Clients.HonorRetryAfter && retryAfter > 0 {
		delay = retryAfter
	}
	if r.retriesLeft == 0 || e.scheduler.Now()+delay >= r.startedAt+r.class.Deadline {
		r.done = true
		e.Result.Seconds[r.second].Unserved++
		return
	}
	r.retriesLeft--
	e.scheduler.After(delay, func() { r.send(e) })
}
