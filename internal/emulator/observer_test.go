package emulator

import (
	"strings"
	"testing"
	"time"

	"sorrelrudder/policy"
)

// observed is an emulation whose first instance is controlled by the test.
type observed struct {
	*Emulation
	instance *instance
}

// receive makes the instance receive a request of a class. The request's deadline is in one second.
func (o *observed) receive(class policy.Class) *request {
	o.instance.lastRequest++
	r := &request{
		client:   &clientRequest{class: &Class{Class: class}, instance: o.instance},
		instance: o.instance,
		id:       o.instance.lastRequest,
		class:    class,
		expires:  o.scheduler.Now() + time.Second,
	}
	o.instance.requests[r.id] = r
	o.observer.requestReceived(r)
	return r
}

// send makes the instance send a request to the backend at an index.
func (o *observed) send(r *request, index int) *attempt {
	target := o.backends[index]
	a := &attempt{request: r, backend: target, sentAt: o.scheduler.Now()}
	o.observer.attemptStarted(a, policy.EndpointID(target.id))
	r.attempts = append(r.attempts, a)
	return a
}

// TestObserverReportsViolations guards against a violation that the observer does not report, or reports under another rule.
func TestObserverReportsViolations(t *testing.T) {
	safe := policy.Class{Name: "safe"}
	unsafe := policy.Class{Name: "unsafe", Idempotency: policy.NonIdempotent}
	keyed := policy.Class{Name: "keyed", Idempotency: policy.IdempotentByKey, DedupWindow: 100 * ms}
	cellKeyed := policy.Class{Name: "cell-keyed", Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupCell, DedupWindow: time.Minute}
	zoneKeyed := policy.Class{Name: "zone-keyed", Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupZone, DedupWindow: time.Minute}
	for name, c := range map[string]struct {
		violate func(*observed)
		want    string
	}{
		"answered twice": {func(o *observed) {
			r := o.receive(safe)
			o.observer.requestAnswered(r, answerRejected)
			o.observer.requestAnswered(r, answerRejected)
		}, "rule 1: 2 answers to one request, want 1"},
		"attempt after the answer": {func(o *observed) {
			r := o.receive(safe)
			o.observer.requestAnswered(r, answerRejected)
			o.send(r, 0)
		}, "rule 1: instance 0 started an attempt of a request that was already answered"},
		"attempt after the deadline": {func(o *observed) {
			r := o.receive(safe)
			o.scheduler.AdvanceTo(o.scheduler.Now() + time.Second)
			o.send(r, 0)
		}, "rule 1: instance 0 started an attempt at or after the deadline of the request"},
		"attempt of an unknown request": {func(o *observed) {
			o.instance.StartAttempt(o.instance.lastRequest+1, "s000", time.Second)
		}, "rule 1: instance 0 started an attempt of a request that it does not have"},
		"answer to an unknown request": {func(o *observed) {
			o.observer.requestAnswered(&request{instance: o.instance}, answerFailed)
		}, "rule 1: instance 0 answered a request that it does not have"},
		"answered too late": {func(o *observed) {
			r := o.receive(safe)
			o.scheduler.AdvanceTo(o.scheduler.Now() + 1100*ms)
			o.observer.requestAnswered(r, answerFailed)
		}, "rule 1: answer 100ms after the deadline"},
		"not answered by the end": {func(o *observed) {
			o.receive(safe)
			o.scheduler.AdvanceTo(o.scheduler.Now() + 1100*ms)
			o.observer.finish()
		}, "rule 1: 1 requests were not answered by the end of the run"},
		"repeat of a request that is not idempotent": {func(o *observed) {
			r := o.receive(unsafe)
			o.send(r, 0)
			o.send(r, 1)
		}, "rule 2: class unsafe: a request that may have been executed was sent again"},
		"repeat in another cell": {func(o *observed) {
			r := o.receive(cellKeyed)
			o.observer.attemptExecuted(o.send(r, 0))
			o.send(r, 1)
		}, "rule 2: class cell-keyed: a request that may have been executed was sent to another dedup group"},
		"repeat in another zone": {func(o *observed) {
			r := o.receive(zoneKeyed)
			o.send(r, 0)
			o.send(r, 1)
		}, "rule 2: class zone-keyed: a request that may have been executed was sent to another dedup group"},
		"repeat after the dedup window": {func(o *observed) {
			r := o.receive(keyed)
			o.send(r, 0)
			o.scheduler.AdvanceTo(o.scheduler.Now() + 150*ms)
			o.send(r, 1)
		}, "rule 2: class keyed: a request was sent again 150ms after an attempt that may have been executed"},
		"rejected though possibly executed": {func(o *observed) {
			r := o.receive(cellKeyed)
			o.send(r, 0)
			o.observer.requestAnswered(r, answerRejected)
		}, "rule 2: class cell-keyed: a request that may have been executed was rejected"},
		"rejected after the dedup window": {func(o *observed) {
			r := o.receive(keyed)
			o.send(r, 0)
			o.scheduler.AdvanceTo(o.scheduler.Now() + 150*ms)
			o.observer.requestAnswered(r, answerRejected)
		}, "rule 2: class keyed: a request that may have been executed was rejected beyond the dedup window"},
		"reported as not executed": {func(o *observed) {
			a := o.send(o.receive(safe), 0)
			o.observer.attemptExecuted(a)
			o.observer.attemptFinished(a, policy.StatusOverloaded)
		}, "rule 2: emulator fault: an executed attempt was reported as not executed"},
		"attempt at a draining endpoint": {func(o *observed) {
			o.observer.endpointsUpdated(o.instance, policy.UpdateDelta, []policy.Endpoint{{ID: "s005", State: policy.Draining}})
			o.scheduler.AdvanceTo(o.scheduler.Now() + 2100*ms)
			o.send(o.receive(safe), 5)
		}, "rule 3: endpoint s005 received an attempt 2.1s after the instance was notified that it is draining or removed"},
		"backend collapsed": {func(o *observed) {
			b := o.startBackend("new", 3)
			for range 200 {
				b.recordWarmingWork(o.Emulation, 100*ms, true)
			}
		}, "rule 4: backend new collapsed under its load while warming up"},
	} {
		t.Run(name, func(t *testing.T) {
			e, err := New(fleetScenario())
			if err != nil {
				t.Fatal(err)
			}
			o := &observed{e, e.instances[0]}
			o.instance.start()
			c.violate(o)
			if e.Result.ViolationCount != 1 || len(e.Result.Violations) != 1 || !strings.Contains(e.Result.Violations[0], c.want) {
				t.Errorf("%d violations %q, want one that contains %q", e.Result.ViolationCount, e.Result.Violations, c.want)
			}
		})
	}
}

