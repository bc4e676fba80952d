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
	// lookEvery is how often a process looks whether another one has come to take its place, or has ended, and leaves it what
	// it has learnt.
	lookEvery = 200 * time.Millisecond
	// firstList is how long a process that takes another's place waits for discovery's list before it takes clients with the
	// list that it was given: until then the other one serves them.
	firstList = 2 * time.Second
	// readyLook is how often it looks.
	readyLook = 5 * time.Millisecond
	// heapShare is the part of the memory that the runtime may use: the rest is for stacks, code and the kernel.
	heapShare = 0.75
)

// processes is how many processes the sidecar's limits are for.
func (c *Config) processes() int { return 1 + c.beside }

// open makes the sidecar take clients. Where the platform holds the listening socket another process may be serving them: both
// count as one sidecar, and so each takes its part of the limits from the first moment on.
func (s *Sidecar) open(ctx context.Context) error {
	s.limitHeap()
	if s.cfg.Shared == "" {
		return s.Listen()
	}
	company, err := process.JoinCompany(s.cfg.Shared)
	if err != nil { // it can serve all the same, and the other one cannot know of it either
		s.log.Warn("the processes of this sidecar do not know of each other", "err", err)
		return s.Listen()
	}
	s.share(company)
	if s.processes() > 1 {
		s.log.Info("takes the place of another process")
		if err := s.OpenDoor(); err != nil {
			company.Leave()
			return err
		}
		s.Hurry()
		s.awaitList(ctx)
		s.adopt()
	}
	go s.follow(ctx, company)
	return s.Listen()
}

// awaitList returns once discovery has told the list, or it has had its time.
func (s *Sidecar) awaitList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstList)
	defer cancel()
	tick := time.NewTicker(readyLook)
	defer tick.Stop()
	for !s.Told() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// follow keeps to this process's part of the limits until ctx ends, and a little longer: what it still holds then counts too.
func (s *Sidecar) follow(ctx context.Context, company *process.Company) {
	defer company.Leave()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.share(company)
			s.leaveLearnt()
		case <-ctx.Done():
			<-s.Ended()
			return
		}
	}
}

// learntFile is what each process leaves for the one that takes its place.
const learntFile = "sorrelrudder-learnt.json"

// mostLearntAge is how old it may be.
const mostLearntAge = 5 * time.Second

// leaveLearnt writes down what has been learnt. It replaces the file whole, so that nobody reads a part of it.
func (s *Sidecar) leaveLearnt() {
	path := filepath.Join(s.cfg.Shared, learntFile)
	text, err := json.Marshal(s.Learnt())
	if err == nil {
		if err = os.WriteFile(path+".new", text, 0o600); err == nil {
			err = os.Rename(path+".new", path)
		}
	}
	if err != nil {
		s.log.Warn("cannot leave what has been learnt", "err", err)
	}
}

// adopt takes over what the other process has learnt, if it has left that lately.
func (s *Sidecar) adopt() {
	path := filepath.Join(s.cfg.Shared, learntFile)
	info, err := os.Stat(path)
	if err != nil || time.Since(info.ModTime()) > mostLearntAge {
		return
	}
	text, err := os.ReadFile(path)
	var l gateway.Learnt
	if err == nil {
		err = json.Unmarshal(text, &l)
	}
	if err != nil {
		s.log.Warn("cannot use what the other process has learnt", "err", err)
		return
	}
	s.Adopt(l)
}

// share takes over this process's part of the limits, if that has changed.
func (s *Sidecar) share(company *process.Company) {
	others, err := company.Others()
	if err != nil {
		s.log.Warn("cannot tell whether there is another process", "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if others == s.cfg.beside {
		return
	}
	next := s.cfg
	next.beside = others
	if err := s.Apply(next.gatewayConfig()); err != nil {
		s.log.Warn("limits stay as they were", "err", err)
		return
	}
	s.log.Info("shares its limits", "processes", next.processes())
	s.cfg = next
	s.limitHeap()
}

// processes is how many share the limits now.
func (s *Sidecar) processes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.processes()
}

// limitHeap guards against being killed for memory.
func (s *Sidecar) limitHeap() {
	debug.SetMemoryLimit(int64(heapShare * float64(s.cfg.MemoryMB<<20/s.cfg.processes())))
}
