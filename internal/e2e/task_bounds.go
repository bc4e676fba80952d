package e2e

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sorrelrudder/internal/fake"
)

func init() {
	Register(Scenario{
		Name: "task-bounds", Duration: 14 * time.Second, Run: taskBounds,
		Summary: "six tasks on a pool of ordinary HTTP services: at most two run at once in the fleet, by priority and within a budget, while members are killed and a lease is handed over",
	})
}

// taskBounds checks the bound on concurrent tasks, the budget of a task and the order of priorities, under faults and a handover.
func taskBounds(ctx context.Context, e *Env) error {
	const atOnce, budget = 2, 5 // concurrent tasks; requests per period
	text, tasks := "", map[string]fake.Idempotency{}
	for i := range 6 {
		name := fmt.Sprint("work", i)
		tasks[name] = fake.IdempotentByKey
		more := fmt.Sprintf("method = \"POST\"\npriority = %d\n", i)
		if i == 5 {
			more += fmt.Sprintf("[tasks.budget]\nper = \"2s\"\nrequests = %d\n", budget)
		}
		text += taskTOML(name, "/delivery-order/"+name, "40ms", more)
	}
	f, err := e.startFleet(ctx, fleetConfig{
		processes: 5, voters: 3, ordinaryHTTP: true, tasks: text, fleetKeys: fmt.Sprintf("tasks_at_once = %d\n", atOnce),
		configureBackend: func(b *fake.BackendConfig) { b.ServiceTime, b.LoadReporting = 20*time.Millisecond, fake.ReportNone },
	})
	if err != nil {
		return err
	}
	if err := f.repairAndAwaitTaskLeases(ctx, tasks); err != nil {
		return err
	}
	const lease = "task/work0"
	holder := f.leaseHolder(lease)
	if holder < 0 {
		return fmt.Errorf("%w: no member holds the lease %s", errNotRecovered, lease)
	}
	to := f.members[(holder+1)%5]
	if err := f.mustCommandMember(f.members[holder], "lease", "handover", lease, to.name); err != nil {
		return err
	}
	asked := time.Now()
	if err := f.awaitCondition(ctx, 5*time.Second, "the lease is handed over to "+to.name, func() bool { return f.leaseHolder(lease) == to.index }); err != nil {
		return err
	}
	e.Measure("handover_s", time.Since(asked).Seconds())
	rng := rand.New(rand.NewPCG(e.Seed, 34))
	faults, err := e.chooseFaults(drawFaults(rng, []fleetFaultKind{faultKill, faultLeave, faultIsolate}, int(e.Duration/(2*time.Second)), 5, e.Duration))
	if err != nil {
		return err
	}
	e.Phase("members are killed, partitioned and shut down gracefully", e.Duration)
	from := time.Now()
	f.injectFaults(ctx, faults)
	if err := f.repairAndAwaitTaskLeases(ctx, tasks); err != nil {
		return err
	}
	f.measureFencing(tasks, from, time.Now())
	v := f.resource.Verdict(func(string) bool { return true })
	e.AtMost("most_at_once", float64(v.MaxConcurrent), atOnce)
	s, err := f.status(f.members[0])
	if err != nil {
		return err
	}
	if s.Council == nil || s.Council.Fleet == nil {
		return fmt.Errorf("%w: status of %s has no state of the fleet", errNotRecovered, f.members[0].name)
	}
	done := func(task string) float64 { return float64(s.Council.Fleet.Slots.Tasks[task].Counts["done"]) }
	e.Measure("done_of_least_priority", done("work0"))
	e.Measure("done_of_most_priority", done("work4"))
	if done("work4") < done("work0") {
		e.Fail("what matters most was done less often than what matters least")
	}
	periods := math.Ceil(time.Since(f.started).Seconds()/2) + 1
	const attemptsPerSlot = 3 // one slot may exceed the budget in each period
	e.AtMost("budgeted", done("work5"), periods*(budget+attemptsPerSlot))
	f.drainAll()
	return nil
}
