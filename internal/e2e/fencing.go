package e2e

import (
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

// minUnheldGap is the shortest time without an action that counts as one in which nobody held a task's lease: some slots of the
// slowest task. Logs cannot tell, since a stopped member's log says that it holds the lease.
const minUnheldGap = 300 * time.Millisecond

// slotCounts are the results of tasks' slots as the fleet's state has them.
type slotCounts struct{ done, lost, skipped int64 }

// measureFencing measures what the resource saw of the tasks, and what the fleet's state says of them. The idle times are those
// between two moments.
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
	f.measureSlots()
	for task := range tasks {
		e.Measure("unheld_share_"+task, f.resource.IdleFraction(task, minUnheldGap, from, to))
	}
	f.measureTraffic()
}

// measureSlots measures the slots as the fleet's state has them, beside those that had an effect.
func (f *fleet) measureSlots() {
	e := f.env
	counts, ok := f.slotCounts()
	if !ok {
		e.Fail("no member of the council tells its state")
	}
	e.Measure("lost_slots", float64(counts.lost))
	e.Measure("slots_skipped", float64(counts.skipped))
	// The effects are counted after the state was read: a slot that is done has had its effect.
	if slots := f.resource.Verdict(func(string) bool { return false }).Slots; int(counts.done) > slots {
		e.Fail("%d slots are written down as done, and %d had an effect", counts.done, slots)
	}
}

// slotCounts asks the first voter that tells.
func (f *fleet) slotCounts() (counts slotCounts, ok bool) {
	status, ok := f.voterStatus()
	if !ok {
		return slotCounts{}, false
	}
	for _, task := range status.Council.Fleet.Slots.Tasks {
		counts.lost += task.Counts["unknown"] + task.Counts["failed"] + task.Counts["refused"]
		counts.done += task.Counts["done"]
		counts.skipped += task.Skipped
	}
	return counts, true
}

// measureTraffic measures what the members sent each other since the fleet was started.
func (f *fleet) measureTraffic() {
	frames, bytes := int64(0), int64(0)
	for _, proxy := range f.proxies {
		n, b := proxy.Traffic()
		frames, bytes = frames+n, bytes+b
	}
	memberSeconds := time.Since(f.started).Seconds() * float64(len(f.members))
	f.env.Measure("frames_a_second_and_process", float64(frames)/memberSeconds)
	f.env.Measure("kB_a_second_and_process", float64(bytes)/1000/memberSeconds)
}
