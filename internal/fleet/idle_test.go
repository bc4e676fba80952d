package fleet

import (
	"syscall"
	"testing"
	"time"

	"sorrelrudder/internal/gossip"
)

// BenchmarkRest tells what processor time a process of three takes at rest, at the usual times, and how often it is woken.
func BenchmarkRest(b *testing.B) {
	for _, sharing := range []bool{false, true} {
		b.Run(map[bool]string{false: "leases", true: "leases and copies"}[sharing], func(b *testing.B) {
			cfgs := fleet(b, 3)
			var all []*Host
			for i := range cfgs {
				cfgs[i].LeaseTiming.TTL, cfgs[i].Tick = 3*time.Second, 100*time.Millisecond
				if sharing {
					u := gossip.DefaultConfig()
					cfgs[i].SharedState = &SharedStateConfig{GossipInterval: u.GossipInterval, PingInterval: u.PingInterval, SyncInterval: u.SyncInterval, DeadRetention: u.DeadRetention, Fanout: u.Fanout, CatchUpBudget: u.CatchUpBudget, ReporterQuorum: 2}
				}
				all = append(all, start(b, cfgs[i], &servers{}))
			}
			defer func() {
				for _, t := range all {
					t.Close()
				}
			}()
			for _, t := range all {
				t.AcquireLease("one", 1)
			}
			for _, t := range all {
				eventually(b, "all have sessions", func() bool {
					t.mu.Lock()
					defer t.mu.Unlock()
					return t.session.SessionID() != 0
				})
			}
			used := func() (time.Duration, int64) {
				var u syscall.Rusage
				if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
					b.Fatal(err)
				}
				return time.Duration(u.Utime.Nano() + u.Stime.Nano()), u.Nvcsw
			}
			for range b.N {
				const window = 5 * time.Second
				time.Sleep(time.Second)
				before, woken := used()
				time.Sleep(window)
				after, woken2 := used()
				b.ReportMetric((after-before).Seconds()/window.Seconds()/3*1000, "ms/s/process")
				b.ReportMetric(float64(woken2-woken)/window.Seconds()/3, "switches/s/process")
			}
		})
	}
}
