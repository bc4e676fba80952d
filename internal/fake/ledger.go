// Package fake imitates what stands around the program: boxes that do work, the platform's discovery, a link between two
// places, and clients with deadlines and retries. All of it is on loopback sockets and in real time. A ledger counts what
// clients asked, what they were answered and what the boxes did, and tells afterwards whether one of the four rules was
// broken. The package shares no code with the program that it watches, so that one mistake cannot hide another.
package fake

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The effects.
const (
	Idempotent Idempotency = iota
	IdempotentByKey
	NonIdempotent
)

func (e Idempotency) String() string { return [...]string{"safe", "keyed", "unsafe"}[e] }

// Tolerance is what the rules allow for the machine on which program, clients and boxes run together.
type Tolerance struct {
	LateResponse         time.Duration // an answer may come so much after its time
	AttemptAfterResponse time.Duration // an attempt may arrive so much after the answer
	AfterDrainGrace      time.Duration // one to a box that is told to be leaving or gone, after the grace of 2 s
}

// DefaultTolerance suits a machine of some cores on which little else runs.
var DefaultTolerance = Tolerance{LateResponse: 150 * time.Millisecond, AttemptAfterResponse: 100 * time.Millisecond, AfterDrainGrace: 150 * time.Millisecond}

// DrainGrace is how long after it is told a box may be sent new work.
const DrainGrace = 2 * time.Second

// EffectRecorder counts requests, answers and effects. Its methods may be called from many goroutines at once.
type EffectRecorder struct {
	mu         sync.Mutex
	attempts   map[string]*clientAttempt
	backends   map[string]*backendRecord
	unexpected []string // what fits no try
	operations int
}

// clientAttempt is one request of a client, named by its X-Request-ID. A client's retry is another try of the same operation.
type clientAttempt struct {
	operation  *Operation
	sent       time.Time
	timeout    time.Duration
	answered   time.Time // zero: not
	status     int
	clientGone bool // the client went away
	arrivals   []arrival
	effects    int
}

// Operation is what a client wants done once.
type Operation struct {
	idempotency Idempotency
	effects     int
	attemptIDs  []string
}

type arrival struct {
	backend string
	at      time.Time
}

// backendRecord is what is known of a box.
type backendRecord struct {
	drainingSince     time.Time // when the program was told that it leaves or is gone; zero: not
	slowStartSince    time.Time // zero: warm
	budget            func(age, window time.Duration) float64
	window            time.Duration
	slowStartArrivals []time.Time // of work that reached it while it was cold
}

// NewEffectRecorder returns an empty ledger.
func NewEffectRecorder() *EffectRecorder {
	return &EffectRecorder{attempts: map[string]*clientAttempt{}, backends: map[string]*backendRecord{}}
}

// BeginOperation begins an operation of a client.
func (l *EffectRecorder) BeginOperation(e Idempotency) *Operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.operations++
	return &Operation{idempotency: e}
}

// Operations is how many operations were begun.
func (l *EffectRecorder) Operations() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.operations
}

// RecordSent notes a try of o whose last byte is about to be written. It panics if the id was used before.
func (l *EffectRecorder) RecordSent(o *Operation, id string, timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts[id] != nil {
		panic("standin: a request's id is used twice: " + id)
	}
	l.attempts[id] = &clientAttempt{operation: o, sent: time.Now(), timeout: timeout}
	o.attemptIDs = append(o.attemptIDs, id)
}

// RecordUnsent takes a try back that the program cannot have read.
func (l *EffectRecorder) RecordUnsent(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.attempts[id]; t != nil && len(t.arrivals) == 0 {
		delete(l.attempts, id)
	}
}

// RecordResponse notes the answer to a try; made is whether its body is what a box made for it, where it was served.
func (l *EffectRecorder) RecordResponse(id string, status int, made bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.attempts[id]
	switch {
	case t == nil:
		l.unexpected = append(l.unexpected, "an answer to "+id+", which was never sent")
	case !t.answered.IsZero():
		l.unexpected = append(l.unexpected, "a second answer to "+id)
	case status == 200 && !made:
		l.unexpected = append(l.unexpected, id+" was served with what no box made for it")
	default:
		t.answered, t.status = time.Now(), status
	}
}

// RecordClientGone notes that the client of a try has gone away.
func (l *EffectRecorder) RecordClientGone(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.attempts[id]; t != nil {
		t.clientGone = true
	}
}

// RecordUnexpected notes bytes that came to a client unasked.
func (l *EffectRecorder) RecordUnexpected(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unexpected = append(l.unexpected, what)
}

// RecordArrival notes that a request came whole to a box.
func (l *EffectRecorder) RecordArrival(box, id string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.attempts[id]
	if t == nil {
		l.unexpected = append(l.unexpected, fmt.Sprintf("box %s got a request %q that no client sent", box, id))
		return
	}
	t.arrivals = append(t.arrivals, arrival{box, now})
	if b := l.backends[box]; b != nil && !b.slowStartSince.IsZero() {
		b.slowStartArrivals = append(b.slowStartArrivals, now)
	}
}

// RecordEffect notes that a request had its effect.
func (l *EffectRecorder) RecordEffect(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.attempts[id]; t != nil {
		t.effects++
		t.operation.effects++
	}
}

// RecordDraining notes that the program was told of a box that it leaves, is gone, or is back.
func (l *EffectRecorder) RecordDraining(box string, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.backend(box)
	switch {
	case !leaving:
		b.drainingSince = time.Time{}
	case b.drainingSince.IsZero():
		b.drainingSince = time.Now()
	}
}

