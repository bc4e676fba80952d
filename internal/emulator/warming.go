package emulator

import (
	"math"
	"slices"
	"time"

	"sorrelrudder/policy"
)

// arrival is the work of a request that a backend has received while warming up.
type arrival struct {
	at             policy.Time
	work           time.Duration
	senderNotified bool // the sending instance had been notified of the backend's start
}

// warmingLoad is the load that a backend has received within the collapse window while warming up.
type warmingLoad struct {
	work         time.Duration
	notifiedWork time.Duration // from instances that had been notified of the backend's start
	largest      time.Duration // work of the largest request
}

// recordWarmingWork records the work of a request that a backend receives while warming up. The backend collapses if it has received too
// much work.
func (b *backend) recordWarmingWork(e *Emulation, work time.Duration, senderNotified bool) {
	if e.scenario.CollapseFactor <= 0 || b.capacityFraction(e) == 1 {
		return
	}
	b.warmingWork = append(b.warmingWork, arrival{e.scheduler.Now(), work, senderNotified})
	b.warmingWork = slices.DeleteFunc(b.warmingWork, func(a arrival) bool { return a.at <= e.scheduler.Now()-e.scenario.CollapseWindow })
	load := b.warmingLoad()
	limit := e.scenario.CollapseFactor * b.capacity(e) * e.scenario.CollapseWindow.Seconds()
	b.collapseAbove(e, load, limit)
	e.recordWarmingLoad(load, len(b.warmingWork), limit)
}

// warmingLoad returns the sums of the recorded work.
func (b *backend) warmingLoad() warmingLoad {
	var load warmingLoad
	for _, a := range b.warmingWork {
		load.work += a.work
		load.largest = max(load.largest, a.work)
		if a.senderNotified {
			load.notifiedWork += a.work
		}
	}
	return load
}

// collapseAbove makes the backend collapse if its load exceeds limit, in seconds of work. The largest request does not count because no
// instance can predict it.
func (b *backend) collapseAbove(e *Emulation, load warmingLoad, limit float64) {
	if e.scenario.CollapseDisabled || b.collapsed || (load.work-load.largest).Seconds() <= limit {
		return
	}
	b.collapsed = true
	e.observer.backendCollapsed(b)
}

// recordWarmingLoad updates MaxWarmingRequests and MaxWarmingWork of the result with a load. A load counts only if over two thirds of its
// work come from instances that had been notified of the backend's start.
func (e *Emulation) recordWarmingLoad(load warmingLoad, requests int, limit float64) {
	if 3*load.notifiedWork <= 2*load.work {
		return
	}
	meanWork := e.scenario.meanWork().Seconds()
	budget := limit / meanWork // number of requests of mean work
	explained := budget + 2*math.Sqrt(budget) + 2
	e.Result.MaxWarmingRequests = max(e.Result.MaxWarmingRequests, float64(requests)/explained)
	e.Result.MaxWarmingWork = max(e.Result.MaxWarmingWork, load.work.Seconds()/meanWork/explained)
}
