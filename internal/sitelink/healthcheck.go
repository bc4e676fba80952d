package sitelink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/siteheader"
	"sorrelrudder/internal/spillover"
)

const (
	// healthCheckTarget is the request target of health checks.
	healthCheckTarget = "/hop"
	// healthCheckPoolField is the header field of a health check that names the pool whose credits are requested.
	healthCheckPoolField = "Sorrel-Hop-Pool"
)

const (
	// idleCheckInterval is the interval between health checks of an open link without requests; busyCheckInterval is that of an open link
	// that carries requests.
	idleCheckInterval = 500 * time.Millisecond
	busyCheckInterval = 50 * time.Millisecond
	// idleTickInterval and busyTickInterval are the intervals at which the link's timers are checked. Each check wakes up the process, so
	// the timers of a link without requests are checked less often.
	idleTickInterval = idleCheckInterval / 5
	busyTickInterval = busyCheckInterval / 5
	// baseStallTimeout plus two round trips is the time without any response from the peer after which a link that carries requests counts
	// as stalled.
	baseStallTimeout = 200 * time.Millisecond
	// maxCheckTimeout bounds the timeout of a health check.
	maxCheckTimeout = time.Second
	// roundTripSmoothing is the divisor of the moving average of round trips: each new measurement has a weight of 1/8.
	roundTripSmoothing = 8
)

// checkResult is the outcome of one health check.
type checkResult struct {
	passed    bool
	draining  bool // the peer responded that it is draining
	credits   int  // granted by the peer
	peerClock time.Duration
	roundTrip time.Duration
	err       error
}

// healthChecker is the state of runHealthChecks. Only the goroutine of runHealthChecks uses it.
type healthChecker struct {
	link         *poolLink
	results      chan checkResult // result of the health check in flight, at most one
	inFlight     bool
	lastSent     time.Duration
	ticker       *time.Ticker
	tickInterval time.Duration
}

// runHealthChecks sends health checks to the peer and runs the link's timers until the extension is closed.
func (l *poolLink) runHealthChecks() {
	h := &healthChecker{
		link:         l,
		results:      make(chan checkResult, 1),
		ticker:       time.NewTicker(busyTickInterval),
		tickInterval: busyTickInterval,
	}
	defer h.ticker.Stop()
	for {
		select {
		case <-l.extension.ctx.Done():
			if h.inFlight {
				<-h.results
			}
			return
		case <-l.forwarded:
			h.setTickInterval(busyTickInterval)
		case r := <-h.results:
			h.inFlight = false
			l.recordCheck(r)
		case <-h.ticker.C:
			h.tick()
		}
	}
}

func (h *healthChecker) setTickInterval(d time.Duration) {
	if d != h.tickInterval {
		h.tickInterval = d
		h.ticker.Reset(d)
	}
}

// tick runs the link's timers and sends a health check if one is due.
func (h *healthChecker) tick() {
	l := h.link
	l.mu.Lock()
	now := l.extension.now()
	due, transition := l.spillover.Tick(now)
	checkInterval, tickInterval := idleCheckInterval, idleTickInterval
	if l.spillover.InFlight() > 0 || l.spillover.Spilling() {
		checkInterval, tickInterval = busyCheckInterval, busyTickInterval
	}
	if s := l.spillover.State(); s == spillover.Open || s == spillover.Draining {
		due = now-h.lastSent >= checkInterval
	} else {
		tickInterval = busyTickInterval
	}
	timeout := l.checkTimeout()
	l.mu.Unlock()

	h.setTickInterval(tickInterval)
	l.applyTransition(transition, nil)
	if due && !h.inFlight && !l.extension.draining.Load() {
		h.send(now, timeout)
	}
}

// checkTimeout returns the timeout of a health check. The caller holds mu.
func (l *poolLink) checkTimeout() time.Duration {
	if l.roundTrip == 0 {
		return maxCheckTimeout
	}
	return min(maxCheckTimeout, baseStallTimeout+4*l.roundTrip)
}

// send starts a health check in a goroutine, which sends the outcome to results.
func (h *healthChecker) send(now, timeout time.Duration) {
	h.inFlight, h.lastSent = true, now
	h.link.extension.goroutines.Go(func() { h.results <- h.link.timedCheck(timeout) })
}

// timedCheck runs a health check and measures its round trip.
func (l *poolLink) timedCheck(timeout time.Duration) checkResult {
	start := time.Now()
	r, status, err := l.checkPeer(timeout)
	return checkResult{
		passed:    err == nil && r.Outcome == siteheader.Served,
		draining:  err == nil && r.Outcome == siteheader.Rejected && status == http.StatusServiceUnavailable,
		credits:   r.Credits,
		peerClock: r.Stamp,
		roundTrip: time.Since(start),
		err:       err,
	}
}

// recordCheck applies the result of a health check to the state of the link.
func (l *poolLink) recordCheck(r checkResult) {
	var transitions []*spillover.Transition
	l.mu.Lock()
	now := l.extension.now()
	if r.passed {
		l.recordRoundTrip(r.roundTrip)
		l.peerClock, l.peerClockReadAt = r.peerClock, now
	}
	if !l.extension.draining.Load() && r.draining != l.peerDraining {
		l.peerDraining = r.draining
		transitions = append(transitions, l.spillover.Drain(now, r.draining))
	}
	if !r.draining {
		transitions = append(transitions, l.spillover.RecordHealthCheck(now, r.passed, r.credits))
	}
	l.mu.Unlock()
	for _, t := range transitions {
		l.applyTransition(t, r.err)
	}
}

// recordRoundTrip updates the average round trip with the duration of a health check that passed. The caller holds mu.
func (l *poolLink) recordRoundTrip(measured time.Duration) {
	if l.roundTrip == 0 {
		l.roundTrip = measured
	}
	l.roundTrip += (measured - l.roundTrip) / roundTripSmoothing
	l.spillover.SetStallTimeout(baseStallTimeout + 2*l.roundTrip)
}

// checkPeer sends one health check. It returns the peer's response about the pool and the HTTP status. The error says why the response
// cannot be used.
func (l *poolLink) checkPeer(timeout time.Duration) (siteheader.Response, int, error) {
	ctx, cancel := context.WithTimeout(l.extension.ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.peer.Address+healthCheckTarget, nil)
	if err != nil {
		return siteheader.Response{}, 0, err
	}
	request.Header.Set(healthCheckPoolField, l.name)
	response, err := l.client.Do(request)
	if err != nil {
		return siteheader.Response{}, 0, err
	}
	defer response.Body.Close()
	if _, err := io.CopyN(io.Discard, response.Body, httpmsg.MaxBufferedBodyBytes); !errors.Is(err, io.EOF) {
		return siteheader.Response{}, 0, fmt.Errorf("read body of health check response: %w", err)
	}
	r, err := siteheader.ParseResponse(response.Header.Values(siteheader.ResponseField), 0)
	if err == nil && r.Outcome == siteheader.Rejected && response.StatusCode != http.StatusServiceUnavailable {
		err = fmt.Errorf("peer rejected health check with unexpected status %s", response.Status)
	}
	return r, response.StatusCode, err
}
