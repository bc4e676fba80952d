package simulation

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time. Events of the same time run in the order in which they were scheduled.
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
	old := *q
	popped := old[len(old)-1]
	*q = old[:len(old)-1]
	return popped
}

// scheduler is a virtual clock with a queue of scheduled events. Its zero value is ready to use. It is not safe for concurrent use.
type scheduler struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64 // sequence number of the event that was scheduled last
}

// after schedules a call of run after a delay from now.
func (s *scheduler) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, &event{s.now + delay, s.sequence, run})
}

// dueBy reports whether an event is scheduled for the time until or earlier.
func (s *scheduler) dueBy(until time.Duration) bool {
	return len(s.queue) > 0 && s.queue[0].at <= until
}

// step advances the clock to the earliest event and runs it. The queue must not be empty.
func (s *scheduler) step() {
	next := heap.Pop(&s.queue).(*event)
	s.now = next.at
	next.run()
}
