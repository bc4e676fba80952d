package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// With more leases than manyLeases, changes are looked for once in leaseLogInterval at most: each look visits all of them.
	manyLeases       = 256
	leaseLogInterval = 200 * time.Millisecond
)

// HeldLease says whether this process may act on a lease now, with which fencing token, and for how long at most.
func (h *Host) HeldLease(name string) (token uint64, left time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	token, until, ok := h.session.Token(now, name)
	return token, h.clock.Real(until - now), ok
}

// ErrLeaseNotHeld is returned for a lease that this process may not act on now.
var ErrLeaseNotHeld = errors.New("the lease is not held by this process")

// AcquireLease has this process hold a lease, of which limit may be held at once over the fleet, or wait for it.
func (h *Host) AcquireLease(name string, limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session.Acquire(name, limit)
	h.runDue()
}

// ReleaseLease gives a lease up, to a member or, with an empty name, to whoever waits. What is done under it must have ended.
func (h *Host) ReleaseLease(name, to string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session.Release(name, to)
	h.runDue()
}

// GuardLease returns a context that is canceled before this process' right to act on the lease ends, and the fencing token to act with.
// The error is ErrLeaseNotHeld. A resource that checks fencing tokens is safe against what arrives after that; for one that does not, a
// request that was sent in time and arrives late is not.
func (h *Host) GuardLease(ctx context.Context, name string) (context.Context, context.CancelFunc, uint64, error) {
	token, left, ok := h.HeldLease(name)
	if !ok {
		return nil, nil, 0, fmt.Errorf("lease %q: %w", name, ErrLeaseNotHeld)
	}
	ctx, cancel := context.WithCancel(ctx)
	var again func(d time.Duration)
	again = func(d time.Duration) {
		timer := time.AfterFunc(d, func() {
			if now, left, ok := h.HeldLease(name); ok && now == token {
				again(left)
				return
			}
			cancel()
		})
		context.AfterFunc(ctx, func() { timer.Stop() })
	}
	again(left)
	return ctx, cancel, token, nil
}

// logLeaseChanges logs what has changed of what this process holds. The caller has mu.
func (h *Host) logLeaseChanges(now time.Duration) {
	n, lapsed := h.session.Revision(), now >= h.session.ValidUntil()
	if n == h.loggedChanges && lapsed == h.loggedLapsed || len(h.loggedLeases) > manyLeases && now < h.leasesLoggedAt+leaseLogInterval {
		return
	}
	h.loggedChanges, h.loggedLapsed, h.leasesLoggedAt = n, lapsed, now
	held := h.heldTokens(now)
	h.logLeases("lease lost", h.loggedLeases, held)
	h.logLeases("lease held", held, h.loggedLeases)
	h.loggedLeases = held
	if h.session.Superseded() && !h.leaving {
		h.leaving = true
		if h.shared != nil {
			h.sendGossip(h.shared.node.Leave(now))
		}
		h.log.Error("another process has this one's name: this one holds no lease and does no task any more", "name", h.cfg.Name)
	}
}

// heldTokens returns the fencing tokens of the leases that this process may act on, by name. The caller has mu.
func (h *Host) heldTokens(now time.Duration) map[string]uint64 {
	tokens := map[string]uint64{}
	for _, name := range h.session.Held(now) {
		if token, _, ok := h.session.Token(now, name); ok {
			tokens[name] = token
		}
	}
	return tokens
}

// logLeases logs message for each lease whose token in leases is not the one in others.
func (h *Host) logLeases(message string, leases, others map[string]uint64) {
	for _, name := range slices.Sorted(maps.Keys(leases)) {
		if others[name] != leases[name] {
			h.log.Info(message, "name", name, "token", leases[name])
		}
	}
}

// taskLeaseName is the lease whose holder does a task.
func taskLeaseName(task string) string { return "task/" + task }

// handoverRequest is a lease that is to go to a member.
type handoverRequest struct {
	Name string `json:"name"`
	To   string `json:"to"`
}

// startHandover begins to give a lease to a member: its task begins no further slot, and once what is out has ended the lease goes. This
// process waits for it again then, behind all others.
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

// finishHandovers transfers the leases that are to be handed over and whose tasks have no request in flight. The caller has mu.
func (h *Host) finishHandovers() {
	for name, to := range h.handovers {
		if r := h.runnerForLease(name); r != nil && r.core.Busy() {
			continue
		}
		delete(h.handovers, name)
		h.log.Info("lease handed over", "name", name, "to", to)
		h.session.Transfer(name, to)
	}
}

// runnerForLease is the runner of the task that a lease is for, nil if it is for none. The caller has mu.
func (h *Host) runnerForLease(lease string) *taskRunner {
	for _, r := range h.runners {
		if taskLeaseName(r.cfg.Name) == lease {
			return r
		}
	}
	return nil
}
