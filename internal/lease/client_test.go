package lease

import (
	"testing"
	"time"
)

// nextRequest returns the request of a kind among those that the client sends now; an empty op is a keepalive.
func nextRequest(t *testing.T, client *Client, now time.Duration, op Op) Request {
	t.Helper()
	if op == "" {
		client.Refresh() // a keepalive may be under way already
	}
	requests, _ := client.Next(now)
	for _, a := range requests {
		if a.Command == nil && op == "" || a.Command != nil && a.Command.Op == op {
			return a
		}
	}
	t.Fatalf("no %q among %+v", op, requests)
	return Request{}
}

// holdingClient returns a client that holds "x" since 0, and the state machine that granted it.
func holdingClient(t *testing.T, r Timing) (*Client, *StateMachine) {
	t.Helper()
	m := NewStateMachine()
	client := NewClient(r, "a", "start")
	client.Acquire("x", 1)
	look := nextRequest(t, client, 0, "")
	client.HandleResponse(Response{ID: look.ID, Refusal: RefusedNoSession, LastID: m.LastID})
	for _, op := range []Op{OpOpen, OpAcquire} {
		a := nextRequest(t, client, 0, op)
		res := m.Apply(*a.Command)
		client.HandleResponse(Response{ID: a.ID, Result: &res})
	}
	return client, m
}

// TestValidityCountsFromSending: however late an answer comes, and however often, it counts from when it was asked for.
func TestValidityCountsFromSending(t *testing.T) {
	r := Timing{TTL: 10 * time.Second, MaxClockDrift: 0.01}
	client, m := holdingClient(t, r)
	if _, _, ok := client.Token(0, "x"); ok {
		t.Fatal("it acts before its session was ever renewed")
	}
	keepalive := nextRequest(t, client, time.Second, "")
	holdings, _ := m.HoldingsOf(client.SessionID(), 0)
	answer := Response{ID: keepalive.ID, Holdings: &holdings}
	client.HandleResponse(answer)
	_, until, ok := client.Token(9*time.Second, "x")
	if !ok || until != time.Second+r.ClientTTL() {
		t.Errorf("until %v, asked at 1 s with a client TTL of %v", until, r.ClientTTL())
	}
	client.HandleResponse(answer) // a late copy
	if _, _, ok := client.Token(20*time.Second, "x"); ok {
		t.Error("a late copy of the answer has it act again")
	}
}

// TestReleasedIsNotHeld: from the moment that a release is asked nothing is done, whatever becomes of the asking.
func TestReleasedIsNotHeld(t *testing.T) {
	client, m := holdingClient(t, Timing{TTL: 10 * time.Second})
	keepalive := nextRequest(t, client, 0, "")
	holdings, _ := m.HoldingsOf(client.SessionID(), 0)
	client.HandleResponse(Response{ID: keepalive.ID, Holdings: &holdings})
	if _, _, ok := client.Token(0, "x"); !ok {
		t.Fatal("not held")
	}
	client.Release("x", "")
	release := nextRequest(t, client, 0, OpRelease)
	client.Acquire("x", 1) // it is wanted again before the answer
	if _, _, ok := client.Token(0, "x"); ok {
		t.Fatal("it acts while its release is under way")
	}
	client.Refresh()
	again := nextRequest(t, client, 0, "")
	client.HandleResponse(Response{ID: again.ID, Holdings: &Holdings{Version: holdings.Version + 1, Tokens: holdings.Tokens}})
	if _, _, ok := client.Token(0, "x"); ok {
		t.Fatal("holdings from before the release have it act")
	}
	res := m.Apply(*release.Command)
	client.HandleResponse(Response{ID: release.ID, Result: &res})
	if a := nextRequest(t, client, 0, OpAcquire); a.Command.Name != "x" {
		t.Errorf("%+v", a)
	}
}

// TestRevokedIsNotHeld: holdings without the lease end the holder's right.
func TestRevokedIsNotHeld(t *testing.T) {
	client, m := holdingClient(t, Timing{TTL: 10 * time.Second})
	m.Apply(Command{Op: OpRevoke, Name: "x"})
	a := nextRequest(t, client, 0, "")
	holdings, _ := m.HoldingsOf(client.SessionID(), 0)
	client.HandleResponse(Response{ID: a.ID, Holdings: &holdings})
	if _, _, ok := client.Token(0, "x"); ok {
		t.Error("it acts on a revoked lease")
	}
}

// TestClosedHoldsNothing: holdings that arrive while all is given up must not bring a lease back (found by tier-explore, seed 10122).
func TestClosedHoldsNothing(t *testing.T) {
	client, m := holdingClient(t, Timing{TTL: 10 * time.Second})
	a := nextRequest(t, client, 0, "")
	holdings, _ := m.HoldingsOf(client.SessionID(), 0)
	client.Close()
	nextRequest(t, client, 0, OpClose)
	client.HandleResponse(Response{ID: a.ID, Holdings: &holdings})
	if _, _, ok := client.Token(0, "x"); ok || len(client.Held(0)) > 0 {
		t.Error("it acts on what it has given up")
	}
}

// TestSuperseded: the older of two processes of one name requests no more.
func TestSuperseded(t *testing.T) {
	client, _ := holdingClient(t, Timing{TTL: 10 * time.Second})
	a := nextRequest(t, client, 0, "")
	client.HandleResponse(Response{ID: a.ID, Refusal: RefusedSuperseded})
	if requests, _ := client.Next(time.Minute); len(requests) != 0 || !client.Superseded() {
		t.Errorf("%+v", requests)
	}
}
