package e2e

import (
	"context"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "lease-split", Duration: 20 * time.Second, Run: leaseSplit,
		Summary: "the council of five is split 2 to 3, then 1 to 2 to 2; the leader is cut off from all but a client",
	})
}

func leaseSplit(ctx context.Context, e *Env) error {
	f, err := e.startFleet(ctx, fleetConfig{processes: 7, voters: 5, tasks: taskTOML("sweep", "/delivery-order/sweep", "50ms", "")})
	if err != nil {
		return err
	}
	const lease = "task/sweep"
	if err := f.settle(ctx, lease); err != nil {
		return err
	}
	from := time.Now()
	cut, join := func(w *fake.FrameFaults) { w.Partitioned = true }, func(w *fake.FrameFaults) { w.Partitioned = false }
	part := e.Duration / 4
	splits := []struct {
		what string
		side func(i int) int
		most bool // one side has a majority
	}{
		{"2 to 3, clients with the majority", func(i int) int { return boolToInt(i >= 2) }, true},
		{"1 to 2 to 2", func(i int) int { return []int{0, 1, 1, 2, 2, 1, 2}[i] }, false},
		{"the leader with one client", func(i int) int { return boolToInt(i == f.consensusLeader() || i == 6) }, true},
		{"3 to 2, the holder with the minority", func(i int) int { return boolToInt(i == f.leaseHolder(lease) || i == (f.leaseHolder(lease)+1)%5) }, true},
	}
	for _, s := range splits {
		f.logEvent("split %s", s.what)
		e.Phase("split "+s.what, part)
		sides := make([]int, len(f.members))
		for i := range sides {
			sides[i] = s.side(i)
		}
		restore := f.configureProxies(func(a, b int) bool { return sides[a] != sides[b] }, cut, join)
		at := time.Now()
		pause(ctx, max(part*3/4, maxTakeover)) // before, nobody need have it
		held := f.leaseHolder(lease)
		if s.most && held < 0 {
			e.Fail("split %s: nobody holds %s after %v though a majority stands", s.what, lease, time.Since(at).Round(time.Millisecond))
		}
		if !s.most && held >= 0 {
			e.Fail("split %s: %s holds %s %v later, though no majority stands", s.what, f.members[held].name, lease, time.Since(at).Round(time.Millisecond))
		}
		restore()
		if err := f.settle(ctx, lease); err != nil {
			return err
		}
		pause(ctx, part/4)
	}
	f.measureFencing(map[string]fake.Idempotency{"sweep": fake.IdempotentByKey}, from, time.Now())
	f.drainAll()
	return nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
