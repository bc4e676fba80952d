package emulator

import (
	"fmt"
	"time"

	"sorrelrudder/policy"
)

const (
	// maxViolationTexts bounds the breaches that are told word by word.
	maxViolationTexts = 20
	// drainGrace is how long something new may still go to a server of which is told that it drains or is gone.
	drainGrace = 2 * time.Second
	// answerSlack is how far after its time an answer may come.
	answerSlack = 50 * time.Millisecond
)

// observer holds the four rules, by books of its own.
type observer struct {
	emulation    *Emulation
	notAccepting map[*instance]map[policy.EndpointID]policy.Time // since when an instance has been told that a server takes nothing new
	requests     map[*request]*requestRecord
}

// requestRecord is what the observer knows of one try.
type requestRecord struct {
	answers          int
	possiblyExecuted map[*attempt]bool
}

func newObserver(w *Emulation) *observer {
	return &observer{emulation: w, notAccepting: map[*instance]map[policy.EndpointID]policy.Time{}, requests: map[*request]*requestRecord{}}
}

func (o *observer) violation(format string, args ...any) {
	o.emulation.Result.ViolationCount++
	if len(o.emulation.Result.Violations) < maxViolationTexts {
		o.emulation.Result.Violations = append(o.emulation.Result.Violations, fmt.Sprintf("%.3f s, rule ", o.emulation.Elapsed().Seconds())+fmt.Sprintf(format, args...))
	}
}

// endpointsUpdated notes what an instance is told of the list.
func (o *observer) endpointsUpdated(in *instance, kind policy.UpdateKind, entries []policy.Endpoint) {
	left := o.notAccepting[in]
	if left == nil {
		left = map[policy.EndpointID]policy.Time{}
		o.notAccepting[in] = left
	}
	listed := map[policy.EndpointID]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		if e.State == policy.Ready {
			delete(left, e.ID)
		} else if _, is := left[e.ID]; !is {
			left[e.ID] = o.emulation.now
		}
	}
	if kind == policy.UpdateFull {
		for id := range in.backends {
			if _, is := left[id]; !is && !listed[id] {
				left[id] = o.emulation.now
			}
		}
	}
}

func (o *observer) requestReceived(t *request) {
	o.requests[t] = &requestRecord{possiblyExecuted: map[*attempt]bool{}}
}

// instanceKilled drops a try whose process was killed: what it had in hand is left for the client to send again.
func (o *observer) instanceKilled(t *request) { delete(o.requests, t) }

// attemptStarted judges an attempt as it is sent.
func (o *observer) attemptStarted(a *attempt, to policy.EndpointID) {
	t := a.request
	k := o.requests[t]
	switch {
	case k == nil || k.answers > 0:
		o.violation("1: something was sent of a request that is answered (instance %d)", t.instance.index)
		return
	case o.emulation.now >= t.expires:
		o.violation("1: something was sent of a request whose time is up (instance %d)", t.instance.index)
	}
	if since, is := o.notAccepting[t.instance][to]; is && o.emulation.now > since+drainGrace {
		o.violation("3: %s was sent something %v after it was told to take nothing", to, o.emulation.now-since)
	}
	for _, other := range t.attempts {
		if maybe := other.executed || k.possiblyExecuted[other]; !maybe || a.backend == nil || other.backend == nil {
			continue
		}
		switch c := t.class; {
		case c.Idempotency == policy.NonIdempotent:
			o.violation("2: %s was sent again though it may have run", c.Name)
		case c.Idempotency == policy.IdempotentByKey && (c.DedupScope == policy.DedupZone && other.backend.zone != a.backend.zone || c.DedupScope == policy.DedupCell && other.backend.cell != a.backend.cell):
			o.violation("2: %s was sent to another group though it may have run", c.Name)
		case c.Idempotency == policy.IdempotentByKey && o.emulation.now > other.sentAt+c.DedupWindow:
			o.violation("2: %s was sent again %v after a try that may have run", c.Name, o.emulation.now-other.sentAt)
		}
	}
	k.possiblyExecuted[a] = true
}

// attemptExecuted notes that a server has begun an attempt.
func (o *observer) attemptExecuted(a *attempt) { a.executed = true }

// attemptFinished notes what an instance is told of an attempt. A server that has answered with an error, or not at all, may have run it.
func (o *observer) attemptFinished(a *attempt, st policy.Status) {
	if k := o.requests[a.request]; k != nil && (st == policy.StatusOverloaded || st == policy.StatusConnectFailed || st == policy.StatusNotSent) {
		delete(k.possiblyExecuted, a)
		if a.executed {
			o.violation("2: the emulator itself told as not run what has run")
		}
	}
}

// requestAnswered judges a final answer.
func (o *observer) requestAnswered(t *request, how int) {
	k := o.requests[t]
	if k == nil {
		o.violation("1: an answer to a request that nobody asks (instance %d)", t.instance.index)
		return
	}
	if k.answers++; k.answers > 1 {
		o.violation("1: %d answers to one request (instance %d)", k.answers, t.instance.index)
	}
	if o.emulation.now > t.expires+answerSlack {
		o.violation("1: an answer %v too late (instance %d)", o.emulation.now-t.expires, t.instance.index)
	}
	if how == answerRejected && t.class.Idempotency != policy.Idempotent && (t.class.Idempotency != policy.IdempotentByKey || t.class.DedupScope != policy.DedupEverywhere) && len(k.possiblyExecuted) > 0 {
		o.violation("2: %s was refused though it may have run", t.class.Name)
	}
}

// clientTimedOut looks, a little after its client has left, whether a request was answered.
func (o *observer) clientTimedOut(t *request) {
	o.emulation.after(answerSlack, func() {
		if k := o.requests[t]; k != nil && k.answers == 0 {
			o.violation("1: a request was never answered (instance %d)", t.instance.index)
		}
	})
}

func (o *observer) backendCollapsed(s *backend) {
	o.violation("4: %s was pushed over while it was cold", s.id)
}

// finish judges what is left at the end.
func (o *observer) finish() {
	open := 0
	for t, k := range o.requests {
		if k.answers == 0 && o.emulation.now > t.expires+answerSlack {
			open++
		}
	}
	if open > 0 {
		o.violation("1: %d requests were not answered by the end", open)
	}
}
