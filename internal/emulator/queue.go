package emulator

import (
	"container/heap"
	"time"

	"sorrelrudder/policy"
)

// event is a function that runs at a scheduled time. Events with the same time run in the order in which they were scheduled.
type event struct {
	at       policy.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events with the next event first. It implements heap.Interface.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{} // releases the function
	*q = (*q)[:last]
	return popped
}

// after schedules run after a delay. A negative delay counts as 0.
func (e *Emulation) after(delay time.Duration, run func()) {
	e.sequence++
	heap.Push(&e.queue, event{e.now + max(0, delay), e.sequence, run})
}

// step sets the clock to the next event and runs it.
func (e *Emulation) step() {
	next := heap.Pop(&e.queue).(event)
	e.now = next.at
	next.run()
}
