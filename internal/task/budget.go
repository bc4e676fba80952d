package task

import "time"

// Budget bounds what a task may cost in each period. Once it is spent no slot is begun until the next period; the slots meanwhile are
// missed ones. A slot that has begun is not cut off, so that one slot may overdraw the budget.
type Budget struct {
	Period         time.Duration // 0: no budget. Periods are counted from 1970-01-01 UTC.
	MaxRequests    int64         // 0: no bound
	MaxRequestTime time.Duration // sum over the requests, from sending to answer; 0: no bound
}

// periodAt is the number of the period at a wall clock's time.
func (b *Budget) periodAt(wall time.Time) int64 {
	if b.Period == 0 {
		return 0
	}
	return int64(wall.Sub(time.Unix(0, 0)) / b.Period)
}

// exhausted reports whether a task has spent its budget, and when the next period begins.
func (b *Budget) exhausted(record Record, wall time.Time) (until time.Time, exhausted bool) {
	if b.Period == 0 || record.Period < b.periodAt(wall) {
		return until, false
	}
	until = time.Unix(0, 0).Add(time.Duration(record.Period+1) * b.Period)
	requests := b.MaxRequests > 0 && record.Requests >= b.MaxRequests
	requestTime := b.MaxRequestTime > 0 && record.TookMs >= b.MaxRequestTime.Milliseconds()
	return until, requests || requestTime
}
