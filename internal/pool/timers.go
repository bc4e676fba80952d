package pool

import (
	"container/heap"
	"time"

	"sorrelrudder/policy"
)

// timerQueue holds the decision module's timers, and one runtime timer that fires when the earliest of them is due.
type timerQueue struct {
	pending  timerHeap
	wakeup   *time.Timer
	wakeupAt policy.Time // when wakeup fires; 0: it is not set
}

// newTimerQueue returns an empty queue. It calls fire in a goroutine of its own when a timer is due.
func newTimerQueue(fire func()) timerQueue {
	wakeup := time.AfterFunc(clockOffset, fire)
	wakeup.Stop()
	return timerQueue{wakeup: wakeup}
}

// add adds a timer that is due at the given time.
func (q *timerQueue) add(at policy.Time, token string) {
	heap.Push(&q.pending, timer{at: at, token: token})
}

// scheduleWakeup sets the runtime timer to fire when the earliest timer is due.
func (q *timerQueue) scheduleWakeup(now policy.Time) {
	if len(q.pending) == 0 {
		return
	}
	first := q.pending[0].at
	if q.wakeupAt != 0 && q.wakeupAt <= first {
		return
	}
	q.wakeupAt = first
	q.wakeup.Reset(max(0, first-now))
}

// takeDue removes the timers that are due and returns their tokens, the earliest first. It does not schedule the next wake-up; the
// caller must call scheduleWakeup.
func (q *timerQueue) takeDue(now policy.Time) []string {
	q.wakeupAt = 0
	var due []string
	for len(q.pending) > 0 && q.pending[0].at <= now {
		due = append(due, heap.Pop(&q.pending).(timer).token)
	}
	return due
}

// stop cancels the scheduled wake-up.
func (q *timerQueue) stop() { q.wakeup.Stop() }

// SetTimer implements policy.Actions.
func (p *Pool) SetTimer(after time.Duration, token string) {
	p.timers.add(p.clock.now()+max(0, after), token)
	p.timers.scheduleWakeup(p.clock.now())
}

// fireTimers passes all timers that are due to the decision module, in one event.
func (p *Pool) fireTimers() {
	p.runEvent(func(now policy.Time) {
		for _, token := range p.timers.takeDue(now) {
			p.balancer.HandleTimer(now, token, p)
		}
		p.timers.scheduleWakeup(p.clock.now())
	})
}

// timer is one timer of the decision module.
type timer struct {
	at    policy.Time
	token string
}

// timerHeap implements heap.Interface; the earliest timer is the first element.
type timerHeap []timer

// Len implements sort.Interface.
func (t timerHeap) Len() int { return len(t) }

// Less implements sort.Interface. It orders timers by their due times.
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements sort.Interface.
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface. It appends x, which must be a timer.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface. It removes and returns the last element.
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{} // releases the token for garbage collection
	*t = (*t)[:last]
	return x
}
