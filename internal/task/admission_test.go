package task

import (
	"testing"

	"pgregory.net/rapid"
)

// admissionTest runs tasks that compete for maxOpen open slots. Task i has priority i.
type admissionTest struct {
	registry *Registry
	maxOpen  int
	open     map[int]bool
	slots    map[int]int64 // newest begun slot by task
}

// taskName returns the name of task i.
func taskName(i int) string { return string(rune('a' + i)) }

// finishSome finishes a random part of the open slots and returns the tasks that had no open slot.
func (a *admissionTest) finishSome(t *rapid.T, tasks int) []int {
	idle := []int{}
	for i := range tasks {
		if !a.open[i] {
			idle = append(idle, i)
			continue
		}
		if rapid.Bool().Draw(t, "ends") {
			a.registry.Apply(Command{Op: OpFinish, Task: taskName(i), Slot: a.slots[i], Token: 1, Outcome: OutcomeDone})
			delete(a.open, i)
		}
	}
	return idle
}

// begin sends OpBegin for the next slot of task i.
func (a *admissionTest) begin(t *rapid.T, i int) {
	slot := a.slots[i] + 1
	result := a.registry.Apply(Command{Op: OpBegin, Task: taskName(i), Slot: slot, Token: 1, MaxOpen: a.maxOpen, Priority: i})
	switch result.Refusal {
	case "":
		a.open[i], a.slots[i] = true, slot
	case RefusedConcurrencyLimit:
	default:
		t.Fatalf("%s", result.Refusal)
	}
}

// checkOpen checks that the open slots are those that were admitted, and no more than maxOpen.
func (a *admissionTest) checkOpen(t *rapid.T) {
	n := 0
	for _, record := range a.registry.Tasks {
		if record.Open {
			n++
		}
	}
	if n > a.maxOpen || n != len(a.open) {
		t.Fatalf("%d slots are open, want the admitted ones and at most %d", n, a.maxOpen)
	}
}

// TestAdmission checks these properties for random sequences of begins and finishes, with one task whose holder may have died:
//   - At most maxOpen slots are open.
//   - The task with the largest priority is admitted.
//   - A waiting task without further OpBegin commands delays the others for a limited number of rounds only.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks = 5
		a := admissionTest{registry: NewRegistry(), maxOpen: rapid.IntRange(1, 3).Draw(t, "most"), open: map[int]bool{}, slots: map[int]int64{}}
		dead := rapid.IntRange(-1, tasks-1).Draw(t, "dead") // sends OpBegin in the first round only; -1: no such task
		for round := range 200 {
			for _, i := range a.finishSome(t, tasks) {
				if i != dead || round == 0 {
					a.begin(t, i)
				}
			}
			a.checkOpen(t)
		}
		if best := tasks - 1; a.slots[best] == 0 && best != dead {
			t.Fatalf("%s has the largest priority, but was never admitted: %v", taskName(best), a.slots)
		}
		total := int64(0)
		for _, n := range a.slots {
			total += n
		}
		if total < 20 {
			t.Fatalf("fewer than 20 slots were begun beside a task that sends no commands: %v", a.slots)
		}
	})
}

// TestPriority checks that waiting tasks are admitted by descending priority, and for equal priorities in the order of their first OpBegin.
func TestPriority(t *testing.T) {
	registry := NewRegistry()
	begin := func(task string, priority int) Refusal {
		return registry.Apply(Command{Op: OpBegin, Task: task, Slot: 1, Token: 1, MaxOpen: 1, Priority: priority}).Refusal
	}
	finish := func(task string) {
		registry.Apply(Command{Op: OpFinish, Task: task, Slot: 1, Token: 1, Outcome: OutcomeDone})
	}
	if refusal := begin("first", 0); refusal != "" {
		t.Fatal(refusal)
	}
	for _, c := range []struct {
		task     string
		priority int
	}{{"low", 0}, {"old", 5}, {"new", 5}} {
		if refusal := begin(c.task, c.priority); refusal != RefusedConcurrencyLimit {
			t.Fatalf("%s: %q", c.task, refusal)
		}
	}
	finish("first")
	for _, want := range []string{"old", "new", "low"} {
		for _, c := range []struct {
			task     string
			priority int
		}{{"low", 0}, {"new", 5}, {"old", 5}} {
			if registry.Record(c.task).Slot == 1 {
				continue
			}
			refusal := begin(c.task, c.priority)
			if (refusal == "") != (c.task == want) {
				t.Fatalf("OpBegin of %s: refusal %q, want the admission of %s next", c.task, refusal, want)
			}
			if refusal == "" {
				break
			}
		}
		finish(want)
	}
}
