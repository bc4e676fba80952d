package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// budgetModel is a reference model of a Budget. It recomputes every sum on each call.
type budgetModel struct {
	total  int64
	used   map[PoolID]int64
	claims map[PoolID]Claim
}

// reserved returns the units that are reserved and not used, summed over all pools except one.
func (m *budgetModel) reserved(except PoolID) (sum int64) {
	for pool, claim := range m.claims {
		if pool != except {
			sum += max(0, claim.Reserved-m.used[pool])
		}
	}
	return sum
}

// totalUsed returns the units that all pools use together.
func (m *budgetModel) totalUsed() (sum int64) {
	for _, n := range m.used {
		sum += n
	}
	return sum
}

// checkAcquire checks the result of Acquire for n units. The model must still be in the state before the call.
func (m *budgetModel) checkAcquire(t *rapid.T, pool PoolID, n int64, acquired bool) {
	claim, claimed := m.claims[pool]
	has := m.used[pool]
	entitled := claimed && has+n <= claim.Reserved && m.totalUsed()+n+m.reserved(pool) <= m.total
	switch {
	case acquired && !claimed:
		t.Fatalf("pool %d acquired %d units without a claim", pool, n)
	case acquired && has+n > claim.Limit:
		t.Fatalf("pool %d acquired %d units and uses %d, more than its limit of %d", pool, n, has+n, claim.Limit)
	case acquired && m.totalUsed()+n > m.total:
		t.Fatalf("%d units of a total of %d are used", m.totalUsed()+n, m.total)
	case acquired && m.totalUsed()+n+m.reserved(pool)+max(0, claim.Reserved-has-n) > m.total:
		t.Fatalf("pool %d acquired %d units, some of which are reserved for other pools", pool, n)
	case !acquired && entitled:
		t.Fatalf("pool %d uses %d units and failed to acquire %d of the %d reserved for it", pool, has, n, claim.Reserved)
	}
}

// checkUsed compares the sums of the budget with those of the model.
func (m *budgetModel) checkUsed(t *rapid.T, b *Budget) {
	if b.TotalUsed() != m.totalUsed() {
		t.Fatalf("%d units are used, want %d", b.TotalUsed(), m.totalUsed())
	}
	for pool, n := range m.used {
		if b.Used(pool) != n {
			t.Fatalf("pool %d uses %d units, want %d", pool, b.Used(pool), n)
		}
	}
	if b.unusedReserve != m.reserved(0) {
		t.Fatalf("%d reserved units are unused, want %d", b.unusedReserve, m.reserved(0))
	}
}

// TestBudget checks for any sequence of Set, Remove, Acquire and Release that the pools never use more than the total, that no pool
// uses more than its limit, and that a pool can always acquire its reserve.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &budgetModel{total: rapid.Int64Range(0, 100).Draw(t, "total"), used: map[PoolID]int64{}, claims: map[PoolID]Claim{}}
		b := NewBudget(m.total)
		pools := rapid.Custom(func(t *rapid.T) PoolID { return PoolID(rapid.IntRange(1, 4).Draw(t, "pool")) })
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				pool := pools.Draw(t, "pool")
				free := m.total - m.totalUsed() - m.reserved(pool) + m.used[pool] // the sum of all reserves must not exceed the total
				claim := Claim{Reserved: rapid.Int64Range(0, max(0, free)).Draw(t, "reserved")}
				claim.Limit = claim.Reserved + rapid.Int64Range(0, 50).Draw(t, "more")
				b.Set(pool, claim)
				m.claims[pool] = claim
			},
			"remove": func(t *rapid.T) {
				pool := pools.Draw(t, "pool")
				b.Remove(pool)
				delete(m.claims, pool)
			},
			"acquire": func(t *rapid.T) {
				pool, n := pools.Draw(t, "pool"), rapid.Int64Range(0, 30).Draw(t, "n")
				acquired := b.Acquire(pool, n)
				m.checkAcquire(t, pool, n, acquired)
				if acquired {
					m.used[pool] += n
				}
			},
			"release": func(t *rapid.T) {
				pool := pools.Draw(t, "pool")
				n := rapid.Int64Range(0, m.used[pool]).Draw(t, "n")
				b.Release(pool, n)
				m.used[pool] -= n
			},
			"": func(t *rapid.T) { m.checkUsed(t, &b) },
		})
	})
}