// TestObserverAcceptsRepeats guards against an observer that reports a repeat that the rules allow as a violation.
func TestObserverAcceptsRepeats(t *testing.T) {
	e, err := New(fleetScenario())
	if err != nil {
		t.Fatal(err)
	}
	o := &observed{e, e.instances[0]}
	o.instance.start()

	safe := o.receive(policy.Class{Name: "safe"})
	o.send(safe, 0)
	o.send(safe, 1)
	o.observer.requestAnswered(safe, answerServed)

	unsafe := o.receive(policy.Class{Name: "unsafe", Idempotency: policy.NonIdempotent})
	o.observer.attemptFinished(o.send(unsafe, 0), policy.StatusOverloaded)
	o.send(unsafe, 1)
	o.observer.requestAnswered(unsafe, answerServed)

	keyed := o.receive(policy.Class{Name: "keyed", Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupZone, DedupWindow: time.Second})
	o.send(keyed, 0)
	o.send(keyed, 2)
	o.observer.requestAnswered(keyed, answerServed)

	rejected := o.receive(policy.Class{Name: "keyed", Idempotency: policy.IdempotentByKey, DedupWindow: time.Second})
	o.send(rejected, 0)
	o.observer.requestAnswered(rejected, answerRejected)

	o.observer.finish()
	if e.Result.ViolationCount > 0 {
		t.Error(e.Result.Violations)
	}
}
