package policy

import (
	"math"
	"time"
)

// assumedConcurrency is how many requests a server works on at once, which is not told, until the
// answers have taught the slope: two is the least that has any.
const assumedConcurrency = 2

const (
	// machineTypeSamples is how many answers of a server tell as much of it as those of all of its kind, and mostKinds how many
	// kinds of machines are told apart: lists could name one for each server.
	machineTypeSamples = 3
	maxMachineTypes    = 64
)

// latencyModel is a running least-squares line of the delay of answers by the queue that the server had
// reported when they were sent. Stale figures flatten the line by themselves, and so count for less.
type latencyModel struct {
	meanQueue, meanLatency, queueVariance, covariance float64
}

// observe takes one answer.
func (m *latencyModel) observe(queue, delay float64) {
	if math.IsInf(queue, 1) {
		return
	}
	if m.meanLatency == 0 {
		m.meanQueue, m.meanLatency = queue, delay
	}
	dq, dd := queue-m.meanQueue, delay-m.meanLatency
	m.meanQueue += smoothingWeight * dq
	m.meanLatency += smoothingWeight * dd
	m.queueVariance = (1 - smoothingWeight) * (m.queueVariance + smoothingWeight*dq*dq)
	m.covariance = (1 - smoothingWeight) * (m.covariance + smoothingWeight*dq*dd)
}

// predict is the delay to expect at a reported queue. Until queues have varied by a request or so the
// slope is that of assumedCores.
func (m *latencyModel) predict(queue float64) float64 {
	if math.IsInf(queue, 1) {
		return queue // also where the line is flat: zero times infinity is no number
	}
	prior := m.meanLatency / (1 + m.meanQueue/assumedConcurrency) / assumedConcurrency
	slope := max(0, (m.covariance+prior)/(m.queueVariance+1))
	return max(m.meanLatency+slope*(queue-m.meanQueue), m.meanLatency/4)
}

// machineType is what servers of one kind have in common.
type machineType struct{ slowness float64 }

// machineTypeOf is what the machines of that name have in common.
func (b *Balancer) machineTypeOf(name string) *machineType {
	k := b.machineTypes[name]
	if k == nil {
		k = &machineType{slowness: 1}
		if len(b.machineTypes) < maxMachineTypes {
			b.machineTypes[name] = k
		}
	}
	return k
}

// effectiveSlowness is how much slower than expected the answers of s are: its own so far, and those of its kind of machine where
// there are few. Without them a sidecar that meets most servers seldom would take each for an even one for as long as it is
// there, and crowd the slow ones.
func (s *endpoint) effectiveSlowness() float64 {
	n := float64(s.slownessSamples)
	return (n*s.slowness + machineTypeSamples*s.machineType.slowness) / (n + machineTypeSamples)
}

// expectedLatency is the delay to expect of an answer of s: the common line of delay by requests standing there, times how much
// slower than it s has been, and at least what its own pace tells. The line is learnt of all servers alike, and goes flat
// where the quick ones are given more and so hold more; the pace guards against heaping requests on one of them then.
func (b *Balancer) expectedLatency(now Time, s *endpoint) time.Duration {
	line := min(b.latency.predict(b.expectedQueue(s))*s.effectiveSlowness(), float64(time.Hour))
	return max(time.Duration(line), s.paceLatency(now))
}

// expectedQueue is how many requests a further one at s would stand among, as far as this sidecar can tell: those that the
// latest report told waiting and its own that are out. At a sidecar with much traffic a report is old after a few sends;
// at one with little the sum is the report. Marks and threshold go by the report alone.
func (b *Balancer) expectedQueue(s *endpoint) float64 {
	if !s.hasReport {
		return max(b.latency.meanQueue, float64(s.inFlight))
	}
	return s.reportedQueue + float64(s.inFlight)
}

// recordLatency learns from the delay of an attempt. A cold server tells of itself alone: where many are cold at once the line of all
// would have warm ones taken for slow, and full, and refuse what they could serve.
func (b *Balancer) recordLatency(a *attempt, delay float64) {
	at := b.latency.predict(a.queueAtSend)
	if s := a.endpoint; at > 0 {
		ratio := min(delay/at, 10)
		if !a.warmingUp {
			s.machineType.slowness += smoothingWeight / 2 * (ratio - s.machineType.slowness)
		}
		s.slownessSamples = min(s.slownessSamples+1, 1/smoothingWeight)
		s.slowness += max(smoothingWeight, 1/float64(s.slownessSamples)) * (ratio - s.slowness)
	}
	if !a.warmingUp {
		b.latency.observe(a.queueAtSend, delay/a.endpoint.effectiveSlowness())
	}
}

// recordResponse notes an answer to an attempt that is out since sent. What else is out may hang for reasons of its own, so that
// the server worked on this one from then on at the earliest. While fewer are out than a server works on at once, the time
// from one answer to the next is not all that it could do.
func (s *endpoint) recordResponse(now, sent Time) {
	sample := float64(now-max(s.lastResponse, sent)) * float64(min(s.inFlight, assumedConcurrency)) / assumedConcurrency
	if s.responseInterval == 0 {
		s.responseInterval = sample
	}
	s.responseInterval += smoothingWeight * (sample - s.responseInterval)
	s.lastResponse, s.newestAnswered = now, max(s.newestAnswered, sent)
}

// paceLatency is when a further attempt at s would be answered by the pace at which this sidecar's own have been: those that are
// out come first, whatever others send there. Where s has said nothing for longer than that takes, the time since counts.
func (s *endpoint) paceLatency(now Time) time.Duration {
	if s.inFlight == 0 {
		return time.Duration(s.responseInterval)
	}
	return time.Duration(float64(s.inFlight)*s.responseInterval) + max(time.Duration(s.responseInterval), now-s.silentSince)
}

// isIdle reports whether nothing waits at s as far as this sidecar can tell: by the latest report, and by its own requests
// that are out there. The report alone would have a sidecar with much traffic heap requests on a server until the next
// one, and under overload fill it with what comes late. Where all are slow at little traffic it still tells idle, since
// what is out comes back.
func (s *endpoint) isIdle() bool {
	return s.hasReport && s.reportedQueue < 1 && s.inFlight < assumedConcurrency
}
