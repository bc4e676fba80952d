package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// TestScheduler guards against events that run in another order than that of their times and, at the same time, of their scheduling, and
// against a clock that differs from the time of the event that runs.
func TestScheduler(t *testing.T) {
	var s Scheduler
	var ran []string
	schedule := func(name string, delay time.Duration) {
		at := s.Now() + max(0, delay)
		s.After(delay, func() {
			if s.Now() != at {
				t.Errorf("%s ran at %v, want %v", name, s.Now(), at)
			}
			ran = append(ran, name)
		})
	}
	schedule("late", 3*time.Second)
	schedule("first", time.Second)
	schedule("second", time.Second)
	s.After(time.Second, func() {
		schedule("overdue", -time.Second)
		schedule("last", 4*time.Second)
	})
	s.RunUntil(4 * time.Second)
	if want := []string{"first", "second", "overdue", "late"}; !slices.Equal(ran, want) {
		t.Errorf("%v ran, want %v", ran, want)
	}
	if s.Now() != 4*time.Second || s.Idle() || s.DueBy(4*time.Second) || !s.DueBy(5*time.Second) {
		t.Errorf("at %v, idle %v: want one event left, at 5s", s.Now(), s.Idle())
	}
	s.Step()
	if !s.Idle() || s.Now() != 5*time.Second {
		t.Errorf("at %v, idle %v: want no event left", s.Now(), s.Idle())
	}
}
