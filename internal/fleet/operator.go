package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/lease"

	"github.com/google/uuid"
)

// operatorName is the name in the hello of an operator's connection.
const operatorName = "operator"

// Operator is an operator's connection to a running process of a fleet. It is not safe for concurrent use.
type Operator struct {
	conn       *conn
	lastHandle uint64
}

// Connect connects to the process at address with the fleet's secret, which is read from secretFile.
func Connect(ctx context.Context, address, secretFile string) (*Operator, error) {
	secret, err := os.ReadFile(secretFile)
	if err != nil {
		return nil, fmt.Errorf("reading the fleet secret: %w", err)
	}
	c, err := dial(ctx, address, secret, hello{Name: operatorName})
	if err != nil {
		return nil, err
	}
	return &Operator{conn: c}, nil
}

// Close closes the connection.
func (o *Operator) Close() error { return o.conn.Close() }

// request sends a request once and returns the response.
func (o *Operator) request(ctx context.Context, q consensus.Request) (rpc, error) {
	return o.roundTrip(ctx, rpc{Request: q})
}

// roundTrip sends q and waits for its response until ctx ends.
func (o *Operator) roundTrip(ctx context.Context, q rpc) (rpc, error) {
	o.lastHandle++
	q.Handle = o.lastHandle
	data, err := json.Marshal(q)
	if err != nil {
		return rpc{}, err
	}
	stop := context.AfterFunc(ctx, func() { o.conn.SetReadDeadline(time.Now()) })
	defer stop()
	if err := o.conn.write(kindRequest, data); err != nil {
		return rpc{}, err
	}
	for {
		kind, payload, err := o.conn.read(maxFrameBytes)
		if err != nil {
			if ctx.Err() != nil {
				err = ctx.Err()
			}
			return rpc{}, fmt.Errorf("waiting for the response of the fleet member: %w", err)
		}
		var a rpc
		if kind != kindResponse {
			continue
		}
		if err := json.Unmarshal(payload, &a); err != nil {
			return rpc{}, err
		}
		if a.Handle == o.lastHandle {
			return a, nil
		}
	}
}

// ErrNoLeader means that the process reached no leader of the consensus group in time. The command may have taken effect nevertheless.
var ErrNoLeader = errors.New("the fleet member reaches no leader of the consensus group: the group has lost its majority or is electing a leader")

// retryPause is the time between two attempts of an operator's request while a leader is being elected.
const retryPause = 100 * time.Millisecond

// Request sends a request to the leader by way of the process. While there is no leader, it repeats the request until ctx ends. The error
// is then ErrNoLeader.
func (o *Operator) Request(ctx context.Context, q consensus.Request) (consensus.Response, error) {
	defer o.conn.SetReadDeadline(time.Time{})
	for {
		a, err := o.request(ctx, q)
		if err != nil || !a.Response.NotLeader {
			return a.Response, err
		}
		select {
		case <-ctx.Done():
			return a.Response, ErrNoLeader
		case <-time.After(retryPause):
		}
	}
}

// Command records or withdraws an operator's decision. The command is conditional on the previous decision, so that a copy that arrives
// late changes nothing. After a conflict with a decision that already has the wanted effect, Command succeeds without a change: an earlier
// copy was applied and its response lost, or others have decided the same. After any other conflict, the command is rebased on the current
// decision, and so replaces it. A withdrawal without a conflict is refused if there is nothing to withdraw. The error is ErrNoLeader, an
// error of the connection, or the reason for the refusal.
func (o *Operator) Command(ctx context.Context, c consensus.DecisionCommand) (*consensus.DecisionResult, error) {
	c.Conditional = true
	for {
		r, err := o.Request(ctx, consensus.Request{Decision: &c})
		if err != nil {
			return nil, err
		}
		if r.Decision == nil {
			return nil, ErrNoLeader
		}
		if r.Decision.Refusal == "" {
			return r.Decision, nil
		}
		next, retry := c.Rebase(r.Decision)
		switch {
		case retry && ctx.Err() == nil:
			c = next
		case r.Decision.Refusal == consensus.RefusedConflict:
			return r.Decision, nil // the decision is in force already
		default:
			return nil, r.Decision.Refusal.Err()
		}
	}
}

