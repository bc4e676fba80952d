package simulation

import (
	"container/heap"
	"time"
)

// event is a function that is due at a time. Events of one time run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue is a heap of events, the next one first. It implements heap.Interface.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

func (q *eventQueue) Pop() any {
	old := *q
	popped := old[len(old)-1]
	*q = old[:len(old)-1]
	return popped
}

// scheduler is a virtual clock and the events that are due. Its zero value is ready to use.
type scheduler struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64 // of the newest event
}

// after schedules run after a delay.
func (s *scheduler) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, &event{s.now + delay, s.sequence, run})
}

// dueBy reports whether there is an event that is due by a time.
func (s *scheduler) dueBy(until time.Duration) bool {
	return len(s.queue) > 0 && s.queue[0].at <= until
}

// step sets the clock to the next event and runs it.
func (s *scheduler) step() {
	next := heap.Pop(&s.queue).(*event)
	s.now = next.at
	next.run()
}
