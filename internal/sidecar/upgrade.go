package sidecar

import (
	"context"
	"runtime/debug"
	"time"

	"sorrelrudder/internal/process"
)

const (
	// siblingPollInterval is how often a process checks whether sibling processes have started or ended, and stores its learned state.
	siblingPollInterval = 200 * time.Millisecond
	// firstListTimeout is how long a successor process waits for an endpoint list before it accepts clients with the cached list. Until
	// then its predecessor serves them.
	firstListTimeout = 2 * time.Second
	// firstListPollInterval is how often the successor checks for that list.
	firstListPollInterval = 5 * time.Millisecond
	// siblingPublishTimeout is how long a successor waits for its predecessor to publish the ids of its requests: the predecessor looks for
	// siblings every siblingPollInterval, and one of an older version never publishes.
	siblingPublishTimeout = 3 * siblingPollInterval
	// heapFraction is the fraction of the memory limit that the Go runtime may use. The rest is for stacks, code and the kernel.
	heapFraction = 0.75
)

// start begins to accept clients. If the platform holds the listening socket, a sibling process may be serving on it. Both processes
// count as one sidecar, so each uses only its share of the limits from the start.
func (s *Sidecar) start(ctx context.Context) error {
	s.limitHeap()
	if s.cfg.SharedDir == "" {
		return s.Listen()
	}
	siblings, err := process.JoinSiblingGroup(s.cfg.SharedDir)
	if err != nil { // this process serves with the whole limits; a sibling process cannot detect it either
		s.log.Warn("joining sibling processes failed", "err", err)
		return s.Listen()
	}
	s.updateLimits(siblings)
	if s.processCount() > 1 {
		if err := s.takeOver(ctx, siblings); err != nil {
			siblings.Leave()
			return err
		}
	}
	go s.followSiblings(ctx, siblings)
	return s.Listen()
}

// takeOver prepares this process to serve the clients of the sibling process that it replaces: it fetches an endpoint list and imports the
// sibling's learned state.
func (s *Sidecar) takeOver(ctx context.Context, siblings *process.SiblingGroup) error {
	s.log.Info("taking over from a sibling process")
	joined := time.Now()
	if err := s.StartAdmin(); err != nil {
		return err
	}
	s.RefreshEndpoints()
	s.awaitFirstList(ctx)
	s.readLearnedState()
	s.awaitSiblingIDs(ctx, siblings, joined.Add(siblingPublishTimeout))
	return nil
}

// awaitSiblingIDs returns once the ids of the sibling's requests are known, at the latest at the given time.
func (s *Sidecar) awaitSiblingIDs(ctx context.Context, siblings *process.SiblingGroup, until time.Time) {
	for !siblings.AllPublish() && time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(firstListPollInterval)
	}
	if !siblings.AllPublish() {
		s.log.Warn("the sibling process tells no request ids")
	}
	s.ShareRequestIDs(siblings) // reads what has been published
}

// awaitFirstList returns once discovery has sent a list, firstListTimeout has passed or ctx is done.
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

// followSiblings adjusts this process's share of the limits and stores its learned state until ctx is done. It leaves the group only once
// the gateway has ended, because descriptors and memory that it still holds count towards the limits.
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

// updateLimits applies this process's share of the limits if the number of sibling processes has changed.
func (s *Sidecar) updateLimits(siblings *process.SiblingGroup) {
	others, err := siblings.Others()
	if err != nil {
		s.log.Warn("counting sibling processes failed", "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shareRequestIDs(siblings, others)
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

// shareRequestIDs exchanges the ids of requests with the sibling processes while there are any.
func (s *Sidecar) shareRequestIDs(siblings *process.SiblingGroup, others int) {
	if others > 0 {
		s.ShareRequestIDs(siblings)
		return
	}
	s.ShareRequestIDs(nil)
	siblings.Forget()
}

// processCount returns the number of processes that share the limits now, this one included.
func (s *Sidecar) processCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.processCount()
}

// limitHeap sets the memory limit of the Go runtime, so that the platform does not kill the process for its memory. The caller holds mu,
// or is start.
func (s *Sidecar) limitHeap() {
	part := s.cfg.MemoryMB << 20 / s.cfg.processCount()
	debug.SetMemoryLimit(int64(heapFraction * float64(part)))
}