// RecordSlowStart notes that a box starts cold: in any window of its warm-up it may be sent as many requests as budget says.
func (l *EffectRecorder) RecordSlowStart(box string, window time.Duration, budget func(age, window time.Duration) float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.backend(box)
	b.slowStartSince, b.window, b.budget, b.slowStartArrivals = time.Now(), window, budget, nil
}

func (l *EffectRecorder) backend(name string) *backendRecord {
	b := l.backends[name]
	if b == nil {
		b = &backendRecord{}
		l.backends[name] = b
	}
	return b
}

// Verdict is what a ledger says of a run.
type Verdict struct {
	Violations       []string // the rules that were broken, each with its first case
	Operations       int
	Attempts         int
	Arrivals         int // of tries at boxes
	Answered         int
	Effects          int
	DuplicateEffects int           // operations with more effects than one, of those that may have only one
	MaxLateness      time.Duration // how far an answer came after its time, at the most
}

// Check tells whether the rules were kept. It is called once all is over.
func (l *EffectRecorder) Check(slack Tolerance) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := Verdict{Attempts: len(l.attempts), Operations: l.operations}
	first, count := map[string]string{}, map[string]int{}
	var order []string
	broken := func(rule, format string, args ...any) {
		if count[rule]++; count[rule] == 1 {
			order = append(order, rule)
			first[rule] = fmt.Sprintf(format, args...)
		}
	}
	for _, s := range l.unexpected {
		broken("1 one answer", "%s", s)
	}
	seen := map[*Operation]bool{}
	for id, t := range l.attempts {
		late := t.answered.Sub(t.sent) - t.timeout
		switch {
		case t.clientGone:
		case t.answered.IsZero():
			broken("1 one answer", "%s was never answered", id)
		case late > slack.LateResponse:
			broken("1 one answer", "%s was answered %v after its time", id, late.Round(time.Millisecond))
		}
		if !t.answered.IsZero() {
			v.Answered++
			v.MaxLateness = max(v.MaxLateness, late)
		}
		refused := t.status == 429 || t.status == 503
		if refused && t.effects > 0 && t.operation.idempotency == NonIdempotent {
			broken("2 no effect twice", "%s is unsafe, had run, and was refused", id)
		}
		for _, a := range t.arrivals {
			if !t.answered.IsZero() && a.at.Sub(t.answered) > slack.AttemptAfterResponse {
				broken("1 one answer", "%s came to box %s %v after its answer", id, a.backend, a.at.Sub(t.answered).Round(time.Millisecond))
			}
		}
		v.Effects += t.effects
		v.Arrivals += len(t.arrivals)
		if o := t.operation; !seen[o] {
			seen[o] = true
			if o.idempotency != Idempotent && o.effects > 1 {
				v.DuplicateEffects++
				broken("2 no effect twice", "%d effects of one %v operation, tried as %v", o.effects, o.idempotency, o.attemptIDs)
			}
		}
	}
	for name, b := range l.backends {
		l.checkGrace(name, b, slack, broken)
		checkCold(name, b, broken)
	}
	for _, rule := range order {
		v.Violations = append(v.Violations, fmt.Sprintf("rule %s, %d times; first: %s", rule, count[rule], first[rule]))
	}
	return v
}

// ArrivalCount is how often a try has come to a box.
func (l *EffectRecorder) ArrivalCount(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.attempts[id]; t != nil {
		return len(t.arrivals)
	}
	return 0
}

// HasResponse reports whether a try has its answer.
func (l *EffectRecorder) HasResponse(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.attempts[id]
	return t != nil && !t.answered.IsZero()
}

// ArrivalsAt counts the arrivals at boxes of these names of tries whose id contains text, such as the name of a crowd.
func (l *EffectRecorder) ArrivalsAt(boxes map[string]bool, text string) int {
	n := 0
	l.forEachArrivalAt(boxes, text, func(time.Time) { n++ })
	return n
}

// LastArrivalAt is when the last of them came; zero if none did.
func (l *EffectRecorder) LastArrivalAt(boxes map[string]bool, text string) (last time.Time) {
	l.forEachArrivalAt(boxes, text, func(at time.Time) {
		if at.After(last) {
			last = at
		}
	})
	return last
}

func (l *EffectRecorder) forEachArrivalAt(boxes map[string]bool, text string, each func(at time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.attempts {
		if !strings.Contains(id, text) {
			continue
		}
		for _, a := range t.arrivals {
			if boxes[a.backend] {
				each(a.at)
			}
		}
	}
}

func (l *EffectRecorder) checkGrace(name string, b *backendRecord, slack Tolerance, broken func(string, string, ...any)) {
	if b.drainingSince.IsZero() {
		return
	}
	for id, t := range l.attempts {
		for _, a := range t.arrivals {
			if late := a.at.Sub(b.drainingSince); a.backend == name && late > DrainGrace+slack.AfterDrainGrace {
				broken("3 no work after the grace", "%s came to box %s %v after it was told to leave", id, name, late.Round(time.Millisecond))
			}
		}
	}
}

// checkCold looks at each window that begins with a request to a cold box.
func checkCold(name string, b *backendRecord, broken func(string, string, ...any)) {
	if b.budget == nil {
		return
	}
	for i, from := range b.slowStartArrivals {
		n := 0
		for _, at := range b.slowStartArrivals[i:] {
			if at.Sub(from) > b.window {
				break
			}
			n++
		}
		if most := b.budget(from.Sub(b.slowStartSince), b.window); float64(n) > most {
			broken("4 no cold box pushed over", "box %s got %d requests in %v at the age of %v, %0.0f allowed", name, n, b.window, from.Sub(b.slowStartSince).Round(time.Millisecond), most)
			return
		}
	}
}
