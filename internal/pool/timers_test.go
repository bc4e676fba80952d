package pool

import (
	"slices"
	"testing"
	"time"
)

// TestTimerQueue: timers are taken in the order of their times, none before its time, and the wake-up is that of the first.
func TestTimerQueue(t *testing.T) {
	q := newTimerQueue(func() {})
	defer q.stop()
	at := func(hours time.Duration) time.Duration { return hours * time.Hour }
	for hours, token := range map[time.Duration]string{30: "c", 10: "a", 20: "b"} {
		q.add(at(hours), token)
		q.scheduleWakeup(at(1))
	}
	if q.wakeupAt != at(10) {
		t.Errorf("wakes up at %v, want the first timer's %v", q.wakeupAt, at(10))
	}
	if due := q.takeDue(at(10) - 1); len(due) > 0 {
		t.Errorf("%q are due too early", due)
	}
	if due := q.takeDue(at(20)); !slices.Equal(due, []string{"a", "b"}) {
		t.Errorf("%q are due, want a and b", due)
	}
	q.scheduleWakeup(at(20))
	if q.wakeupAt != at(30) {
		t.Errorf("wakes up at %v, want the last timer's %v", q.wakeupAt, at(30))
	}
}
