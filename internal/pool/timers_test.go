package pool

import (
	"slices"
	"testing"
	"time"
)

// TestTimerQueue guards against timers that fire early or out of order, and against a wake-up later than the earliest timer.
func TestTimerQueue(t *testing.T) {
	q := newTimerQueue(func() {})
	defer q.stop()
	at := func(hours time.Duration) time.Duration { return hours * time.Hour }
	for hours, token := range map[time.Duration]string{30: "c", 10: "a", 20: "b"} {
		q.add(at(hours), token)
		q.scheduleWakeup(at(1))
	}
	if q.wakeupAt != at(10) {
		t.Errorf("wake-up is at %v, want %v as the first timer", q.wakeupAt, at(10))
	}
	if due := q.takeDue(at(10) - 1); len(due) > 0 {
		t.Errorf("takeDue returned %q before the first timer was due", due)
	}
	if due := q.takeDue(at(20)); !slices.Equal(due, []string{"a", "b"}) {
		t.Errorf("takeDue returned %q, want a and b", due)
	}
	q.scheduleWakeup(at(20))
	if q.wakeupAt != at(30) {
		t.Errorf("wake-up is at %v, want %v as the last timer", q.wakeupAt, at(30))
	}
}
