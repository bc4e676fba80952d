package fleet

import (
	"syscall"
	"testing"
	"time"

	"sorrelrudder/internal/gossip"
)

// BenchmarkRest measures the processor time and the context switches of a process in a fleet of three at rest, with the default intervals.
func BenchmarkRest(b *testing.B) {
	for _, sharing := range []bool{false, true} {
		b.Run(map[bool]string{false: "leases", true: "leases and shared state"}[sharing], func(b *testing.B) {
			cfgs := newFleetConfigs(b, 3)
			var all []*Host
			for i := range cfgs {
				cfgs[i].LeaseTiming.TTL, cfgs[i].Tick = 3*time.Second, 100*time.Millisecond
				if sharing {
					u := gossip.DefaultConfig()
					cfgs[i].SharedState = &SharedStateConfig{GossipInterval: u.GossipInterval, PingInterval: u.PingInterval, SyncInterval: u.SyncInterval, DeadRetention: u.DeadRetention, Fanout: u.Fanout, CatchUpBudget: u.CatchUpBudget, ReporterQuorum: 2}
				}
				all = append(all, startHost(b, cfgs[i], &fakeSender{}))
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
				eventually(b, "all processes have a session", func() bool {
					t.mu.Lock()
					defer t.mu.Unlock()
					return t.session.SessionID() != 0
				})
			}
			usage := func() (time.Duration, int64) {
				var u syscall.Rusage
				if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
					b.Fatal(err)
				}
				return time.Duration(u.Utime.Nano() + u.Stime.Nano()), u.Nvcsw
			}
			for range b.N {
				const window = 5 * time.Second
				time.Sleep(time.Second)
				before, switchesBefore := usage()
				time.Sleep(window)
				after, switchesAfter := usage()
				b.ReportMetric((after-before).Seconds()/window.Seconds()/3*1000, "ms/s/process")
				b.ReportMetric(float64(switchesAfter-switchesBefore)/window.Seconds()/3, "switches/s/process")
			}
		})
	}
}
