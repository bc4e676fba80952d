package policy_test

import (
	"fmt"
	"time"

	"sorrelrudder/policy"
)

// printer is a host that prints what it is asked to do.
type printer struct{}

func (printer) Send(id policy.RequestID, s policy.ServerID, d time.Duration) {
	fmt.Println("send", id, "to", s, "within", d)
}
func (printer) Refuse(id policy.RequestID, d time.Duration) { fmt.Println("refuse", id) }
func (printer) Fail(id policy.RequestID)                    { fmt.Println("fail", id) }
func (printer) Cancel(id policy.RequestID, attempt int)     { fmt.Println("cancel", id, attempt) }
func (printer) SetTimer(d time.Duration, token string)      {}
func (printer) Probe(s policy.ServerID)                     { fmt.Println("probe", s) }
func (printer) Watch(on bool)                               { fmt.Println("watch", on) }
func (printer) Log(text string)                             { fmt.Println(text) }

func Example() {
	b, err := policy.New(policy.Config{
		GroupSize: 1, MaxAttempts: 3, Pushed: true, MayCancel: true, Tick: 5 * time.Millisecond,
		Classes: []policy.Class{
			{Name: "lookup", Aim: 250 * time.Millisecond, Deadline: time.Second, Worth: 1},
		},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	b.Members(now, policy.ListFull, []policy.Server{{ID: "10.0.0.1:80"}}, printer{})
	b.Request(now, policy.Request{ID: 1, Class: "lookup", Expires: now + time.Second}, printer{})
	now += 40 * time.Millisecond
	b.Outcome(now, policy.Outcome{ID: 1, Server: "10.0.0.1:80", Status: policy.OK, Closed: true}, printer{})
	// Output:
	// send 1 to 10.0.0.1:80 within 245ms
}
