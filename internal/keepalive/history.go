package keepalive

import "slices"

// History is what a policy has learned of the clients of each pool, for the process that succeeds this one: until that has learned
// it itself, it would keep connections that are never used again.
type History map[PoolID][]KindHistory

// KindHistory is that of one kind of connection, by bucket of age.
type KindHistory struct {
	Waited []float64 `json:"Waited"` // seconds
	Used   []float64 `json:"Used"`   // uses that ended a wait
}

// maxRestored is more than a policy can have observed in a bucket, in seconds as in uses.
const maxRestored = 1e9

// History returns what has been learned so far.
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

// Restore takes over the history of another policy, as far as it is one that a policy could have.
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

func (s *kindStats) restore(k KindHistory) {
	for i := range ageBuckets {
		waited, used := k.Waited[i], k.Used[i]
		if waited > 0 && used >= 0 && waited < maxRestored && used < maxRestored {
			s.waited[i], s.used[i] = waited, used
		}
	}
	s.refreshIndex(0)
}
