package fleet

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"
)

// BenchmarkAcquire measures how fast one of three processes acquires leases, one after the other and many at once. The stores sync to disk.
func BenchmarkAcquire(b *testing.B) {
	for _, leases := range []int{1, 100, 10000} {
		b.Run(fmt.Sprint(leases, " leases"), func(b *testing.B) {
			cfgs := newFleetConfigs(b, 3)
			var all []*Host
			for _, cfg := range cfgs {
				all = append(all, startHost(b, cfg, &fakeSender{}))
			}
			defer func() {
				for _, t := range all {
					t.Close()
				}
			}()
			holds := func(name string) bool {
				_, _, ok := all[2].HeldLease(name)
				return ok
			}
			held := func() int {
				all[2].mu.Lock()
				defer all[2].mu.Unlock()
				return len(all[2].session.Held(all[2].clock.Now()))
			}
			all[2].AcquireLease("first", 1)
			eventually(b, "the first lease is held", func() bool { return holds("first") })
			for range b.N {
				syncs := all[0].store.Syncs()
				began := time.Now()
				all[2].mu.Lock()
				for i := range leases {
					all[2].session.Acquire(fmt.Sprint("many-", i), 1)
				}
				all[2].runDue()
				all[2].mu.Unlock()
				for !holds(fmt.Sprint("many-", leases-1)) && time.Since(began) < time.Minute {
					time.Sleep(time.Millisecond)
				}
				if held() < leases+1 {
					b.Fatalf("held %d of %d leases", held(), leases+1)
				}
				took := time.Since(began)
				b.ReportMetric(float64(leases)/took.Seconds(), "leases/s")
				b.ReportMetric(float64(all[0].store.Syncs()-syncs)/float64(leases), "syncs/lease")
				var one []time.Duration
				for i := range 200 {
					name := fmt.Sprint("one-", i)
					at := time.Now()
					all[2].AcquireLease(name, 1)
					for !holds(name) && time.Since(at) < time.Second {
						time.Sleep(50 * time.Microsecond)
					}
					one = append(one, time.Since(at))
				}
				slices.Sort(one)
				b.ReportMetric(float64(one[100].Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(one[197].Microseconds())/1000, "p99-ms")
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				b.ReportMetric(float64(m.HeapAlloc)/3/(1<<20), "heapMB/process")
			}
		})
	}
}

// BenchmarkTraffic measures the bytes per second that a voter and a member without a vote send at rest, in fleets of several sizes.
func BenchmarkTraffic(b *testing.B) {
	for _, n := range []int{5, 50, 300} {
		b.Run(fmt.Sprint(n, " members"), func(b *testing.B) {
			cfgs := newFleetConfigs(b, 5)
			for i := 5; i < n; i++ {
				cfg := cfgs[0]
				cfg.Name, cfg.Store = fmt.Sprint("q", i), ""
				cfgs[0].Members[cfg.Name] = freeAddr(b)
				cfgs = append(cfgs, cfg)
			}
			var all []*Host
			for i := range cfgs {
				cfgs[i].LeaseTiming.TTL = 3 * time.Second
				cfgs[i].Tick = 100 * time.Millisecond
				all = append(all, startHost(b, cfgs[i], &fakeSender{}))
			}
			defer func() {
				for _, t := range all {
					t.Close()
				}
			}()
			for _, t := range all {
				eventually(b, "all processes have a session", func() bool {
					t.mu.Lock()
					defer t.mu.Unlock()
					return t.session.SessionID() != 0
				})
			}
			for range b.N {
				count := func(ts []*Host) (sum int64) {
					for _, t := range ts {
						sum += t.traffic.bytes.Load()
					}
					return sum
				}
				voterBytes, otherBytes := count(all[:5]), count(all[5:])
				const window = 5 * time.Second
				time.Sleep(window)
				b.ReportMetric(float64(count(all[:5])-voterBytes)/5/window.Seconds()/1000, "kB/s/seat")
				if n > 5 {
					b.ReportMetric(float64(count(all[5:])-otherBytes)/float64(n-5)/window.Seconds()/1000, "kB/s/other")
				}
			}
		})
	}
}
