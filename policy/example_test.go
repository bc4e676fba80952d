package policy_test

import (
	"fmt"
	"time"

	"sorrelrudder/policy"
)

// printer is an implementation of policy.Actions that prints the actions.
type printer struct{}

func (printer) StartAttempt(id policy.RequestID, endpointID policy.EndpointID, d time.Duration) {
	fmt.Println("send", id, "to", endpointID, "within", d)
}
func (printer) Reject(id policy.RequestID, _ time.Duration)    { fmt.Println("refuse", id) }
func (printer) Fail(id policy.RequestID)                       { fmt.Println("fail", id) }
func (printer) CancelAttempt(id policy.RequestID, attempt int) { fmt.Println("cancel", id, attempt) }
func (printer) SetTimer(time.Duration, string)                 {}
func (printer) CheckHealth(endpointID policy.EndpointID)       { fmt.Println("probe", endpointID) }
func (printer) WatchEndpoints(on bool)                         { fmt.Println("watch", on) }
func (printer) Log(text string)                                { fmt.Println(text) }

func Example() {
	b, err := policy.New(policy.Config{
		InstanceCount: 1, MaxAttempts: 3, EndpointsPushed: true, CancellationAllowed: true, TimerResolution: 5 * time.Millisecond,
		Classes: []policy.Class{
			{Name: "lookup", LatencyObjective: 250 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
		},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	b.UpdateEndpoints(now, policy.UpdateFull, []policy.Endpoint{{ID: "10.0.0.1:80"}}, printer{})
	b.HandleRequest(now, policy.Request{ID: 1, Class: "lookup", Expires: now + time.Second}, printer{})
	now += 40 * time.Millisecond
	b.HandleAttemptResult(now, policy.AttemptResult{ID: 1, Endpoint: "10.0.0.1:80", Status: policy.StatusOK, RequestEnded: true}, printer{})
	// Output:
	// send 1 to 10.0.0.1:80 within 245ms
}
