package policy

import (
	"math"
	"time"
)

const (
	// smoothingWeight is the weight of a new sample in moving averages. The average covers about the latest ten samples.
	smoothingWeight = 0.1
	// assumedConcurrency is the number of requests that an endpoint is assumed to process in parallel until latencies show more. Two is the
	// smallest number with which latency grows slower than the queue; with one it would grow in proportion to the queue.
	assumedConcurrency = 2
	// minPredictionDivisor sets the lower bound of predictions: the mean latency divided by it, however steep the regression line is.
	minPredictionDivisor = 4
	// maxSlownessRatio bounds the latency ratio that one response contributes to the slowness of an endpoint.
	maxSlownessRatio = 10
	// slownessWindow is the number of responses up to which slowness is their mean. Beyond it slowness is a moving average.
	slownessWindow = 1 / smoothingWeight
	// machineTypeWeight is the weight of the machine type in the effective slowness of an endpoint, in responses of the endpoint.
	machineTypeWeight = 3
	// maxMachineTypes bounds the number of machine types that are stored, because a list could have a different type for each endpoint.
	maxMachineTypes = 64
	// maxExpectedLatency replaces an infinite latency where a duration is needed.
	maxExpectedLatency = time.Hour
)

// latencyModel is a linear regression (running least squares) of the response latency on the queue at the endpoint when the request was
// sent, over all endpoints. Latencies are in nanoseconds, queues in requests. Outdated queues flatten the line, so that the predictions
// then depend less on queues.
type latencyModel struct {
	meanQueue, meanLatency, queueVariance, covariance float64
}

// observe adds the queue and the latency of one response. It ignores an infinite queue.
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

// predict returns the expected latency at a queue. Until the observed queues have varied by about one request, the slope is close to
// that of an endpoint with assumedConcurrency.
func (m *latencyModel) predict(queue float64) float64 {
	if math.IsInf(queue, 1) {
		return queue // with a slope of 0 the formula below would give NaN
	}
	priorSlope := m.meanLatency / (1 + m.meanQueue/assumedConcurrency) / assumedConcurrency
	slope := max(0, (m.covariance+priorSlope)/(m.queueVariance+1))
	return max(m.meanLatency+slope*(queue-m.meanQueue), m.meanLatency/minPredictionDivisor)
}

// machineType is the state that the endpoints on one type of machine share.
type machineType struct {
	slowness float64 // moving average of the ratio of latency to predicted latency
}

// machineTypes maps the names in the endpoint list to machine types.
type machineTypes map[string]*machineType

// get returns the machine type with the given name and creates it if necessary. Beyond maxMachineTypes a new type is not stored.
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

// recordSample adds the ratio of a latency to its prediction.
func (m *machineType) recordSample(ratio float64) {
	m.slowness += smoothingWeight / 2 * (ratio - m.slowness)
}

// recordSlowness adds the ratio of a latency of e to its prediction.
func (e *endpoint) recordSlowness(ratio float64) {
	e.slownessSamples = min(e.slownessSamples+1, slownessWindow)
	e.slowness += max(smoothingWeight, 1/float64(e.slownessSamples)) * (ratio - e.slowness)
}

// effectiveSlowness returns the expected ratio of a latency of e to its prediction. It combines the slowness of e with that of its
// machine type, which dominates while e has few responses. Otherwise an instance that seldom sends to a slow endpoint would treat the
// endpoint as average and overload it.
func (e *endpoint) effectiveSlowness() float64 {
	samples := float64(e.slownessSamples)
	return (samples*e.slowness + machineTypeWeight*e.machineType.slowness) / (samples + machineTypeWeight)
}

// recordResponse records a response to an attempt sent at sentAt and updates responseInterval, the interval between responses to this
// instance while attempts are in flight. If fewer attempts are in flight than e can process in parallel, the sample is scaled down,
// because the interval then does not show the full throughput of e.
func (e *endpoint) recordResponse(now, sentAt Time) {
	busyFrom := max(e.lastResponse, sentAt) // older attempts in flight may be stalled for other reasons
	sample := float64(now-busyFrom) * float64(min(e.inFlight, assumedConcurrency)) / assumedConcurrency
	if e.responseInterval == 0 {
		e.responseInterval = sample
	}
	e.responseInterval += smoothingWeight * (sample - e.responseInterval)
	e.lastResponse, e.newestAnsweredSentAt = now, max(e.newestAnsweredSentAt, sentAt)
}

// rateBasedLatency returns how long one more attempt at e would take if e went on responding to this instance at its usual interval and in
// the order of the attempts. If e has not replied for longer than one interval, that time replaces the interval of the last response.
func (e *endpoint) rateBasedLatency(now Time) time.Duration {
	interval := time.Duration(e.responseInterval)
	if e.inFlight == 0 {
		return interval
	}
	return time.Duration(float64(e.inFlight)*e.responseInterval) + max(interval, now-e.silentSince)
}

// isIdle reports whether the latest load report of e has a queue below 1, and fewer than assumedConcurrency attempts of this instance are
// in flight at e. It is false without a load report. With the load report alone, an instance with heavy traffic would overload e before the
// next report arrives.
func (e *endpoint) isIdle() bool {
	return e.hasReport && e.reportedQueue < 1 && e.inFlight < assumedConcurrency
}

// expectedQueue returns the expected number of requests that another request would find at e: the queue of the latest load report and the
// attempts of this instance in flight. A report is out of date after a few attempts. Marks and threshold use the report alone.
func (b *Balancer) expectedQueue(e *endpoint) float64 {
	if !e.hasReport {
		return max(b.latency.meanQueue, float64(e.inFlight))
	}
	return e.reportedQueue + float64(e.inFlight)
}

// expectedLatency returns the expected latency of an attempt at e: the prediction of the model times the slowness of e, but at least
// rateBasedLatency. The regression line becomes flat if fast endpoints receive more requests and so have longer queues. The lower bound
// then prevents too many requests at one of them.
func (b *Balancer) expectedLatency(now Time, e *endpoint) time.Duration {
	predicted := min(b.latency.predict(b.expectedQueue(e))*e.effectiveSlowness(), float64(maxExpectedLatency))
	return max(time.Duration(predicted), e.rateBasedLatency(now))
}

// recordLatency updates the model from the latency of an attempt, in nanoseconds. The latency of a warming endpoint only changes the
// state of that endpoint. Otherwise, when many endpoints warm up at once, the shared model would overestimate the latency of warm
// endpoints, and requests would be rejected that could be served.
func (b *Balancer) recordLatency(a *attempt, latency float64) {
	predicted := b.latency.predict(a.queueAtSend)
	if predicted > 0 {
		ratio := min(latency/predicted, maxSlownessRatio)
		if !a.warmingUp {
			a.endpoint.machineType.recordSample(ratio)
		}
		a.endpoint.recordSlowness(ratio)
	}
	if !a.warmingUp {
		b.latency.observe(a.queueAtSend, latency/a.endpoint.effectiveSlowness())
	}
}
