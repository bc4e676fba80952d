package task

import "time"

// Budget bounds the cost of a task in each period. Once the budget is exhausted, no slot is begun until the next period, and the slots that
// are due in the meantime count as missed. A begun slot is not interrupted, so one slot may exceed the budget.
type Budget struct {
	Period         time.Duration // 0: no budget. Periods are counted from 1970-01-01 UTC.
	MaxRequests    int64         // 0: no bound
	MaxRequestTime time.Duration // sum of the times from sending a request to its response; 0: no bound
}

// periodAt returns the number of the period that contains a wall clock time. Without a budget it is 0.
func (b *Budget) periodAt(wall time.Time) int64 {
	if b.Period == 0 {
		return 0
	}
	return int64(wall.Sub(time.Unix(0, 0)) / b.Period)
}

// exhausted reports whether a task has exhausted its budget, and when the next period begins.
func (b *Budget) exhausted(record Record, wall time.Time) (until time.Time, exhausted bool) {
	if b.Period == 0 || record.Period < b.periodAt(wall) {
		return until, false
	}
	until = time.Unix(0, 0).Add(time.Duration(record.Period+1) * b.Period)
	requests := b.MaxRequests > 0 && record.Requests >= b.MaxRequests
	requestTime := b.MaxRequestTime > 0 && record.TookMs >= b.MaxRequestTime.Milliseconds()
	return until, requests || requestTime
}
