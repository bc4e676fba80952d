package keepalive

import "slices"

// History holds the reuse statistics of each pool's client connections. A process passes it to its successor: without it, the
// successor would keep connections that are never reused until it had collected statistics of its own.
type History map[PoolID][]KindHistory

// KindHistory holds the statistics of one kind of connection, by age bucket.
type KindHistory struct {
	Waited []float64 `json:"Waited"` // seconds
	Used   []float64 `json:"Used"`   // waits that a request ended
}

// maxRestored bounds the restored values, in seconds as well as in uses. No policy can observe that much in one bucket.
const maxRestored = 1e9

// History returns a copy of the statistics collected so far.
func (p *IdlePolicy) History() History {
	history := History{}
	for pool, h := range p.pools {
		for kind := range h.kinds {
			stats := &h.kinds[kind]
			history[pool] = append(history[pool], KindHistory{slices.Clone(stats.waited[:]), slices.Clone(stats.used[:])})
		}
	}
	return history
}

// Restore replaces the statistics with those of another policy. It skips what no policy could have collected: pools with the wrong
// number of kinds, kinds with the wrong number of buckets, and buckets with values out of range. It also skips all pools once the
// policy holds the statistics of maxPools pools.
func (p *IdlePolicy) Restore(history History) {
	for pool, kinds := range history {
		if len(kinds) != int(kindCount) || len(p.pools) >= maxPools {
			continue
		}
		h := p.historyOf(pool)
		for kind, k := range kinds {
			if len(k.Waited) == ageBuckets && len(k.Used) == ageBuckets {
				h.kinds[kind].restore(k)
			}
		}
	}
}

// restore replaces the statistics of each bucket whose restored values are in range.
func (s *kindStats) restore(k KindHistory) {
	for i := range ageBuckets {
		waited, used := k.Waited[i], k.Used[i]
		if waited > 0 && used >= 0 && waited < maxRestored && used < maxRestored {
			s.waited[i], s.used[i] = waited, used
		}
	}
	s.refreshIndex(0)
}
