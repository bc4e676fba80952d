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
	// minStableWatch is how long a watch must have stood to be opened anew at once when it ends. One that ends sooner counts as a failed
	// poll, which is followed by a backoff.
	minStableWatch = time.Second
	// maxConsecutiveOutdated is how many messages in a row may be older than the list in force before a complete one is taken over all the
	// same: the source has then begun to count anew.
	maxConsecutiveOutdated = 3
)

// listWatch is the state of the pool's watch of its endpoint list. The pool's mu guards it.
type listWatch struct {
	source              discovery.Source
	cancel              context.CancelFunc // nil while there is no watch
	version             int64              // of the last message
	received            bool               // the source has sent a list, beyond what was cached at the start
	consecutiveOutdated int                // messages in a row that were older than version
	lastError           string             // why the last watch ended, until a list comes
}

// stop cancels the watch, if there is one.
func (w *listWatch) stop() {
	if w.cancel != nil {
		w.cancel()
		w.cancel = nil
	}
}

// accept notes a message that is taken over.
func (w *listWatch) accept(version int64, kind policy.UpdateKind) {
	w.version = version
	if kind != policy.UpdateCached {
		w.received, w.lastError = true, ""
	}
}

// checkVersion returns an outdatedError for a message that must not be taken over. A replica of the source that lags behind the one
// asked before would bring removed endpoints back.
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
	return outdatedError{version: *l.Version, inForce: w.version}
}

// recordError notes why a watch has ended, and reports whether that is another reason than before.
func (w *listWatch) recordError(err error) bool {
	reason := err.Error()
	if reason == w.lastError {
		return false
	}
	w.lastError = reason
	return true
}

// outdatedError is the end of a watch whose message was older than the list in force.
type outdatedError struct{ version, inForce int64 }

func (e outdatedError) Error() string {
	return fmt.Sprintf("the list is of version %d, older than %d, which stays in force", e.version, e.inForce)
}

// WatchEndpoints implements policy.Actions. A watch ends with one UpdatePollFailed or UpdateWatchLost, unless it is canceled; the
// decision module says when to open the next.
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

// runWatch watches source from version since until that ends or ctx is canceled.
func (p *Pool) runWatch(ctx context.Context, cancel context.CancelFunc, source discovery.Source, since int64) {
	var outdated error
	var receiving policy.Time // since when lists have come; zero: none has
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
			receiving = cmp.Or(receiving, now)
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
		stable := receiving > 0 && now-receiving >= minStableWatch
		p.endWatch(now, err, stable)
	})
}

// updateKind returns what kind of update a message of the source is.
func updateKind(l *discovery.EndpointList) policy.UpdateKind {
	if l.Complete {
		return policy.UpdateFull
	}
	return policy.UpdateDelta
}

// endWatch tells the decision module that the watch has ended by itself; stable: it had stood long enough to be opened anew at once.
// The caller holds mu.
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

// logWatchEnd logs why a watch has ended, once for each reason until a list comes.
func (p *Pool) logWatchEnd(err error) {
	if p.watch.recordError(err) {
		p.log.Warn("watch on discovery ended", "err", err)
	}
}

// SetSource replaces the source of the endpoint list, and has the decision module open a watch there. The list in force stays until
// the new source sends one.
func (p *Pool) SetSource(source discovery.Source) {
	p.runEvent(func(now policy.Time) {
		p.watch.source = source
		p.watch.version = 0 // the new source may count otherwise
		p.watch.stop()
		p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
	})
}

// PollNow has the decision module open a watch within Config.WatchReopenMaxDelay, unless a list has been received or is being waited for.
func (p *Pool) PollNow() {
	p.runEvent(func(now policy.Time) {
		if !p.watch.received && p.watch.cancel == nil {
			p.balancer.UpdateEndpoints(now, policy.UpdateWatchLost, nil, p)
		}
	})
}
