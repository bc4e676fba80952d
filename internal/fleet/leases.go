package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"sorrelrudder/internal/consensus"
)

const (
	// With more than manyLeases leases, changes are logged at most once per leaseLogInterval, since each check visits all leases.
	manyLeases       = 256
	leaseLogInterval = 200 * time.Millisecond
)

// HeldLease reports whether this process may act on a lease now. It returns the fencing token and the time until this right ends unless
// the lease is renewed.
func (h *Host) HeldLease(name string) (token uint64, left time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	token, until, ok := h.session.Token(now, name)
	return token, h.clock.Real(until - now), ok
}

// ErrLeaseNotHeld is returned for a lease that this process may not act on now.
var ErrLeaseNotHeld = errors.New("the lease is not held by this process")

// AcquireLease requests a lease that at most limit members may hold at once. This process waits for the lease while others hold it, and
// renews it until ReleaseLease.
func (h *Host) AcquireLease(name string, limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session.Acquire(name, limit)
	h.runDue()
}

// ReleaseLease releases a lease. The next holder is the member named to or, if to is empty, the first that waits for the lease. All work
// under the lease must have ended before the call.
func (h *Host) ReleaseLease(name, to string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session.Release(name, to)
	h.runDue()
}

// GuardLease returns a context that is canceled at about the time when this process's right to act on the lease ends, and the fencing token
// to act with. After a suspension of the machine, the context is canceled up to a client's TTL late. The error wraps ErrLeaseNotHeld. A
// resource that checks fencing tokens is safe against requests that arrive after the end of the lease. A resource that does not check them
// is not safe against a request that was sent in time and arrives late.
func (h *Host) GuardLease(ctx context.Context, name string) (context.Context, context.CancelFunc, uint64, error) {
	token, left, ok := h.HeldLease(name)
	if !ok {
		return nil, nil, 0, fmt.Errorf("lease %q: %w", name, ErrLeaseNotHeld)
	}
	ctx, cancel := context.WithCancel(ctx)
	var schedule func(d time.Duration)
	schedule = func(d time.Duration) {
		timer := time.AfterFunc(d, func() {
			if current, left, ok := h.HeldLease(name); ok && current == token {
				schedule(left)
				return
			}
			cancel()
		})
		context.AfterFunc(ctx, func() { timer.Stop() })
	}
	schedule(left)
	return ctx, cancel, token, nil
}

// logLeaseChanges logs the leases that this process has acquired or lost since the last call. The caller must hold mu.
func (h *Host) logLeaseChanges(now time.Duration) {
	n, lapsed := h.session.Revision(), now >= h.session.ValidUntil()
	if n == h.loggedRevision && lapsed == h.loggedLapsed || len(h.loggedLeases) > manyLeases && now < h.leasesLoggedAt+leaseLogInterval {
		return
	}
	h.loggedRevision, h.loggedLapsed, h.leasesLoggedAt = n, lapsed, now
	held := h.heldTokens(now)
	h.logLeases("lease lost", h.loggedLeases, held)
	h.logLeases("lease held", held, h.loggedLeases)
	h.loggedLeases = held
}

// handleSuperseded ends the participation of this process once another process has taken over its name. The caller must hold mu.
func (h *Host) handleSuperseded(now time.Duration) {
	if !h.session.Superseded() || h.leaving {
		return
	}
	h.leaving = true
	if h.shared != nil {
		h.sendGossip(h.shared.node.Leave(now))
	}
	h.log.Error("superseded by another process of the same name: this process no longer holds leases or runs tasks; give each process its own name, and restart this one", "name", h.cfg.Name)
}

// renewLeases sends the due requests of the lease session to the leader, and returns when it must be called again. The caller must hold mu.
func (h *Host) renewLeases(now time.Duration) time.Duration {
	requests, at := h.session.Next(now)
	for _, r := range requests {
		h.submit(&pendingRequest{request: consensus.Request{Lease: &r}, onResponse: func(r consensus.Response) {
			h.noteDecisionDigest(now, r.Digest)
			if r.Lease != nil {
				h.session.HandleResponse(*r.Lease)
			}
		}})
	}
	return at
}

// heldTokens returns the fencing tokens of the leases that this process may act on, by name. The caller must hold mu.
func (h *Host) heldTokens(now time.Duration) map[string]uint64 {
	tokens := map[string]uint64{}
	for _, name := range h.session.Held(now) {
		if token, _, ok := h.session.Token(now, name); ok {
			tokens[name] = token
		}
	}
	return tokens
}

// logLeases logs message for each lease whose token in leases differs from its token in others.
func (h *Host) logLeases(message string, leases, others map[string]uint64) {
	for _, name := range slices.Sorted(maps.Keys(leases)) {
		if others[name] != leases[name] {
			h.log.Info(message, "name", name, "token", leases[name])
		}
	}
}

// taskLeaseName returns the name of the lease whose holder runs a task.
func taskLeaseName(task string) string { return "task/" + task }

// handoverRequest asks the holder of a lease to transfer the lease to a member.
type handoverRequest struct {
	Name string `json:"name"`
	To   string `json:"to"`
}

// startHandover begins the handover of a lease to a member: the task of the lease starts no further slot, and the lease is transferred once
// the task has no request in flight. This process then waits for the lease again, behind all other waiting members.
func (h *Host) startHandover(request handoverRequest) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch _, _, held := h.session.Token(h.clock.Now(), request.Name); {
	case !held:
		return fmt.Errorf("%q is not held by %q", request.Name, h.cfg.Name)
	case request.To == h.cfg.Name, h.cfg.Members[request.To] == "":
		return fmt.Errorf("%q is no other member of the fleet", request.To)
	case h.leaving:
		return errors.New("the process is about to end")
	}
	h.handovers[request.Name] = request.To
	h.runDue()
	return nil
}

// finishHandovers transfers each lease with a pending handover whose task has no request in flight. The caller must hold mu.
func (h *Host) finishHandovers() {
	for name, to := range h.handovers {
		if r := h.runnerForLease(name); r != nil && r.core.Busy() {
			continue
		}
		delete(h.handovers, name)
		h.log.Info("lease handover started", "name", name, "to", to)
		h.session.Transfer(name, to)
	}
}

// runnerForLease returns the runner of the task that a lease belongs to, nil if the lease belongs to no task. The caller must hold mu.
func (h *Host) runnerForLease(lease string) *taskRunner {
	for _, r := range h.runners {
		if taskLeaseName(r.cfg.Name) == lease {
			return r
		}
	}
	return nil
}
