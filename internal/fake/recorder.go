package fake

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Idempotency is the effect of repeating the requests of a class.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be repeated any number of times
	IdempotentByKey                    // repeats with the same key have one effect
	NonIdempotent                      // a repeat has a second effect
)

// String returns the name used in reports.
func (i Idempotency) String() string { return [...]string{"safe", "keyed", "unsafe"}[i] }

// EffectRecorder observes a run from outside the program under test. It records the requests that clients sent, the responses
// that they received and the requests that backends received. Check then reports which of the four rules were broken. The
// methods may be called concurrently.
type EffectRecorder struct {
	mu         sync.Mutex // guards all fields, and those of the attempts, operations and backends
	attempts   map[string]*clientAttempt
	backends   map[string]*backendRecord
	unexpected []string // events that belong to no attempt, as texts of violations
	operations int
}

// clientAttempt is one request of a client, identified by its X-Request-ID. A retry by the client is another attempt of the
// same operation.
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

// Operation is a unit of work that a client wants to have executed once. It has one or more attempts.
type Operation struct {
	idempotency Idempotency
	effects     int
	attemptIDs  []string
}

// arrival records that a backend received an attempt.
type arrival struct {
	backend string
	at      time.Time
}

// backendRecord is the state of a backend as known to the recorder.
type backendRecord struct {
	drainingSince     time.Time       // when the program was notified that the backend drains or has left; zero: the backend is active
	slowStartSince    time.Time       // zero: full capacity from the start
	budget            SlowStartBudget // nil: no limit
	window            time.Duration   // to which budget applies
	slowStartArrivals []time.Time     // of requests since slowStartSince
}

// SlowStartBudget returns how many requests a backend may receive in a window that begins at an age. The age counts from the
// beginning of slow start.
type SlowStartBudget func(age, window time.Duration) float64

// NewEffectRecorder returns an empty recorder.
func NewEffectRecorder() *EffectRecorder {
	return &EffectRecorder{attempts: map[string]*clientAttempt{}, backends: map[string]*backendRecord{}}
}

// BeginOperation records that a client begins an operation.
func (r *EffectRecorder) BeginOperation(idempotency Idempotency) *Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations++
	return &Operation{idempotency: idempotency}
}

// Operations returns how many operations have begun.
func (r *EffectRecorder) Operations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.operations
}

// RecordSent records an attempt of an operation. It must be called before the last byte of the request is written. It panics if
// the ID was used before.
func (r *EffectRecorder) RecordSent(operation *Operation, id string, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts[id] != nil {
		panic("fake: record sent attempt: request ID was used before: " + id)
	}
	r.attempts[id] = &clientAttempt{operation: operation, sent: time.Now(), timeout: timeout}
	operation.attemptIDs = append(operation.attemptIDs, id)
}

// RecordUnsent removes an attempt that the program cannot have read. An attempt that has reached a backend is kept.
func (r *EffectRecorder) RecordUnsent(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt := r.attempts[id]; attempt != nil && len(attempt.arrivals) == 0 {
		delete(r.attempts, id)
	}
}

// RecordResponse records the response to an attempt. bodyMatches reports whether the body is the one that a backend returned
// for this request. It is ignored unless status is 200.
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

// RecordClientGone records that the client of an attempt has closed its connection and does not expect a response.
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

// RecordDraining records that the program was notified of the state of a backend. If draining is true, the backend drains or
// has left. Otherwise, it is active.
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

// RecordSlowStart records that a backend begins slow start. budget limits the requests that the backend may receive in each
// window.
func (r *EffectRecorder) RecordSlowStart(backend string, window time.Duration, budget SlowStartBudget) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.backend(backend)
	record.slowStartSince, record.window, record.budget, record.slowStartArrivals = time.Now(), window, budget, nil
}

// backend returns the record of a backend and creates it if necessary. The caller holds mu.
func (r *EffectRecorder) backend(name string) *backendRecord {
	record := r.backends[name]
	if record == nil {
		record = &backendRecord{}
		r.backends[name] = record
	}
	return record
}

// ArrivalCount returns how many times backends received an attempt.
func (r *EffectRecorder) ArrivalCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt := r.attempts[id]; attempt != nil {
		return len(attempt.arrivals)
	}
	return 0
}

// HasResponse reports whether the client of an attempt has received its response.
func (r *EffectRecorder) HasResponse(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := r.attempts[id]
	return attempt != nil && !attempt.answered.IsZero()
}

// ArrivalsAt counts the arrivals at the named backends of attempts whose ID contains text, such as the name of a group of
// clients.
func (r *EffectRecorder) ArrivalsAt(backends map[string]bool, text string) int {
	n := 0
	r.forEachArrivalAt(backends, text, func(time.Time) { n++ })
	return n
}

// LastArrivalAt returns the time of the last arrival that ArrivalsAt counts. It returns the zero time if there is no arrival.
func (r *EffectRecorder) LastArrivalAt(backends map[string]bool, text string) (last time.Time) {
	r.forEachArrivalAt(backends, text, func(at time.Time) {
		if at.After(last) {
			last = at
		}
	})
	return last
}

// forEachArrivalAt calls visit for each arrival that ArrivalsAt counts. visit must not call methods of the recorder.
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
