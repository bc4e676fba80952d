package sidecar

import (
	"context"
	"runtime/debug"
	"time"

	"sorrelrudder/internal/process"
)

const (
	// siblingPollInterval is how often a process looks whether another one has come to take its place, or has ended, and stores what it
	// has learned.
	siblingPollInterval = 200 * time.Millisecond
	// firstListTimeout is how long a process that takes another's place waits for an endpoint list before it takes clients with the
	// cached one: until then the other one serves them.
	firstListTimeout = 2 * time.Second
	// firstListPollInterval is how often it looks.
	firstListPollInterval = 5 * time.Millisecond
	// heapFraction is the part of the memory that the runtime may use: the rest is for stacks, code and the kernel.
	heapFraction = 0.75
)

// start has the sidecar take clients. Where the platform holds the listening socket a sibling process may be serving them: both count as
// one sidecar, and each takes its part of the limits from the first moment on.
func (s *Sidecar) start(ctx context.Context) error {
	s.limitHeap()
	if s.cfg.SharedDir == "" {
		return s.Listen()
	}
	siblings, err := process.JoinSiblingGroup(s.cfg.SharedDir)
	if err != nil { // it can serve all the same, and the other one cannot know of it either
		s.log.Warn("joining sibling processes failed", "err", err)
		return s.Listen()
	}
	s.updateLimits(siblings)
	if s.processCount() > 1 {
		if err := s.takeOver(ctx); err != nil {
			siblings.Leave()
			return err
		}
	}
	go s.followSiblings(ctx, siblings)
	return s.Listen()
}

// takeOver prepares this process for the clients of a sibling, whose place it takes.
func (s *Sidecar) takeOver(ctx context.Context) error {
	s.log.Info("taking over from a sibling process")
	if err := s.StartAdmin(); err != nil {
		return err
	}
	s.RefreshEndpoints()
	s.awaitFirstList(ctx)
	s.readLearnedState()
	return nil
}

// awaitFirstList returns once discovery has sent a list, or firstListTimeout has passed.
func (s *Sidecar) awaitFirstList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstListTimeout)
	defer cancel()
	tick := time.NewTicker(firstListPollInterval)
	defer tick.Stop()
	for !s.EndpointsKnown() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// followSiblings keeps to this process's part of the limits and stores what it has learned, until ctx ends and the gateway has: what that
// still holds counts too.
func (s *Sidecar) followSiblings(ctx context.Context, siblings *process.SiblingGroup) {
	defer siblings.Leave()
	tick := time.NewTicker(siblingPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.updateLimits(siblings)
			s.writeLearnedState()
		case <-ctx.Done():
			<-s.Done()
			return
		}
	}
}

// updateLimits takes this process's part of the limits, if that has changed.
func (s *Sidecar) updateLimits(siblings *process.SiblingGroup) {
	others, err := siblings.Others()
	if err != nil {
		s.log.Warn("counting sibling processes failed", "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if others == s.cfg.siblings {
		return
	}
	next := s.cfg
	next.siblings = others
	if err := s.Apply(next.gatewayConfig()); err != nil {
		s.log.Warn("changing limits failed", "err", err)
		return
	}
	s.log.Info("limits shared by sibling processes", "processes", next.processCount())
	s.cfg = next
	s.limitHeap()
}

// processCount returns how many processes share the limits now.
func (s *Sidecar) processCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.processCount()
}

// limitHeap guards against being killed for memory. The caller holds mu, or is start.
func (s *Sidecar) limitHeap() {
	part := s.cfg.MemoryMB << 20 / s.cfg.processCount()
	debug.SetMemoryLimit(int64(heapFraction * float64(part)))
}
