package gateway

import (
	"time"

	"sorrelrudder/internal/process"
)

const (
	// runnableWaitInterval is the interval at which the waits of goroutines for a processor are looked at.
	runnableWaitInterval = time.Second
	// longRunnableWait is the wait from which it is logged. Each hop of a request waits as long.
	longRunnableWait = 20 * time.Millisecond
	// runnableWaitQuantile is the quantile of the waits that is logged.
	runnableWaitQuantile = 0.99
)

// logRunnableWaits logs when goroutines wait long until they run, which delays all clients. It returns when the gateway is closed.
func (g *Gateway) logRunnableWaits() {
	waits := process.NewRunnableWait()
	ticker := time.NewTicker(runnableWaitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
		if wait := waits.Quantile(runnableWaitQuantile); wait >= longRunnableWait {
			g.log.Warn("requests wait for the processor", "p99_ms", wait.Milliseconds(), "load", g.String())
		}
	}
}
