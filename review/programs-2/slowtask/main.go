//go:build review

// Command slowtask ends the process that runs a slot of a task by SIGTERM, and checks that no other process acts on the task's lease while
// the request of the slot is still out.
package main

import (
	"syscall"
	"time"

	"sorrelrudder/review/programs-2/stage"
)

const (
	lease = "task/stocktake"
)

func main() {
	s := stage.New()
	server := s.StartServer(6 * time.Second)
	f := s.NewFleet(stage.FleetConfig{
		Servers: []string{server.Address},
		Classes: "[[pools.farm.classes]]\nname = \"stocktake\"\neffect = \"unsafe\"\naim = \"15s\"\ndeadline = \"20s\"\n",
		Tier:    "term = \"12s\"\n",
		Tasks:   "[[tasks]]\nname = \"stocktake\"\npool = \"farm\"\npath = \"/stocktake/all\"\nevery = \"2s\"\ndeadline = \"8s\"\n",
	})
	f.Start()
	s.WaitFor("a first slot has ended", 40*time.Second, func() bool {
		runs := server.Runs()
		return len(runs) > 0 && !runs[0].End.IsZero()
	})
	moveFromLeader(s, f)
	before := len(server.Runs())
	s.WaitFor("a further slot begins", 20*time.Second, func() bool { return len(server.Runs()) > before })
	time.Sleep(500 * time.Millisecond)
	holder := f.Holder(lease)
	if holder < 0 {
		s.NotRun("no holder of %s:\n%s", lease, f.Leases(0))
	}
	if s.Trouble {
		f.Procs[holder].Signal(syscall.SIGTERM)
		s.Log("SIGTERM to %s, which holds %s and has the request out", f.Names[holder], lease)
	}
	time.Sleep(16 * time.Second)
	if at, status, ended := f.Procs[holder].Ended(); ended {
		s.Log("%s has ended with status %d, %.1f s ago", f.Names[holder], status, time.Since(at).Seconds())
	}
	if server.Overlap() {
		s.End(stage.Broken)
	}
	s.End(stage.Held)
}

// moveFromLeader hands the lease over if the leader of the consensus group holds it, so that the end of its holder is no election as well.
func moveFromLeader(s *stage.Stage, f *stage.Fleet) {
	leader, holder := f.Leader(), f.Holder(lease)
	if leader < 0 || holder != leader {
		return
	}
	to := (leader + 1) % len(f.Names)
	text, ok := s.Run(stage.Program, "tier", "lease", "handover", lease, f.Names[to], f.Addresses[holder], "--secret", f.Secret)
	s.Log("%s (%t)", text, ok)
	s.WaitFor("the lease is handed over", 30*time.Second, func() bool {
		time.Sleep(200 * time.Millisecond)
		return f.Holder(lease) == to
	})
}
