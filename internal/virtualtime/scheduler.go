// Package virtualtime provides the clock and the event queue of simulations: time advances from event to event and does not pass by itself.
package virtualtime

import (
	"container/heap"
	"time"
)

// Scheduler is a virtual clock with a queue of scheduled events. Events of the same time run in the order in which they were scheduled. Its
// zero value is ready to use. It is not safe for concurrent use.
type Scheduler struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64 // sequence number of the event that was scheduled last
}

// Now returns the virtual time.
func (s *Scheduler) Now() time.Duration { return s.now }

// After schedules a call of run after a delay from now. A negative delay counts as 0.
func (s *Scheduler) After(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, &event{s.now + max(0, delay), s.sequence, run})
}

// Idle reports whether no event is scheduled.
func (s *Scheduler) Idle() bool { return len(s.queue) == 0 }

// DueBy reports whether an event is scheduled for the time until or earlier.
func (s *Scheduler) DueBy(until time.Duration) bool {
	return !s.Idle() && s.queue[0].at <= until
}

// Step advances the clock to the earliest event and runs it. There must be one.
func (s *Scheduler) Step() {
	next := heap.Pop(&s.queue).(*event)
	s.now = next.at
	next.run()
}

// RunUntil runs all events up to the time until, and advances the clock to it.
func (s *Scheduler) RunUntil(until time.Duration) {
	for s.DueBy(until) {
		s.Step()
	}
	s.AdvanceTo(until)
}

// AdvanceTo sets the clock to the time until without running events.
func (s *Scheduler) AdvanceTo(until time.Duration) { s.now = until }

// event is a function that runs at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue is a heap of events with the earliest at index 0. It implements heap.Interface.
type eventQueue []*event

// Len implements sort.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements sort.Interface. It orders events by time, and events of the same time by sequence number.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements sort.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface. It appends x, which must be an *event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface. It removes and returns the last element.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = nil // releases the event
	*q = (*q)[:last]
	return popped
}
