package emulator

import (
	"sorrelrudder/policy"
	"testing"
	"time"
)

// The observer reports each kind of violation.
func TestObserverReportsViolations(t *testing.T) {
	e, err := New(fleetScenario())
	if err != nil {
		t.Fatal(err)
	}
	in := e.instances[0]
	in.start()
	mk := func(class int) *request {
		c := &e.scenario.Classes[class]
		in.lastRequest++
		tr := &request{client: &clientRequest{class: c, instance: in}, instance: in, id: in.lastRequest, class: c.Class, expires: e.now + time.Second}
		in.requests[tr.id] = tr
		e.observer.requestReceived(tr)
		return tr
	}
	send := func(tr *request, s *backend) *attempt {
		a := &attempt{request: tr, backend: s, sentAt: e.now}
		e.observer.attemptStarted(a, policy.EndpointID(s.id))
		tr.attempts = append(tr.attempts, a)
		return a
	}
	for name, do := range map[string]func(){
		"answered twice": func() {
			tr := mk(0)
			e.observer.requestAnswered(tr, answerRejected)
			e.observer.requestAnswered(tr, answerRejected)
		},
		"attempt after the answer":      func() { tr := mk(0); e.observer.requestAnswered(tr, answerRejected); send(tr, e.backends[0]) },
		"repeat in another dedup scope": func() { tr := mk(2); e.observer.attemptExecuted(send(tr, e.backends[0])); send(tr, e.backends[1]) },
		"rejected though possibly executed": func() {
			tr := mk(2)
			send(tr, e.backends[0])
			e.observer.requestAnswered(tr, answerRejected)
		},
		"attempt at a draining endpoint": func() {
			e.observer.endpointsUpdated(in, policy.UpdateDelta, []policy.Endpoint{{ID: "s005", State: policy.Draining}})
			e.now += 2100 * ms
			send(mk(0), e.backends[5])
		},
		"answered too late": func() { tr := mk(0); e.now += 1100 * ms; e.observer.requestAnswered(tr, answerFailed) },
		"backend collapsed": func() {
			s := e.startBackend("new", 3)
			for range 200 {
				s.recordWarmingWork(e, 100*ms, true)
			}
		},
	} {
		before := e.Result.ViolationCount
		do()
		if e.Result.ViolationCount == before {
			t.Errorf("%s: not reported", name)
		}
	}
}
