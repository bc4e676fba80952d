package e2e

import (
	"context"
	"time"
)

func init() {
	Register(Scenario{
		Name: "lease-split", Duration: 20 * time.Second, Run: leaseSplit,
		Summary: "a consensus group of five is partitioned 2 to 3, then 1 to 2 to 2; the leader is isolated with one member that does not vote",
	})
}

// leaseSplit partitions the fleet into sides. A lease must be held on the side with a majority of the voters, and by no member if no side
// has one.
func leaseSplit(ctx context.Context, e *Env) error {
	f, err := e.startSweepFleet(ctx, 7, 5, "50ms")
	if err != nil {
		return err
	}
	from := time.Now()
	part := e.Duration / 4
	splits := []struct {
		what        string
		side        func(i int) int
		hasMajority bool // whether one of the sides has a majority of the voters
	}{
		{"2 to 3, clients with the majority", func(i int) int { return boolToInt(i >= 2) }, true},
		{"1 to 2 to 2", func(i int) int { return []int{0, 1, 1, 2, 2, 1, 2}[i] }, false},
		{"the leader with one client", func(i int) int { return boolToInt(i == f.consensusLeader() || i == 6) }, true},
		{"3 to 2, the holder with the minority", func(i int) int {
			holder := f.leaseHolder(sweepLease)
			return boolToInt(i == holder || i == (holder+1)%5)
		}, true},
	}
	for _, s := range splits {
		f.logEvent("partition %s", s.what)
		e.Phase("partition "+s.what, part)
		sides := make([]int, len(f.members))
		for i := range sides {
			sides[i] = s.side(i)
		}
		restore := f.partition(func(from, to int) bool { return sides[from] != sides[to] })
		at := time.Now()
		pause(ctx, max(part*3/4, maxTakeover)) // until then, the lease may still be free
		holder := f.leaseHolder(sweepLease)
		if s.hasMajority && holder < 0 {
			e.Fail("split %s: nobody holds %s after %v though a majority stands", s.what, sweepLease, time.Since(at).Round(time.Millisecond))
		}
		if !s.hasMajority && holder >= 0 {
			e.Fail("split %s: %s holds %s %v later, though no majority stands", s.what, f.members[holder].name, sweepLease, time.Since(at).Round(time.Millisecond))
		}
		restore()
		if err := f.repairAndAwaitLease(ctx, sweepLease); err != nil {
			return err
		}
		pause(ctx, part/4)
	}
	f.measureFencing(sweepIdempotency, from, time.Now())
	f.drainAll()
	return nil
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
