package fake

import (
	"fmt"
	"net/http"
	"time"
)

// Tolerance contains the delays that the rules allow, because the program, clients and backends run on one machine.
type Tolerance struct {
	LateResponse         time.Duration // allowed delay of a response after the timeout of the client
	AttemptAfterResponse time.Duration // allowed delay of the arrival of an attempt at a backend after the response
	AfterDrainGrace      time.Duration // allowed delay of the arrival of an attempt at a draining backend after DrainGrace
}

// DefaultTolerance suits a machine with several cores and little other load.
var DefaultTolerance = Tolerance{
	LateResponse:         150 * time.Millisecond,
	AttemptAfterResponse: 100 * time.Millisecond,
	AfterDrainGrace:      150 * time.Millisecond,
}

// DrainGrace is the time after the notification that a backend drains, during which the backend may still receive new requests.
const DrainGrace = 2 * time.Second

// Verdict is the summary of a recorded run.
type Verdict struct {
	Violations       []string // broken rules, each with the number of violations and the first case
	Operations       int
	Attempts         int
	Arrivals         int // of attempts at backends
	Answered         int
	Effects          int
	DuplicateEffects int           // operations with more than one effect where only one is allowed
	MaxLateness      time.Duration // largest delay of a response after the timeout of the client
}

// rule is the number and name of a rule, as shown in reports.
type rule string

// The four rules.
const (
	ruleOneResponse         rule = "1 one answer"
	ruleNoDuplicateEffect   rule = "2 no effect twice"
	ruleNoWorkAfterGrace    rule = "3 no work after the grace"
	ruleNoSlowStartOverload rule = "4 no cold box pushed over"
)

// violations counts the violations of each rule and keeps the first case of each rule.
type violations struct {
	order []rule
	first map[rule]string
	count map[rule]int
}

// add counts a violation of a rule.
func (v *violations) add(r rule, format string, args ...any) {
	v.count[r]++
	if v.count[r] == 1 {
		v.order = append(v.order, r)
		v.first[r] = fmt.Sprintf(format, args...)
	}
}

// summaries returns a text for each broken rule, in the order of their first violations.
func (v *violations) summaries() []string {
	var all []string
	for _, r := range v.order {
		all = append(all, fmt.Sprintf("rule %s, %d times; first: %s", r, v.count[r], v.first[r]))
	}
	return all
}

// Check reports whether the rules were kept. It must be called after all clients and backends have ended.
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

// totals returns a Verdict without violations. The caller holds mu.
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

// lateness returns how long after the timeout of the client the response arrived. It is negative if the response arrived in
// time.
func (a *clientAttempt) lateness() time.Duration { return a.answered.Sub(a.sent) - a.timeout }

// rejected reports whether the response guarantees that the request had no effect.
func (a *clientAttempt) rejected() bool {
	return a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
}

// hasDuplicateEffect reports whether the operation had more than one effect although only one is allowed.
func (o *Operation) hasDuplicateEffect() bool { return o.idempotency != Idempotent && o.effects > 1 }

// checkOneResponse checks rule 1. Each attempt receives one response, in time. No backend receives the attempt after the
// response. Clients receive nothing else. The caller holds mu.
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

// checkNoDuplicateEffect checks rule 2. An operation that must not be repeated has at most one effect. A rejected NonIdempotent
// attempt has no effect. The caller holds mu.
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

// checkNoWorkAfterGrace checks rule 3. A backend receives no request more than DrainGrace after the program was notified that
// the backend drains. The caller holds mu.
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

// checkNoSlowStartOverload checks rule 4. A backend in slow start receives no more requests in any window than its budget
// allows. Each window begins with the arrival of a request. The caller holds mu.
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
				break // report each backend once
			}
		}
	}
}

// arrivalsInWindow counts the arrivals in the window that begins with the arrival at index first.
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
