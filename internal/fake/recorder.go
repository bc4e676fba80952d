package fake

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The kinds of requests.
const (
	Idempotent      Idempotency = iota // may be repeated at will
	IdempotentByKey                    // repeats with the same key have one effect
	NonIdempotent                      // a repeat has a second effect
)

// String returns the word that reports use.
func (i Idempotency) String() string { return [...]string{"safe", "keyed", "unsafe"}[i] }

// EffectRecorder observes a run from outside the program under test: it records what clients sent, which responses they got and
// what reached the backends. Check then tells which of the four rules were broken. Its methods may be called concurrently.
type EffectRecorder struct {
	mu         sync.Mutex // guards all fields, and those of the attempts, operations and backends
	attempts   map[string]*clientAttempt
	backends   map[string]*backendRecord
	unexpected []string // events that belong to no attempt
	operations int
}

// clientAttempt is one request of a client, named by its X-Request-ID. A client's retry is another attempt of the same operation.
type clientAttempt struct {
	operation  *Operation
	sent       time.Time
	timeout    time.Duration
	answered   time.Time // zero while there is no response
	status     int
	clientGone bool
	arrivals   []arrival
	effects    int
}

// Operation is what a client wants done once, in one attempt or several.
type Operation struct {
	idempotency Idempotency
	effects     int
	attemptIDs  []string
}

// arrival is the moment at which a backend received an attempt.
type arrival struct {
	backend string
	at      time.Time
}

// backendRecord is what is known of a backend.
type backendRecord struct {
	drainingSince     time.Time // when the program was notified that it drains or has left; zero: it does not
	slowStartSince    time.Time // zero: warm from the beginning
	budget            SlowStartBudget
	window            time.Duration
	slowStartArrivals []time.Time // requests since slowStartSince
}

// SlowStartBudget returns how many requests a backend may be sent in a window that begins at an age, counted from its start.
type SlowStartBudget func(age, window time.Duration) float64

// NewEffectRecorder returns an empty recorder.
func NewEffectRecorder() *EffectRecorder {
	return &EffectRecorder{attempts: map[string]*clientAttempt{}, backends: map[string]*backendRecord{}}
}

// BeginOperation begins an operation of a client.
func (r *EffectRecorder) BeginOperation(idempotency Idempotency) *Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations++
	return &Operation{idempotency: idempotency}
}

// Operations returns how many operations were begun.
func (r *EffectRecorder) Operations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.operations
}

// RecordSent records an attempt of an operation whose last byte is about to be written. It panics if the id was used before.
func (r *EffectRecorder) RecordSent(operation *Operation, id string, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[id] != nil {
		panic("fake: a request's id is used twice: " + id)
	}
	r.attempts[id] = &clientAttempt{operation: operation, sent: time.Now(), timeout: timeout}
	operation.attemptIDs = append(operation.attemptIDs, id)
}

// RecordUnsent withdraws an attempt that the program cannot have read. One that reached a backend stays.
func (r *EffectRecorder) RecordUnsent(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt := r.attempts[id]; attempt != nil && len(attempt.arrivals) == 0 {
		delete(r.attempts, id)
	}
}

// RecordResponse records the response to an attempt. bodyMatches tells whether its body is the one that a backend made for this
// request; it counts only with status 200.
func (r *EffectRecorder) RecordResponse(id string, status int, bodyMatches bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := r.attempts[id]
	switch {
	case attempt == nil:
		r.unexpected = append(r.unexpected, "an answer to "+id+", which was never sent")
	case !attempt.answered.IsZero():
		r.unexpected = append(r.unexpected, "a second answer to "+id)
	case status == 200 && !bodyMatches:
		r.unexpected = append(r.unexpected, id+" was served with what no box made for it")
	default:
		attempt.answered, attempt.status = time.Now(), status
	}
}

// RecordClientGone records that the client of an attempt has closed its connection and expects no response.
func (r *EffectRecorder) RecordClientGone(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt := r.attempts[id]; attempt != nil {
		attempt.clientGone = true
	}
}

// RecordUnexpected records an event that belongs to no attempt, such as bytes after a response.
func (r *EffectRecorder) RecordUnexpected(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unexpected = append(r.unexpected, event)
}

// RecordArrival records that a backend has received a complete request.
func (r *EffectRecorder) RecordArrival(backend, id string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := r.attempts[id]
	if attempt == nil {
		r.unexpected = append(r.unexpected, fmt.Sprintf("box %s got a request %q that no client sent", backend, id))
		return
	}
	attempt.arrivals = append(attempt.arrivals, arrival{backend, now})
	if record := r.backends[backend]; record != nil && !record.slowStartSince.IsZero() {
		record.slowStartArrivals = append(record.slowStartArrivals, now)
	}
}

// RecordEffect records that a request had its effect.
func (r *EffectRecorder) RecordEffect(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt := r.attempts[id]; attempt != nil {
		attempt.effects++
		attempt.operation.effects++
	}
}

// RecordDraining records that the program was notified that a backend drains or has left, or, with draining false, that it is active.
func (r *EffectRecorder) RecordDraining(backend string, draining bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.backend(backend)
	switch {
	case !draining:
		record.drainingSince = time.Time{}
	case record.drainingSince.IsZero():
		record.drainingSince = time.Now()
	}
}

// RecordSlowStart records that a backend begins to warm up: in each window it may be sent as many requests as budget says.
func (r *EffectRecorder) RecordSlowStart(backend string, window time.Duration, budget SlowStartBudget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.backend(backend)
	record.slowStartSince, record.window, record.budget, record.slowStartArrivals = time.Now(), window, budget, nil
}

// backend returns the record of a backend, a new one if there is none. The caller holds mu.
func (r *EffectRecorder) backend(name string) *backendRecord {
	record := r.backends[name]
	if record == nil {
		record = &backendRecord{}
		r.backends[name] = record
	}
	return record
}

// ArrivalCount returns how often backends received an attempt.
func (r *EffectRecorder) ArrivalCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt := r.attempts[id]; attempt != nil {
		return len(attempt.arrivals)
	}
	return 0
}

// HasResponse reports whether the client of an attempt has its response.
func (r *EffectRecorder) HasResponse(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := r.attempts[id]
	return attempt != nil && !attempt.answered.IsZero()
}

// ArrivalsAt counts the arrivals at the named backends of attempts whose id contains text, such as the name of a load.
func (r *EffectRecorder) ArrivalsAt(backends map[string]bool, text string) int {
	n := 0
	r.forEachArrivalAt(backends, text, func(time.Time) { n++ })
	return n
}

// LastArrivalAt returns when the last of those that ArrivalsAt counts came; zero if there is none.
func (r *EffectRecorder) LastArrivalAt(backends map[string]bool, text string) (last time.Time) {
	r.forEachArrivalAt(backends, text, func(at time.Time) {
		if at.After(last) {
			last = at
		}
	})
	return last
}

func (r *EffectRecorder) forEachArrivalAt(backends map[string]bool, text string, visit func(at time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, attempt := range r.attempts {
		if !strings.Contains(id, text) {
			continue
		}
		for _, arrival := range attempt.arrivals {
			if backends[arrival.backend] {
				visit(arrival.at)
			}
		}
	}
}
