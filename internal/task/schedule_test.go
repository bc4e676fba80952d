package task

import (
	"testing"
	"time"
)

// testSpec returns the configuration of a task with one slot per second.
func testSpec(e Idempotency, m MissedPolicy) Spec {
	return Spec{Name: "t", Interval: time.Second, Missed: m, Idempotency: e, DedupWindow: 10 * time.Second, DedupEverywhere: true, Deadline: 300 * time.Millisecond, MaxAttempts: 2}
}

// TestSlotOfDeadProcess checks that an open slot of another process is run again or abandoned, depending on its idempotency, on the known
// age of its idempotency key, and on whether all servers drop its repeats: the next request may go to any server.
func TestSlotOfDeadProcess(t *testing.T) {
	record := Record{Token: 1, Slot: 5, Open: true, BegunBy: 1, Attempts: 1}
	wall := time.Unix(6, 0)
	for name, c := range map[string]struct {
		idempotency Idempotency
		notBegunFor time.Duration
		everywhere  bool
		rerun       bool
	}{
		"idempotent":                   {Idempotent, -1, true, true},
		"idempotent, in a cell":        {Idempotent, -1, false, true},
		"not idempotent":               {NonIdempotent, time.Millisecond, true, false},
		"by key, recent":               {IdempotentByKey, 2 * time.Second, true, true},
		"by key, after its lifetime":   {IdempotentByKey, 9800 * time.Millisecond, true, false},
		"by key, of unknown age":       {IdempotentByKey, -1, true, false},
		"by key, within its lifetime":  {IdempotentByKey, 9699 * time.Millisecond, true, true},
		"by key, dropped in its cells": {IdempotentByKey, 2 * time.Second, false, false},
	} {
		s := testSpec(c.idempotency, MissedRunNewest)
		s.DedupEverywhere = c.everywhere
		step := s.Next(record, 2, wall, c.notBegunFor)
		if c.rerun != (step.Begin == 5 && step.Rerun) || c.rerun == (step.Abandon == 5) {
			t.Errorf("%s: %+v", name, step)
		}
	}
}

// TestMissed checks which slots are begun and skipped by each policy for missed slots.
func TestMissed(t *testing.T) {
	for name, c := range map[string]struct {
		missed  MissedPolicy
		record  Record
		wall    time.Time
		begin   int64
		skipped int64
	}{
		"skip, on time":    {MissedSkip, Record{Slot: 3}, time.Unix(9, 1e8), 9, 5},
		"skip, too late":   {MissedSkip, Record{Slot: 3}, time.Unix(9, 5e8), 0, 0},
		"once, too late":   {MissedRunNewest, Record{Slot: 3}, time.Unix(9, 5e8), 9, 5},
		"each":             {MissedRunEach, Record{Slot: 3}, time.Unix(9, 5e8), 4, 0},
		"each, far behind": {MissedRunEach, Record{Slot: 3}, time.Unix(1000, 0), 901, 897},
		"the first slot":   {MissedRunEach, Record{}, time.Unix(9, 5e8), 9, 0},
		"done":             {MissedRunEach, Record{Slot: 9}, time.Unix(9, 5e8), 0, 0},
		"clock behind":     {MissedRunEach, Record{Slot: 12}, time.Unix(9, 5e8), 0, 0},
		"triggered":        {MissedSkip, Record{Slot: 9, Triggered: true}, time.Unix(9, 9e8), 10, 0},
	} {
		s := testSpec(Idempotent, c.missed)
		step := s.Next(c.record, 1, c.wall, -1)
		if step.Begin != c.begin || step.Skipped != c.skipped {
			t.Errorf("%s: %+v", name, step)
		}
		if step.Begin == 0 && !step.WaitUntil.After(c.wall) {
			t.Errorf("%s: no slot to begin, and WaitUntil is not in the future: %+v", name, step)
		}
	}
}

// TestSpecValidate checks that Validate rejects each kind of invalid value.
func TestSpecValidate(t *testing.T) {
	for name, change := range map[string]func(*Spec){
		"no name": func(s *Spec) { s.Name = "" }, "interval below 1 ms": func(s *Spec) { s.Interval = 1 }, "no deadline": func(s *Spec) { s.Deadline = 0 },
		"spread beyond the interval": func(s *Spec) { s.Spread = 2 * time.Second }, "offset beyond a day": func(s *Spec) { s.Offset = 25 * time.Hour },
		"dedup window within the deadline": func(s *Spec) { s.Idempotency, s.DedupWindow = IdempotentByKey, s.Deadline },
	} {
		s := testSpec(Idempotent, MissedRunNewest)
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		if change(&s); s.Validate() == nil {
			t.Errorf("%s: Validate returned no error", name)
		}
	}
}
