package e2e

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

// leaseSpan is a time in which a process held a lease, by its own log.
type leaseSpan struct {
	holder   int
	token    uint64
	from, to time.Time // to is zero while it holds it
}

// logTime is when a line of the log was written.
func logTime(line string) time.Time {
	at, _ := time.Parse(time.RFC3339Nano, LogField(line, "time"))
	return at
}

// leaseSpans are the times in which a lease was held, in order. A process that was killed held it no longer than it could log.
func (f *fleet) leaseSpans(name string) []leaseSpan {
	var all []leaseSpan
	for _, p := range f.members {
		p.mu.Lock()
		programs := append(slices.Clone(p.earlierPrograms), p.program)
		p.mu.Unlock()
		for n, program := range programs {
			open := -1
			last := time.Time{}
			for _, line := range program.LogLines() {
				if at := logTime(line); !at.IsZero() {
					last = at
				}
				if LogField(line, "name") != name {
					continue
				}
				switch LogField(line, "msg") {
				case "lease held":
					token, _ := strconv.ParseUint(LogField(line, "token"), 10, 64)
					all = append(all, leaseSpan{holder: p.index, token: token, from: logTime(line)})
					open = len(all) - 1
				case "lease lost":
					if open >= 0 {
						all[open].to = logTime(line)
						open = -1
					}
				}
			}
			if open >= 0 && n < len(programs)-1 {
				all[open].to = last
			}
		}
	}
	slices.SortFunc(all, func(a, b leaseSpan) int { return a.from.Compare(b.from) })
	return all
}

// leaseHolder is who holds a lease now, -1 if nobody is known to.
func (f *fleet) leaseHolder(name string) int {
	all := f.leaseSpans(name)
	best := -1
	for i, s := range all {
		if s.to.IsZero() && (best < 0 || s.token > all[best].token) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	return all[best].holder
}

// minUnheldGap is a time without an act from which on a task counts as held by nobody: some slots of the slowest task. A process that is
// stopped says of itself that it holds a lease, so that logs can't tell.
const minUnheldGap = 300 * time.Millisecond

// measureFencing notes what the resource and the logs say.
func (f *fleet) measureFencing(tasks map[string]fake.Idempotency, from, to time.Time) {
	e := f.env
	v := f.resource.Verdict(func(slot string) bool {
		task, _, _ := strings.Cut(slot, "-")
		return tasks[task] != fake.Idempotent
	})
	if v.FirstViolation != "" {
		e.Fail("%s", v.FirstViolation)
	}
	e.AtMost("two_holders", float64(v.Overlaps), 0)
	e.Measure("acts", float64(v.Accepted))
	e.Measure("acts_refused_by_token", float64(v.Rejected))
	e.Measure("tokens", float64(v.DistinctTokens))
	e.Measure("slots_done", float64(v.Slots))
	e.AtMost("doubled_slots", float64(v.DuplicateSlots), 0)
	if v.Accepted == 0 {
		e.Fail("nobody acted: nothing was shown")
	}
	lost, done, skipped := int64(0), int64(0), int64(0)
	counted := false
	for _, p := range f.members[:f.cfg.voters] {
		s, err := f.status(p)
		if err != nil || s.Council == nil || s.Council.Fleet == nil {
			continue
		}
		counted = true
		for _, page := range s.Council.Fleet.Slots.Tasks {
			lost += page.Counts["unknown"] + page.Counts["failed"] + page.Counts["refused"]
			done += page.Counts["done"]
			skipped += page.Skipped
		}
		break
	}
	if !counted {
		e.Fail("no member of the council tells its state")
	}
	e.Measure("lost_slots", float64(lost))
	e.Measure("slots_skipped", float64(skipped))
	if slots := f.resource.Verdict(func(string) bool { return false }).Slots; int(done) > slots { // looked at after the book
		e.Fail("%d slots are written down as done, and %d had an effect", done, slots)
	}
	for task := range tasks {
		e.Measure("unheld_share_"+task, f.resource.IdleFraction(task, minUnheldGap, from, to))
	}
	frames, bytes := int64(0), int64(0)
	for _, l := range f.proxies {
		n, b := l.Traffic()
		frames, bytes = frames+n, bytes+b
	}
	e.Measure("frames_a_second_and_process", float64(frames)/time.Since(f.started).Seconds()/float64(len(f.members)))
	e.Measure("kB_a_second_and_process", float64(bytes)/1000/time.Since(f.started).Seconds()/float64(len(f.members)))
}

// logHolders shows on a terminal who holds what, until ctx ends.
func (f *fleet) logHolders(ctx context.Context, lease string) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		last := ""
		for ctx.Err() == nil {
			var row []string
			for _, s := range f.leaseSpans(lease) {
				if s.to.IsZero() {
					row = append(row, fmt.Sprintf("%s by %d", f.members[s.holder].name, s.token))
				}
			}
			if now := strings.Join(row, ", "); now != last {
				last = now
				f.logEvent("%s is held by: %s", lease, now)
			}
			pause(ctx, 50*time.Millisecond)
		}
	}()
	return done
}

// consensusLeader is who leads the consensus group by the newest word of the logs, 0 if none is known.
func (f *fleet) consensusLeader() int {
	best, term := 0, 0
	for _, p := range f.members {
		for _, line := range p.program.LogLines() {
			if LogField(line, "msg") != "the council has a leader" {
				continue
			}
			t, err := strconv.Atoi(LogField(line, "term"))
			if err != nil {
				continue
			}
			if t > term {
				for _, q := range f.members {
					if q.name == LogField(line, "leader") {
						best, term = q.index, t
					}
				}
			}
		}
	}
	return best
}

// voters are the identities that vote, by the account of the first process that tells.
func (f *fleet) voters() []uint64 {
	for _, p := range f.members[:f.cfg.voters] {
		if s, err := f.status(p); err == nil && s.Council != nil && s.Council.Fleet != nil {
			return s.Council.Voters
		}
	}
	return nil
}
