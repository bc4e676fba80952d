package task

import (
	"testing"

	"pgregory.net/rapid"
)

// admissionTest plays tasks that compete for MaxOpen. Task i has priority i.
type admissionTest struct {
	registry *Registry
	maxOpen  int
	open     map[int]bool
	slots    map[int]int64 // by task: the newest that was begun
}

func taskName(i int) string { return string(rune('a' + i)) }

// finishSome closes some of the open slots and returns the tasks that have none.
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

func (a *admissionTest) checkOpen(t *rapid.T) {
	n := 0
	for _, record := range a.registry.Tasks {
		if record.Open {
			n++
		}
	}
	if n > a.maxOpen || n != len(a.open) {
		t.Fatalf("%d are open, %d may be", n, a.maxOpen)
	}
}

// TestAdmission holds for every order of asks, ends and deaths: never more slots are open than may be, and where there is room and several ask,
// the largest priority is let in; a task that asks no more keeps the others out for so many rounds only.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tasks = 5
		a := admissionTest{registry: NewRegistry(), maxOpen: rapid.IntRange(1, 3).Draw(t, "most"), open: map[int]bool{}, slots: map[int]int64{}}
		dead := rapid.IntRange(-1, tasks-1).Draw(t, "dead") // asks once, and never again
		for round := range 200 {
			for _, i := range a.finishSome(t, tasks) {
				if i != dead || round == 0 {
					a.begin(t, i)
				}
			}
			a.checkOpen(t)
		}
		if best := tasks - 1; a.slots[best] == 0 && best != dead {
			t.Fatalf("%s has the largest priority, and never had its turn: %v", taskName(best), a.slots)
		}
		total := int64(0)
		for _, n := range a.slots {
			total += n
		}
		if total < 20 {
			t.Fatalf("one that asks no more keeps all others out: %v", a.slots)
		}
	})
}

// TestPriority: with room for one, and all waiting, the one of the largest priority goes first, then the one that has waited longest.
func TestPriority(t *testing.T) {
	registry := NewRegistry()
	begin := func(task string, priority int) Refusal {
		return registry.Apply(Command{Op: OpBegin, Task: task, Slot: 1, Token: 1, MaxOpen: 1, Priority: priority}).Refusal
	}
	end := func(task string) {
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
	end("first")
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
				t.Fatalf("%s begins: %q, where it is the turn of %s", c.task, refusal, want)
			}
			if refusal == "" {
				break
			}
		}
		end(want)
	}
}
