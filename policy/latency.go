package policy

import (
	"math"
	"time"
)

const (
	// smoothingWeight is the weight of a new sample in moving averages: about the latest ten count.
	smoothingWeight = 0.1
	// assumedConcurrency is how many requests an endpoint is taken to work on at once until latencies tell more: the least that
	// makes latency grow slower than the queue.
	assumedConcurrency = 2
	// minPredictionDivisor keeps predictions at or above the mean latency over it, however steep the line.
	minPredictionDivisor = 4
	// maxSlownessSample bounds what one response tells of an endpoint's slowness, as a ratio.
	maxSlownessSample = 10
	// maxSlownessSamples is the count from which an endpoint's slowness is a moving average.
	maxSlownessSamples = 1 / smoothingWeight
	// machineTypeSamples is how many responses of an endpoint weigh as much as what is known of its machine type.
	machineTypeSamples = 3
	// maxMachineTypes bounds the machine types told apart: a list could name one for each endpoint.
	maxMachineTypes = 64
	// maxExpectedLatency stands for an endless wait where a duration is needed.
	maxExpectedLatency = time.Hour
)

// latencyModel is a running least-squares line of response latency by the queue at the endpoint when the request was sent, over
// all endpoints. Latencies are in nanoseconds, queues in requests. Out-of-date queues flatten the line, and so count for less.
type latencyModel struct {
	meanQueue, meanLatency, queueVariance, covariance float64
}

// observe takes one response.
func (m *latencyModel) observe(queue, latency float64) {
	if math.IsInf(queue, 1) {
		return
	}
	if m.meanLatency == 0 {
		m.meanQueue, m.meanLatency = queue, latency
	}
	queueDelta, latencyDelta := queue-m.meanQueue, latency-m.meanLatency
	m.meanQueue += smoothingWeight * queueDelta
	m.meanLatency += smoothingWeight * latencyDelta
	m.queueVariance = (1 - smoothingWeight) * (m.queueVariance + smoothingWeight*queueDelta*queueDelta)
	m.covariance = (1 - smoothingWeight) * (m.covariance + smoothingWeight*queueDelta*latencyDelta)
}

// predict returns the latency to expect at a queue. Until queues have varied by a request or so, the slope is that of an endpoint
// of assumedConcurrency.
func (m *latencyModel) predict(queue float64) float64 {
	if math.IsInf(queue, 1) {
		return queue // also where the line is flat: zero times infinity is no number
	}
	priorSlope := m.meanLatency / (1 + m.meanQueue/assumedConcurrency) / assumedConcurrency
	slope := max(0, (m.covariance+priorSlope)/(m.queueVariance+1))
	return max(m.meanLatency+slope*(queue-m.meanQueue), m.meanLatency/minPredictionDivisor)
}

// machineType is what endpoints on one type of machine have in common.
type machineType struct {
	slowness float64 // smoothed ratio of their latencies to those predicted
}

// machineTypes holds the machine types by the name that the endpoint list gives them.
type machineTypes map[string]*machineType

// get returns the type of that name, which is new if none is known. Beyond maxMachineTypes new ones are not kept.
func (m machineTypes) get(name string) *machineType {
	known := m[name]
	if known == nil {
		known = &machineType{slowness: 1}
		if len(m) < maxMachineTypes {
			m[name] = known
		}
	}
	return known
}

// recordSample takes the ratio of a latency to the predicted one.
func (m *machineType) recordSample(ratio float64) {
	m.slowness += smoothingWeight / 2 * (ratio - m.slowness)
}

// recordSlowness takes the ratio of a latency of e to the predicted one.
func (e *endpoint) recordSlowness(ratio float64) {
	e.slownessSamples = min(e.slownessSamples+1, maxSlownessSamples)
	e.slowness += max(smoothingWeight, 1/float64(e.slownessSamples)) * (ratio - e.slowness)
}

// effectiveSlowness returns the ratio of latencies of e to those predicted: its own, and that of its machine type where it has
// answered little. An instance that seldom meets an endpoint would otherwise take a slow one for average, and crowd it.
func (e *endpoint) effectiveSlowness() float64 {
	samples := float64(e.slownessSamples)
	return (samples*e.slowness + machineTypeSamples*e.machineType.slowness) / (samples + machineTypeSamples)
}

// recordResponse notes a response to an attempt sent at sentAt, for the pace of e: the interval between responses to this
// instance while attempts are in flight. With fewer in flight than e works on at once, the interval is not all that it can do.
func (e *endpoint) recordResponse(now, sentAt Time) {
	busyFrom := max(e.lastResponse, sentAt) // others in flight may hang for reasons of their own
	sample := float64(now-busyFrom) * float64(min(e.inFlight, assumedConcurrency)) / assumedConcurrency
	if e.responseInterval == 0 {
		e.responseInterval = sample
	}
	e.responseInterval += smoothingWeight * (sample - e.responseInterval)
	e.lastResponse, e.newestAnswered = now, max(e.newestAnswered, sentAt)
}

// rateBasedLatency returns when another attempt at e would be answered at its pace, after those of this instance that are in flight.
// If e has been silent for longer than a response takes, the silence counts instead.
func (e *endpoint) rateBasedLatency(now Time) time.Duration {
	interval := time.Duration(e.responseInterval)
	if e.inFlight == 0 {
		return interval
	}
	return time.Duration(float64(e.inFlight)*e.responseInterval) + max(interval, now-e.silentSince)
}

// isIdle reports whether no request waits at e, by its load report and by this instance's own attempts in flight. By the report
// alone an instance with much traffic would heap requests on e until the next one.
func (e *endpoint) isIdle() bool {
	return e.hasReport && e.reportedQueue < 1 && e.inFlight < assumedConcurrency
}

// expectedQueue returns how many requests another one at e would queue with: those of the latest load report and this instance's
// own in flight, since a report is out of date after a few sends. Marks and threshold go by the report alone.
func (b *Balancer) expectedQueue(e *endpoint) float64 {
	if !e.hasReport {
		return max(b.latency.meanQueue, float64(e.inFlight))
	}
	return e.reportedQueue + float64(e.inFlight)
}

// expectedLatency returns the latency to expect of an attempt at e: the line's prediction times the slowness of e, and at
// least what its pace tells. The line goes flat where fast endpoints get more and so hold more; the pace then keeps requests
// from heaping on one of them.
func (b *Balancer) expectedLatency(now Time, e *endpoint) time.Duration {
	predicted := min(b.latency.predict(b.expectedQueue(e))*e.effectiveSlowness(), float64(maxExpectedLatency))
	return max(time.Duration(predicted), e.rateBasedLatency(now))
}

// recordLatency learns from the latency of an attempt, in nanoseconds. A warming endpoint tells of itself alone: where many warm
// up at once, the line of all would make warm ones look slow and have requests rejected that could be served.
func (b *Balancer) recordLatency(a *attempt, latency float64) {
	predicted := b.latency.predict(a.queueAtSend)
	if predicted > 0 {
		ratio := min(latency/predicted, maxSlownessSample)
		if !a.warmingUp {
			a.endpoint.machineType.recordSample(ratio)
		}
		a.endpoint.recordSlowness(ratio)
	}
	if !a.warmingUp {
		b.latency.observe(a.queueAtSend, latency/a.endpoint.effectiveSlowness())
	}
}
