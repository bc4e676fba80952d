package pool

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/statslog"
	"sorrelrudder/policy"
)

const (
	// minStableWatch is how long a watch must last after its first list to be reopened without a backoff when it ends. A watch that ends
	// sooner counts as a failed poll, which is followed by a backoff, unless it ends with discovery.ErrSilenceTimeout.
	minStableWatch = time.Second
	// maxConsecutiveOutdated is how many consecutive messages may have a lower version than the current list. After that a complete list
	// is accepted in spite of its version: the source has restarted its version count.
	maxConsecutiveOutdated = 3
)

// listWatch is the state of the pool's watch of its endpoint list. The pool's mu guards it.
type listWatch struct {
	source              discovery.Source
	cancel              context.CancelFunc // nil while there is no watch
	version             int64              // of the last message accepted, or of the cached list
	received            bool               // a list has been received from the source; the cached list does not count
	consecutiveOutdated int                // number of consecutive messages with a lower version than version
	lastError           string             // why the last watch ended; cleared when a list is received
}

// stop cancels the watch if it is open.
func (w *listWatch) stop() {
	if w.cancel != nil {
		w.cancel()
		w.cancel = nil
	}
}

// accept records a message that is applied.
func (w *listWatch) accept(version int64, kind policy.UpdateKind) {
	w.version = version
	if kind != policy.UpdateCached {
		w.received, w.lastError = true, ""
	}
}

// checkVersion returns an outdatedError for a message that must not be applied. Such a message comes from a replica of the source that
// lags behind the replica polled before, and would bring removed endpoints back.
func (w *listWatch) checkVersion(l *discovery.EndpointList) error {
	if *l.Version >= w.version {
		w.consecutiveOutdated = 0
		return nil
	}
	w.consecutiveOutdated++
	if l.Complete && w.consecutiveOutdated > maxConsecutiveOutdated {
		w.consecutiveOutdated = 0
		return nil
	}
	return outdatedError{version: *l.Version, current: w.version}
}

// recordError records why a watch has ended, and reports whether the reason differs from the last one.
func (w *listWatch) recordError(err error) bool {
	reason := err.Error()
	if reason == w.lastError {
		return false
	}
	w.lastError = reason
	return true
}

// outdatedError ends a watch that delivered a message with a lower version than the current list.
type outdatedError struct{ version, current int64 }

// Error names the version of the rejected list and the current version.
func (e outdatedError) Error() string {
	return fmt.Sprintf("endpoint list has version %d, older than the current version %d, which stays in force", e.version, e.current)
}

// WatchEndpoints implements policy.Actions. Unless it is canceled, a watch ends with one UpdatePollFailed or UpdateWatchLost. The
// decision module decides when to open the next watch.
func (p *Pool) WatchEndpoints(on bool) {
	p.watch.stop()
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.watch.cancel = cancel
	source, since := p.watch.source, p.watch.version
	p.stats.Add(statslog.DiscoveryCalls, 1)
	p.spawn(func() { p.runWatch(ctx, cancel, source, since) })
}

// runWatch watches source from version since on, until the watch ends or ctx is canceled.
func (p *Pool) runWatch(ctx context.Context, cancel context.CancelFunc, source discovery.Source, since int64) {
	var outdated error
	var firstListAt policy.Time // when the first list was received; 0: none was
	watch, end := context.WithCancel(ctx)
	defer end()
	err := source.Watch(watch, since, func(l *discovery.EndpointList) {
		p.runEvent(func(now policy.Time) {
			if watch.Err() != nil {
				return
			}
			outdated = p.watch.checkVersion(l)
			if outdated != nil {
				end()
				return
			}
			firstListAt = cmp.Or(firstListAt, now)
			p.updateEndpoints(now, updateKind(l), l)
		})
	})
	if outdated != nil {
		err = outdated
	}
	p.runEvent(func(now policy.Time) {
		if ctx.Err() != nil { // canceled
			return
		}
		cancel()
		stable := firstListAt > 0 && now-firstListAt >= minStableWatch
		p.endWatch(now, err, stable)
	})
}

// updateKind returns the kind of update for a message of the source.
func updateKind(l *discovery.EndpointList) policy.UpdateKind {
	if l.Complete {
		return policy.UpdateFull
	}
	return policy.UpdateDelta
}

// endWatch tells the decision module that the watch has ended without being canceled. stable reports whether it lasted long enough to be
// reopened without a backoff. The caller holds mu.
func (p *Pool) endWatch(now policy.Time, err error, stable bool) {
	p.watch.cancel = nil
	p.stats.Add(statslog.DiscoveryFailures, 1)
	p.logWatchEnd(err)
	kind := policy.UpdatePollFailed
	if stable || errors.Is(err, discovery.ErrSilenceTimeout) {
		kind = policy.UpdateWatchLost
	}
	p.balancer.UpdateEndpoints(now, kind, nil, p)
}

// logWatchEnd logs why a watch has ended, unless the preceding watch ended for the same reason and no list was received since.
func (p *Pool) logWatchEnd(err error) {
	if p.watch.recordError(err) {
		p.log.Warn("watch on discovery ended", "err", err)
	}
}

// SetSource replaces the source of the endpoint list, and makes the decision module open a watch there. The current list stays in force
// until the new source sends a list.
func (p *Pool) SetSource(source discovery.Source) {
	p.runEvent(func(now policy.Time) {
		p.watch.source = source
		p.watch.version = 0 // the new source may number its versions differently
		p.watch.stop()
		p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
	})
}

// PollNow makes the decision module open a watch within policy.Config.WatchReopenMaxDelay, unless a list has been received from the source
// or a watch is open.
func (p *Pool) PollNow() {
	p.runEvent(func(now policy.Time) {
		if !p.watch.received && p.watch.cancel == nil {
			p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
		}
	})
}
