package e2e

import (
	"context"
	"time"
)

// scriptStep is something that is done after a part of a phase.
type scriptStep struct {
	at float64
	do func()
}

// runScript does the steps, which are in order, of a phase of that length, until ctx ends.
func runScript(ctx context.Context, length time.Duration, steps ...scriptStep) {
	began := time.Now()
	for _, s := range steps {
		wait := time.NewTimer(time.Until(began.Add(time.Duration(s.at * float64(length)))))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
			s.do()
		}
	}
}

// pause waits, and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
