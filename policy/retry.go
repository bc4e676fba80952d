package policy

import "slices"

// NotExecuted reports whether s proves that the attempt was never executed.
func (s Status) NotExecuted() bool {
	return s == StatusOverloaded || s == StatusConnectFailed || s == StatusNotSent
}

// attemptAllowed is the one judge of whether the rules allow an attempt of r at s.
func (b *Balancer) attemptAllowed(now Time, r *request, s *endpoint) bool {
	if r.ended || r.responseStarted || r.bodyConsumed || s.State != Ready || now >= r.Expires || len(r.attempts) >= b.cfg.MaxAttempts || r.MaxAttempts > 0 && len(r.attempts) >= r.MaxAttempts ||
		r.inFlight > 0 && !b.cfg.HedgingAllowed {
		return false
	}
	for _, a := range r.attempts {
		if a.notExecuted {
			continue
		}
		c := r.class
		switch {
		case c.Idempotency == NonIdempotent:
			return false
		case c.Idempotency == IdempotentByKey && (now >= a.sentAt+c.DedupWindow-b.cfg.DialTimeout-b.cfg.TimerResolution ||
			c.DedupScope == DedupZone && a.zone != s.Zone || c.DedupScope == DedupCell && a.cell != s.Cell):
			return false
		}
	}
	return true
}

// rejectionSafe is the one judge of whether a refusal, which promises that a retry is harmless, is true of r.
func rejectionSafe(r *request) bool {
	return r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupEverywhere ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.notExecuted })
}
