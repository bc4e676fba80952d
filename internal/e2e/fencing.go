package e2e

import (
	"strings"
	"time"

	"sorrelrudder/internal/fake"
)

// minUnheldGap is the shortest time without an action that counts as a time without a lease holder. It spans several slots of the slowest
// task. The logs cannot show such times, since a paused member's log still says that it holds the lease.
const minUnheldGap = 300 * time.Millisecond

// slotCounts are the numbers of task slots by result, according to the state of the fleet.
type slotCounts struct{ done, lost, skipped int64 }

// measureFencing measures the actions that the resource received from tasks, and the slots according to the state of the fleet. Idle times
// are those between from and to.
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

// measureSlots measures the slots according to the state of the fleet, and checks them against the slots that took effect.
func (f *fleet) measureSlots() {
	e := f.env
	counts, ok := f.slotCounts()
	if !ok {
		e.Fail("no member of the council tells its state")
	}
	e.Measure("lost_slots", float64(counts.lost))
	e.Measure("slots_skipped", float64(counts.skipped))
	// The effects are counted after the state was read, so that every slot that it marks as done has already taken effect.
	if slots := f.resource.Verdict(func(string) bool { return false }).Slots; int(counts.done) > slots {
		e.Fail("%d slots are written down as done, and %d had an effect", counts.done, slots)
	}
}

// slotCounts returns the counts of the first voter that reports them. ok is false if none does.
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

// measureTraffic measures the traffic between the members since the fleet was started.
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
