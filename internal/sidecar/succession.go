package sidecar

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/process"
)

const (
	// siblingPollInterval is how often a process looks whether another one has come to take its place, or has ended, and leaves it what
	// it has learnt.
	siblingPollInterval = 200 * time.Millisecond
	// firstListTimeout is how long a process that takes another's place waits for discovery's list before it takes clients with the
	// list that it was given: until then the other one serves them.
	firstListTimeout = 2 * time.Second
	// firstListPollInterval is how often it looks.
	firstListPollInterval = 5 * time.Millisecond
	// heapFraction is the part of the memory that the runtime may use: the rest is for stacks, code and the kernel.
	heapFraction = 0.75
)

// processCount is how many processes the sidecar's limits are for.
func (c *Config) processCount() int { return 1 + c.siblings }

// start makes the sidecar take clients. Where the platform holds the listening socket another process may be serving them: both
// count as one sidecar, and so each takes its part of the limits from the first moment on.
func (s *Sidecar) start(ctx context.Context) error {
	s.limitHeap()
	if s.cfg.SharedDir == "" {
		return s.Listen()
	}
	company, err := process.JoinSiblingGroup(s.cfg.SharedDir)
	if err != nil { // it can serve all the same, and the other one cannot know of it either
		s.log.Warn("the processes of this sidecar do not know of each other", "err", err)
		return s.Listen()
	}
	s.updateLimits(company)
	if s.processCount() > 1 {
		s.log.Info("takes the place of another process")
		if err := s.StartAdmin(); err != nil {
			company.Leave()
			return err
		}
		s.RefreshEndpoints()
		s.awaitFirstList(ctx)
		s.readLearnedState()
	}
	go s.followSiblings(ctx, company)
	return s.Listen()
}

// awaitFirstList returns once discovery has told the list, or it has had its time.
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

// followSiblings keeps to this process's part of the limits until ctx ends, and a little longer: what it still holds then counts too.
func (s *Sidecar) followSiblings(ctx context.Context, company *process.SiblingGroup) {
	defer company.Leave()
	tick := time.NewTicker(siblingPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.updateLimits(company)
			s.writeLearnedState()
		case <-ctx.Done():
			<-s.Done()
			return
		}
	}
}

// learnedStateFile is what each process leaves for the one that takes its place.
const learnedStateFile = "sorrelrudder-learnt.json"

// maxLearnedStateAge is how old it may be.
const maxLearnedStateAge = 5 * time.Second

// writeLearnedState writes down what has been learnt. It replaces the file whole, so that nobody reads a part of it.
func (s *Sidecar) writeLearnedState() {
	path := filepath.Join(s.cfg.SharedDir, learnedStateFile)
	text, err := json.Marshal(s.ExportLearnedState())
	if err == nil {
		if err = os.WriteFile(path+".new", text, 0o600); err == nil {
			err = os.Rename(path+".new", path)
		}
	}
	if err != nil {
		s.log.Warn("cannot leave what has been learnt", "err", err)
	}
}

// readLearnedState takes over what the other process has learnt, if it has left that lately.
func (s *Sidecar) readLearnedState() {
	path := filepath.Join(s.cfg.SharedDir, learnedStateFile)
	info, err := os.Stat(path)
	if err != nil || time.Since(info.ModTime()) > maxLearnedStateAge {
		return
	}
	text, err := os.ReadFile(path)
	var l gateway.LearnedState
	if err == nil {
		err = json.Unmarshal(text, &l)
	}
	if err != nil {
		s.log.Warn("cannot use what the other process has learnt", "err", err)
		return
	}
	s.ImportLearnedState(l)
}

// updateLimits takes over this process's part of the limits, if that has changed.
func (s *Sidecar) updateLimits(company *process.SiblingGroup) {
	others, err := company.Others()
	if err != nil {
		s.log.Warn("cannot tell whether there is another process", "err", err)
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
		s.log.Warn("limits stay as they were", "err", err)
		return
	}
	s.log.Info("shares its limits", "processes", next.processCount())
	s.cfg = next
	s.limitHeap()
}

// processCount is how many share the limits now.
func (s *Sidecar) processCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.processCount()
}

// limitHeap guards against being killed for memory.
func (s *Sidecar) limitHeap() {
	debug.SetMemoryLimit(int64(heapFraction * float64(s.cfg.MemoryMB<<20/s.cfg.processCount())))
}
