package upstream

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestWaitForReuse guards against opening a connection, with a handshake for the server, where an idle one can be reused after a wait that is
// short for the server's response time, and against waiting where responses are fast.
func TestWaitForReuse(t *testing.T) {
	for name, test := range map[string]struct {
		responseTime time.Duration
		purpose      Purpose
		wantReuse    bool
	}{
		"slow responses":               {time.Second, ForRequest, true},
		"slow responses, health check": {time.Second, ForHealthCheck, false},
		"fast responses":               {time.Millisecond, ForRequest, false},
		"no response yet":              {0, ForRequest, false},
	} {
		t.Run(name, func(t *testing.T) {
			u, p, _ := testPool(t)
			if test.responseTime > 0 {
				p.responseTime.observe(test.responseTime)
			}
			c := mustConnect(t, u, p)
			u.PutIdle(c)
			idleSince := c.idleSince
			got := mustConnectFor(t, u, p, test.purpose)
			if reused := got == c; reused != test.wantReuse {
				t.Errorf("the connection was reused: %t, want %t", reused, test.wantReuse)
			}
			if idle := time.Since(idleSince); got == c && idle < minIdleBeforeReuse {
				t.Errorf("the connection was reused after %v, want at least %v", idle, minIdleBeforeReuse)
			}
		})
	}
}

// TestWaitReservesConnection guards against two requests that wait for the same connection.
func TestWaitReservesConnection(t *testing.T) {
	u, p, _ := testPool(t)
	p.responseTime.observe(time.Minute)
	c := mustConnect(t, u, p)
	u.PutIdle(c)
	if reserved := u.reserveResting(p); reserved != c {
		t.Fatal("the idle connection was not reserved")
	}
	if reserved := u.reserveResting(p); reserved != nil {
		t.Error("the connection was reserved twice")
	}
}

// TestWaitEndsWithSecondResponse guards against reusing a connection on which a second response arrived during the wait.
func TestWaitEndsWithSecondResponse(t *testing.T) {
	u, p, s := testPool(t)
	p.responseTime.observe(time.Minute)
	c := mustConnect(t, u, p)
	u.PutIdle(c)
	if _, err := (<-s.accepted).Write([]byte(response(200, "second"))); err != nil {
		t.Fatal(err)
	}
	if got := mustConnect(t, u, p); got == c {
		t.Error("the connection was reused with a response in it that no request asked for")
	}
}

// TestCanceledWait guards against an attempt that goes on after it was canceled while it waited for a connection.
func TestCanceledWait(t *testing.T) {
	u, p, _ := testPool(t)
	p.responseTime.observe(time.Minute)
	u.PutIdle(mustConnect(t, u, p))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := u.Connect(ctx, p, ForRequest, time.Now().Add(testTimeout)); !errors.Is(err, context.Canceled) {
		t.Errorf("Connect = %v, want context.Canceled", err)
	}
}
