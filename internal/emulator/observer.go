package emulator

import (
	"fmt"
	"time"

	"sorrelrudder/policy"
)

const (
	// mostBroken bounds the breaches that are told word by word.
	mostBroken = 20
	// drainGrace is how long something new may still go to a server of which is told that it drains or is gone.
	drainGrace = 2 * time.Second
	// answerSlack is how far after its time an answer may come.
	answerSlack = 50 * time.Millisecond
)

// observer holds the four rules, by books of its own.
type observer struct {
	w     *Emulation
	left  map[*instance]map[policy.EndpointID]policy.Time // since when an instance has been told that a server takes nothing new
	tries map[*try]*book
}

// book is what the observer knows of one try.
type book struct {
	answers int
	out     map[*attempt]bool
}

func newObserver(w *Emulation) *observer {
	return &observer{w: w, left: map[*instance]map[policy.EndpointID]policy.Time{}, tries: map[*try]*book{}}
}

func (o *observer) breach(format string, args ...any) {
	o.w.Result.ViolationCount++
	if len(o.w.Result.Violations) < mostBroken {
		o.w.Result.Violations = append(o.w.Result.Violations, fmt.Sprintf("%.3f s, rule ", o.w.Elapsed().Seconds())+fmt.Sprintf(format, args...))
	}
}

// told notes what an instance is told of the list.
func (o *observer) told(in *instance, kind policy.UpdateKind, entries []policy.Endpoint) {
	left := o.left[in]
	if left == nil {
		left = map[policy.EndpointID]policy.Time{}
		o.left[in] = left
	}
	listed := map[policy.EndpointID]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		if e.State == policy.Ready {
			delete(left, e.ID)
		} else if _, is := left[e.ID]; !is {
			left[e.ID] = o.w.now
		}
	}
	if kind == policy.UpdateFull {
		for id := range in.known {
			if _, is := left[id]; !is && !listed[id] {
				left[id] = o.w.now
			}
		}
	}
}

func (o *observer) taken(t *try) { o.tries[t] = &book{out: map[*attempt]bool{}} }

// forget drops a try whose process was killed: what it had in hand is left for the client to send again.
func (o *observer) forget(t *try) { delete(o.tries, t) }

// sends judges an attempt as it is sent.
func (o *observer) sends(a *attempt, to policy.EndpointID) {
	t := a.try
	k := o.tries[t]
	switch {
	case k == nil || k.answers > 0:
		o.breach("1: something was sent of a request that is answered (instance %d)", t.in.ordinal)
		return
	case o.w.now >= t.expires:
		o.breach("1: something was sent of a request whose time is up (instance %d)", t.in.ordinal)
	}
	if since, is := o.left[t.in][to]; is && o.w.now > since+drainGrace {
		o.breach("3: %s was sent something %v after it was told to take nothing", to, o.w.now-since)
	}
	for _, other := range t.attempts {
		if maybe := other.ran || k.out[other]; !maybe || a.s == nil || other.s == nil {
			continue
		}
		switch c := t.class; {
		case c.Idempotency == policy.NonIdempotent:
			o.breach("2: %s was sent again though it may have run", c.Name)
		case c.Idempotency == policy.IdempotentByKey && (c.DedupScope == policy.DedupZone && other.s.zone != a.s.zone || c.DedupScope == policy.DedupCell && other.s.cell != a.s.cell):
			o.breach("2: %s was sent to another group though it may have run", c.Name)
		case c.Idempotency == policy.IdempotentByKey && o.w.now > other.sent+c.DedupWindow:
			o.breach("2: %s was sent again %v after a try that may have run", c.Name, o.w.now-other.sent)
		}
	}
	k.out[a] = true
}

// runs notes that a server has begun an attempt.
func (o *observer) runs(a *attempt) { a.ran = true }

// outcome notes what an instance is told of an attempt. A server that has answered with an error, or not at all, may have run it.
func (o *observer) outcome(a *attempt, st policy.Status) {
	if k := o.tries[a.try]; k != nil && (st == policy.StatusOverloaded || st == policy.StatusConnectFailed || st == policy.StatusNotSent) {
		delete(k.out, a)
		if a.ran {
			o.breach("2: the emulator itself told as not run what has run")
		}
	}
}

// answered judges a final answer.
func (o *observer) answered(t *try, how int) {
	k := o.tries[t]
	if k == nil {
		o.breach("1: an answer to a request that nobody asks (instance %d)", t.in.ordinal)
		return
	}
	if k.answers++; k.answers > 1 {
		o.breach("1: %d answers to one request (instance %d)", k.answers, t.in.ordinal)
	}
	if o.w.now > t.expires+answerSlack {
		o.breach("1: an answer %v too late (instance %d)", o.w.now-t.expires, t.in.ordinal)
	}
	if how == refused && t.class.Idempotency != policy.Idempotent && (t.class.Idempotency != policy.IdempotentByKey || t.class.DedupScope != policy.DedupEverywhere) && len(k.out) > 0 {
		o.breach("2: %s was refused though it may have run", t.class.Name)
	}
}

// expired looks, a little after its client has left, whether a request was answered.
func (o *observer) expired(t *try) {
	o.w.after(answerSlack, func() {
		if k := o.tries[t]; k != nil && k.answers == 0 {
			o.breach("1: a request was never answered (instance %d)", t.in.ordinal)
		}
	})
}

func (o *observer) fellOver(s *server) { o.breach("4: %s was pushed over while it was cold", s.id) }

// close judges what is left at the end.
func (o *observer) close() {
	open := 0
	for t, k := range o.tries {
		if k.answers == 0 && o.w.now > t.expires+answerSlack {
			open++
		}
	}
	if open > 0 {
		o.breach("1: %d requests were not answered by the end", open)
	}
}
