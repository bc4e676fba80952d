package fake

import (
	"fmt"
	"net/http"
	"time"
)

// Tolerance is what the rules allow for the machine on which program, clients and backends run together.
type Tolerance struct {
	LateResponse         time.Duration // a response may come so much after the client's timeout
	AttemptAfterResponse time.Duration // an attempt may reach a backend so much after the response
	AfterDrainGrace      time.Duration // an attempt may reach a draining backend so much after DrainGrace
}

// DefaultTolerance suits a machine of some cores on which little else runs.
var DefaultTolerance = Tolerance{
	LateResponse:         150 * time.Millisecond,
	AttemptAfterResponse: 100 * time.Millisecond,
	AfterDrainGrace:      150 * time.Millisecond,
}

// DrainGrace is how long after the notice that it drains a backend may be sent new requests.
const DrainGrace = 2 * time.Second

// Verdict is what a recorder says of a run.
type Verdict struct {
	Violations       []string // the rules that were broken, each with their number and first case
	Operations       int
	Attempts         int
	Arrivals         int // of attempts at backends
	Answered         int
	Effects          int
	DuplicateEffects int           // operations with more effects than one, of those that may have only one
	MaxLateness      time.Duration // how far a response came after the client's timeout, at the most
}

// rule is one of the rules that a run is held to, by its number and name in reports.
type rule string

// The four rules.
const (
	ruleOneResponse         rule = "1 one answer"
	ruleNoDuplicateEffect   rule = "2 no effect twice"
	ruleNoWorkAfterGrace    rule = "3 no work after the grace"
	ruleNoSlowStartOverload rule = "4 no cold box pushed over"
)

// violations counts the violations of each rule and keeps the first case.
type violations struct {
	order []rule
	first map[rule]string
	count map[rule]int
}

func (v *violations) add(r rule, format string, args ...any) {
	v.count[r]++
	if v.count[r] == 1 {
		v.order = append(v.order, r)
		v.first[r] = fmt.Sprintf(format, args...)
	}
}

func (v *violations) summaries() []string {
	var all []string
	for _, r := range v.order {
		all = append(all, fmt.Sprintf("rule %s, %d times; first: %s", r, v.count[r], v.first[r]))
	}
	return all
}

// Check tells whether the rules were kept. It is called once all clients and backends have ended.
func (r *EffectRecorder) Check(tolerance Tolerance) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := &violations{first: map[rule]string{}, count: map[rule]int{}}
	r.checkOneResponse(tolerance, found)
	r.checkNoDuplicateEffect(found)
	r.checkNoWorkAfterGrace(tolerance, found)
	r.checkNoSlowStartOverload(found)
	verdict := r.totals()
	verdict.Violations = found.summaries()
	return verdict
}

// totals returns a verdict's figures. The caller holds mu.
func (r *EffectRecorder) totals() Verdict {
	verdict := Verdict{Attempts: len(r.attempts), Operations: r.operations}
	seen := map[*Operation]bool{}
	for _, attempt := range r.attempts {
		verdict.Effects += attempt.effects
		verdict.Arrivals += len(attempt.arrivals)
		if !attempt.answered.IsZero() {
			verdict.Answered++
			verdict.MaxLateness = max(verdict.MaxLateness, attempt.lateness())
		}
		if !seen[attempt.operation] && attempt.operation.hasDuplicateEffect() {
			verdict.DuplicateEffects++
		}
		seen[attempt.operation] = true
	}
	return verdict
}

// lateness is how far the response came after the client's timeout.
func (a *clientAttempt) lateness() time.Duration { return a.answered.Sub(a.sent) - a.timeout }

// rejected reports whether the response promises that the request had no effect.
func (a *clientAttempt) rejected() bool {
	return a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
}

// hasDuplicateEffect reports whether the operation had more than one effect and may have only one.
func (o *Operation) hasDuplicateEffect() bool { return o.idempotency != Idempotent && o.effects > 1 }

// checkOneResponse holds rule 1: each attempt has one response, in time, and no backend receives it after that; clients get nothing
// else. The caller holds mu.
func (r *EffectRecorder) checkOneResponse(tolerance Tolerance, found *violations) {
	for _, event := range r.unexpected {
		found.add(ruleOneResponse, "%s", event)
	}
	for id, attempt := range r.attempts {
		switch {
		case attempt.clientGone:
		case attempt.answered.IsZero():
			found.add(ruleOneResponse, "%s was never answered", id)
		case attempt.lateness() > tolerance.LateResponse:
			found.add(ruleOneResponse, "%s was answered %v after its time", id, attempt.lateness().Round(time.Millisecond))
		}
		if attempt.answered.IsZero() {
			continue
		}
		for _, arrival := range attempt.arrivals {
			if after := arrival.at.Sub(attempt.answered); after > tolerance.AttemptAfterResponse {
				found.add(ruleOneResponse, "%s came to box %s %v after its answer", id, arrival.backend, after.Round(time.Millisecond))
			}
		}
	}
}

// checkNoDuplicateEffect holds rule 2: an operation that may not be repeated has one effect, and a rejected one none. The caller
// holds mu.
func (r *EffectRecorder) checkNoDuplicateEffect(found *violations) {
	seen := map[*Operation]bool{}
	for id, attempt := range r.attempts {
		operation := attempt.operation
		if attempt.rejected() && attempt.effects > 0 && operation.idempotency == NonIdempotent {
			found.add(ruleNoDuplicateEffect, "%s is unsafe, had run, and was refused", id)
		}
		if !seen[operation] && operation.hasDuplicateEffect() {
			found.add(ruleNoDuplicateEffect, "%d effects of one %v operation, tried as %v",
				operation.effects, operation.idempotency, operation.attemptIDs)
		}
		seen[operation] = true
	}
}

// checkNoWorkAfterGrace holds rule 3: a draining backend receives no request once DrainGrace has passed since the program was
// notified. The caller holds mu.
func (r *EffectRecorder) checkNoWorkAfterGrace(tolerance Tolerance, found *violations) {
	for id, attempt := range r.attempts {
		for _, arrival := range attempt.arrivals {
			record := r.backends[arrival.backend]
			if record == nil || record.drainingSince.IsZero() {
				continue
			}
			if late := arrival.at.Sub(record.drainingSince); late > DrainGrace+tolerance.AfterDrainGrace {
				found.add(ruleNoWorkAfterGrace, "%s came to box %s %v after it was told to leave",
					id, arrival.backend, late.Round(time.Millisecond))
			}
		}
	}
}

// checkNoSlowStartOverload holds rule 4: a backend that is warming up gets no more requests than its budget in any window, each
// window beginning with a request. The caller holds mu.
func (r *EffectRecorder) checkNoSlowStartOverload(found *violations) {
	for name, record := range r.backends {
		if record.budget == nil {
			continue
		}
		for i, from := range record.slowStartArrivals {
			n, age := record.arrivalsInWindow(i), from.Sub(record.slowStartSince)
			if allowed := record.budget(age, record.window); float64(n) > allowed {
				found.add(ruleNoSlowStartOverload, "box %s got %d requests in %v at the age of %v, %0.0f allowed",
					name, n, record.window, age.Round(time.Millisecond), allowed)
				break // one case for each backend
			}
		}
	}
}

// arrivalsInWindow counts the arrivals in the window that begins with the given one.
func (b *backendRecord) arrivalsInWindow(first int) int {
	n := 0
	for _, at := range b.slowStartArrivals[first:] {
		if at.Sub(b.slowStartArrivals[first]) > b.window {
			break
		}
		n++
	}
	return n
}
