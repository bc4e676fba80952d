package lease

import (
	"testing"
	"time"
)

// nextRequest returns the client's next request with a command of kind op, or its next keepalive if op is empty.
func nextRequest(t *testing.T, client *Client, now time.Duration, op Op) Request {
	t.Helper()
	if op == "" {
		client.Refresh() // sends a keepalive even if one is in flight
	}
	requests, _ := client.Next(now)
	for _, request := range requests {
		if request.Command == nil && op == "" || request.Command != nil && request.Command.Op == op {
			return request
		}
	}
	t.Fatalf("no request with op %q in %+v", op, requests)
	return Request{}
}

// holdingClient returns a client whose lease "x" was granted at time 0, and the state machine that granted the lease.
func holdingClient(t *testing.T, timing Timing) (*Client, *StateMachine) {
	t.Helper()
	m := NewStateMachine()
	client := NewClient(timing, "a", "start")
	client.Acquire("x", 1)
	keepalive := nextRequest(t, client, 0, "")
	client.HandleResponse(Response{ID: keepalive.ID, Refusal: RefusedNoSession, LastID: m.LastID})
	for _, op := range []Op{OpOpen, OpAcquire} {
		request := nextRequest(t, client, 0, op)
		result := m.Apply(*request.Command)
		client.HandleResponse(Response{ID: request.ID, Result: &result})
	}
	return client, m
}

// TestValidityCountsFromSending checks that the validity counts from the sending of the keepalive, for a late response and for a duplicate
// too. Counting from the arrival would let the client act after the leader has expired its session.
func TestValidityCountsFromSending(t *testing.T) {
	timing := Timing{TTL: 10 * time.Second, MaxClockDrift: 0.01}
	client, m := holdingClient(t, timing)
	if _, _, ok := client.Token(0, "x"); ok {
		t.Fatal("the lease is valid before the first keepalive of the session has succeeded")
	}
	keepalive := nextRequest(t, client, time.Second, "")
	holdings, _ := m.HoldingsOf(client.SessionID(), 0)
	response := Response{ID: keepalive.ID, Holdings: &holdings}
	client.HandleResponse(response)
	_, until, ok := client.Token(9*time.Second, "x")
	if !ok || until != time.Second+timing.ClientTTL() {
		t.Errorf("the lease is valid until %v, want 1 s plus the client TTL of %v", until, timing.ClientTTL())
	}
	client.HandleResponse(response) // a late copy
	if _, _, ok := client.Token(20*time.Second, "x"); ok {
		t.Error("a late copy of the response made the lease valid again")
	}
}

// TestReleasedIsNotHeld checks that the client does not act on a lease after it has sent the release, whatever responses arrive later.
func TestReleasedIsNotHeld(t *testing.T) {
	client, m := holdingClient(t, Timing{TTL: 10 * time.Second})
	keepalive := nextRequest(t, client, 0, "")
	holdings, _ := m.HoldingsOf(client.SessionID(), 0)
	client.HandleResponse(Response{ID: keepalive.ID, Holdings: &holdings})
	if _, _, ok := client.Token(0, "x"); !ok {
		t.Fatal("the lease is not held after a successful keepalive")
	}
	client.Release("x", "")
	release := nextRequest(t, client, 0, OpRelease)
	client.Acquire("x", 1) // the lease is wanted again before the release is answered
	if _, _, ok := client.Token(0, "x"); ok {
		t.Fatal("the lease is valid while its release is in flight")
	}
	client.Refresh()
	secondKeepalive := nextRequest(t, client, 0, "")
	client.HandleResponse(Response{ID: secondKeepalive.ID, Holdings: &Holdings{Version: holdings.Version + 1, Tokens: holdings.Tokens}})
	if _, _, ok := client.Token(0, "x"); ok {
		t.Fatal("holdings from before the release made the lease valid again")
	}
	result := m.Apply(*release.Command)
	client.HandleResponse(Response{ID: release.ID, Result: &result})
	if acquire := nextRequest(t, client, 0, OpAcquire); acquire.Command.Name != "x" {
		t.Errorf("the request after the release is %+v, want OpAcquire for lease x", acquire)
	}
}

// TestRevokedIsNotHeld checks that the client stops acting on a lease once it receives holdings without the lease.
func TestRevokedIsNotHeld(t *testing.T) {
	client, m := holdingClient(t, Timing{TTL: 10 * time.Second})
	m.Apply(Command{Op: OpRevoke, Name: "x"})
	keepalive := nextRequest(t, client, 0, "")
	holdings, _ := m.HoldingsOf(client.SessionID(), 0)
	client.HandleResponse(Response{ID: keepalive.ID, Holdings: &holdings})
	if _, _, ok := client.Token(0, "x"); ok {
		t.Error("a revoked lease is valid")
	}
}

// TestClosedHoldsNothing checks that holdings which arrive after Close do not restore a lease. It reproduces a fault that the scenario
// tier-explore found with seed 10122.
func TestClosedHoldsNothing(t *testing.T) {
	client, m := holdingClient(t, Timing{TTL: 10 * time.Second})
	keepalive := nextRequest(t, client, 0, "")
	holdings, _ := m.HoldingsOf(client.SessionID(), 0)
	client.Close()
	nextRequest(t, client, 0, OpClose)
	client.HandleResponse(Response{ID: keepalive.ID, Holdings: &holdings})
	if _, _, ok := client.Token(0, "x"); ok || len(client.Held(0)) > 0 {
		t.Error("a lease is held after Close")
	}
}

// TestSuperseded checks that a client stops sending requests once a newer session of the same member has superseded its own.
func TestSuperseded(t *testing.T) {
	client, _ := holdingClient(t, Timing{TTL: 10 * time.Second})
	keepalive := nextRequest(t, client, 0, "")
	client.HandleResponse(Response{ID: keepalive.ID, Refusal: RefusedSuperseded})
	if requests, _ := client.Next(time.Minute); len(requests) != 0 || !client.Superseded() {
		t.Errorf("a superseded client sends %+v, want no requests, and Superseded must report true", requests)
	}
}