// Status returns the status of the process. The process answers without requests to other members.
func (o *Operator) Status(ctx context.Context) (*Status, error) {
	a, err := o.request(ctx, consensus.Request{Status: true})
	if err == nil && a.Status == nil {
		err = errors.New("the response of the fleet member contains no status")
	}
	return a.Status, err
}

// ErrLeaseLost is wrapped by the error of HoldLease if the lease was lost before ctx ended.
var ErrLeaseLost = errors.New("lease lost before its release")

// HoldLease acquires a lease in a session of its own and calls held with the fencing token once the lease is held. It renews the lease
// until ctx ends, then releases the lease and returns nil. The error wraps ErrLeaseLost if the lease was lost before. At most limit holders
// have the lease at once. All holders must pass the same limit.
func (o *Operator) HoldLease(ctx context.Context, name string, limit int, r lease.Timing, held func(token uint64)) error {
	clock, err := NewClock()
	if err != nil {
		return err
	}
	holder := &operatorLease{
		operator: o,
		clock:    clock,
		timing:   r,
		name:     name,
		session:  lease.NewClient(r, operatorName+"/"+uuid.NewString(), uuid.NewString()),
		onHeld:   held,
	}
	holder.session.Acquire(name, limit)
	for {
		if ctx.Err() != nil {
			holder.session.Close()
		}
		if holder.session.Closed() || ctx.Err() != nil && holder.session.SessionID() == 0 {
			return nil
		}
		wait, err := holder.renew(ctx)
		if err != nil {
			return err
		}
		select {
		case <-time.After(max(wait, time.Millisecond)):
		case <-ctx.Done():
			if wait > 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}
}

// operatorLease is a lease that is held over an operator's connection.
type operatorLease struct {
	operator *Operator
	clock    *Clock
	timing   lease.Timing
	name     string
	session  *lease.Client
	onHeld   func(token uint64)
	token    uint64 // 0: not held yet
}

// renew sends the due requests of the session and returns how long to wait before the next call.
func (l *operatorLease) renew(ctx context.Context) (time.Duration, error) {
	requests, at := l.session.Next(l.clock.Now())
	for _, request := range requests {
		if err := l.send(ctx, request); err != nil {
			return 0, err
		}
	}
	token, _, held := l.session.Token(l.clock.Now(), l.name)
	switch {
	case l.token != 0 && (!held || token != l.token) && ctx.Err() == nil:
		return 0, fmt.Errorf("holding lease %q: %w", l.name, ErrLeaseLost)
	case held && l.token == 0:
		l.token = token
		l.onHeld(token)
	}
	if len(requests) > 0 {
		return 0, nil // the responses may make further requests due
	}
	return min(l.clock.Real(at-l.clock.Now()), l.timing.KeepAliveInterval()/4), nil
}

// send sends one request of the session. It does so even after ctx has ended, since the lease must still be released. If there is no leader
// for a TTL, the request is dropped and the lease is lost.
func (l *operatorLease) send(ctx context.Context, request lease.Request) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.timing.TTL)
	defer cancel()
	response, err := l.operator.Request(ctx, consensus.Request{Lease: &request})
	if err != nil && !errors.Is(err, ErrNoLeader) {
		return err
	}
	if response.Lease != nil {
		l.session.HandleResponse(*response.Lease)
	}
	return nil
}

// perform sends a request that the process itself carries out, and returns the error in the response.
func (o *Operator) perform(ctx context.Context, q rpc) error {
	a, err := o.roundTrip(ctx, q)
	if err == nil && a.Why != "" {
		err = errors.New(a.Why)
	}
	return err
}

// Bootstrap makes the process the first voter of a new fleet whose voters keep their state in memory.
func (o *Operator) Bootstrap(ctx context.Context) error {
	return o.perform(ctx, rpc{Bootstrap: true})
}

// Handover makes the process transfer a lease that it holds to the member named to, once the task of the lease has no request in flight.
// Handover does not wait for the transfer.
func (o *Operator) Handover(ctx context.Context, name, to string) error {
	return o.perform(ctx, rpc{Handover: &handoverRequest{name, to}})
}

// Forget makes the process withdraw the entry that it has written under a key of the shared state.
func (o *Operator) Forget(ctx context.Context, key string) error {
	return o.perform(ctx, rpc{Forget: key})
}
