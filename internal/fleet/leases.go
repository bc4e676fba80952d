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
	// With more leases than manyLeases, changes are looked for once in leaseLogInterval at most: each look visits all of them.
	manyLeases       = 256
	leaseLogInterval = 200 * time.Millisecond
)

// HeldLease reports whether this process may act on a lease now, its fencing token, and for how long at most.
func (h *Host) HeldLease(name string) (token uint64, left time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	token, until, ok := h.session.Token(now, name)
	return token, h.clock.Real(until - now), ok
}

// ErrLeaseNotHeld is returned for a lease that this process may not act on now.
var ErrLeaseNotHeld = errors.New("the lease is not held by this process")

// AcquireLease has this process acquire a lease, which limit members may hold at once, or wait for it, until ReleaseLease.
func (h *Host) AcquireLease(name string, limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session.Acquire(name, limit)
	h.runDue()
}

// ReleaseLease releases a lease, to the member named to or, if that is empty, to the next that waits. Work under the lease must have ended.
func (h *Host) ReleaseLease(name, to string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session.Release(name, to)
	h.runDue()
}

// GuardLease returns a context that is canceled about when this process' right to act on the lease ends, and the fencing token to act with; after
// a suspension of the machine it is canceled up to a client's TTL late. The error is ErrLeaseNotHeld. A resource that checks fencing tokens is safe against what arrives after that; for one that does not, a
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

// logLeaseChanges logs the leases that this process has got or lost since the last call. The caller has mu.
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
}

// handleSuperseded ends this process' work once another process has taken over its name. The caller has mu.
func (h *Host) handleSuperseded(now time.Duration) {
	if !h.session.Superseded() || h.leaving {
		return
	}
	h.leaving = true
	if h.shared != nil {
		h.sendGossip(h.shared.node.Leave(now))
	}
	h.log.Error("another process has this one's name: this one holds no lease and does no task any more", "name", h.cfg.Name)
}

// renewLeases sends what the session has to ask of the leader, and returns when it is due again. The caller has mu.
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

// taskLeaseName is the name of the lease whose holder does a task.
func taskLeaseName(task string) string { return "task/" + task }

// handoverRequest asks the holder of a lease to hand it over to a member.
type handoverRequest struct {
	Name string `json:"name"`
	To   string `json:"to"`
}

// startHandover begins to hand a lease over to a member: its task starts no further slot, and once nothing of it is in flight the lease is
// transferred. This process then waits for it again, behind all others.
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
		h.log.Info("lease handover requested", "name", name, "to", to)
		h.session.Transfer(name, to)
	}
}

// runnerForLease returns the runner of the task that a lease is for, nil if it is for none. The caller has mu.
func (h *Host) runnerForLease(lease string) *taskRunner {
	for _, r := range h.runners {
		if taskLeaseName(r.cfg.Name) == lease {
			return r
		}
	}
	return nil
}
