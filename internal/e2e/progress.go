package e2e

import (
	"fmt"
	"sync"
	"time"
)

// Phase sets the name of the running phase and its expected length, for the progress display.
func (e *Env) Phase(name string, length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.phase, e.phaseBegan, e.phaseLength = name, time.Now(), length
}

// progressInterval is the interval between updates of the progress display.
const progressInterval = 200 * time.Millisecond

// reportProgress writes the running phase to Options.Progress, which is a terminal, until stop is called.
func (e *Env) reportProgress() (stop func()) {
	if e.options.Progress == nil {
		return func() {}
	}
	end := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-end:
				fmt.Fprint(e.options.Progress, "\r\x1b[K")
				return
			case <-ticker.C:
			}
			e.mu.Lock()
			phase, spent, length := e.phase, time.Since(e.phaseBegan), e.phaseLength
			e.mu.Unlock()
			if phase != "" {
				fmt.Fprintf(e.options.Progress, "\r\x1b[K%s %s", progressBar(spent, length), phase)
			}
		}
	})
	return func() {
		close(end)
		done.Wait()
	}
}

// progressBar renders the elapsed fraction of a phase as a bar, and the elapsed seconds.
func progressBar(spent, length time.Duration) string {
	const width = 24
	n := width
	if length > 0 {
		n = min(width, int(float64(width)*float64(spent)/float64(length)))
	}
	b := make([]byte, width)
	for i := range b {
		b[i] = '.'
		if i < n {
			b[i] = '#'
		}
	}
	return fmt.Sprintf("[%s] %3.0f s", b, spent.Seconds())
}
