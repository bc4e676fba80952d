package e2e

import (
	"context"
	"time"
)

// scriptStep is an action at a given time of a phase.
type scriptStep struct {
	at float64 // fraction of the phase
	do func()
}

// runScript runs the steps of a phase, which are ordered by time, and returns early if ctx ends.
func runScript(ctx context.Context, length time.Duration, steps ...scriptStep) {
	began := time.Now()
	for _, s := range steps {
		at := began.Add(time.Duration(s.at * float64(length)))
		if !pause(ctx, time.Until(at)) {
			return
		}
		s.do()
	}
}

// pause waits for d. It returns false if ctx ended before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
