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

// operatorName is the member name by which operators' connections introduce themselves.
const operatorName = "operator"

// Operator asks a running process, as an operator does.
type Operator struct {
	conn       *conn
	lastHandle uint64
}

// Connect connects to the process at address.
func Connect(ctx context.Context, address, secretFile string) (*Operator, error) {
	secret, err := os.ReadFile(secretFile)
	if err != nil {
		return nil, fmt.Errorf("the tier's secret: %w", err)
	}
	c, err := dial(ctx, address, secret, hello{Name: operatorName})
	if err != nil {
		return nil, err
	}
	return &Operator{conn: c}, nil
}

// Close closes the connection.
func (o *Operator) Close() error { return o.conn.Close() }

func (o *Operator) request(ctx context.Context, q consensus.Request) (rpc, error) {
	return o.roundTrip(ctx, rpc{Request: q})
}

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
			return rpc{}, fmt.Errorf("no answer of the process: %w", err)
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

// ErrNoLeader is what a process says that reaches no leader of the council.
var ErrNoLeader = errors.New("the council has no leader that this process reaches: it has lost its majority, or elects one just now")

// retryPause is between two tries of an operator's request while the council elects a leader.
const retryPause = 100 * time.Millisecond

// Request asks the council, by the process' own ways, until ctx ends: while a leader is elected there is nobody to answer.
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

// Command gives an order, or takes it back, in a way that has no second effect: a copy of an earlier word that comes late changes nothing.
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
		next, again := c.Rebase(r.Decision)
		switch {
		case again && ctx.Err() == nil:
			c = next
		case r.Decision.Refusal == consensus.RefusedConflict:
			return r.Decision, nil // it is in force
		default:
			return nil, errors.New(r.Decision.Refusal)
		}
	}
}

// Status asks the process what it knows itself.
func (o *Operator) Status(ctx context.Context) (*Status, error) {
	a, err := o.request(ctx, consensus.Request{Status: true})
	if err == nil && a.Status == nil {
		err = errors.New("the process tells no status")
	}
	return a.Status, err
}

// HoldLease takes a lease for whoever calls it, as a process of the fleet would: it calls held with the token each time that it has it, and
// returns once ctx ends, after it has given the lease up, or with an error once the lease was lost. Of limit holders there may be at
// once; all must name the same.
func (o *Operator) HoldLease(ctx context.Context, name string, limit int, r lease.Timing, held func(token uint64)) error {
	clock, err := NewClock()
	if err != nil {
		return err
	}
	k := lease.NewClient(r, operatorName+"/"+uuid.NewString(), uuid.NewString())
	k.Acquire(name, limit)
	has := uint64(0)
	for {
		now := clock.Now()
		if ctx.Err() != nil {
			k.Close()
		}
		if k.Closed() || ctx.Err() != nil && k.SessionID() == 0 {
			return nil
		}
		asks, at := k.Next(now)
		for _, a := range asks {
			asking, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.TTL)
			res, err := o.Request(asking, consensus.Request{Lease: &a})
			cancel()
			if err != nil && !errors.Is(err, ErrNoLeader) {
				return err
			}
			if res.Lease != nil {
				k.HandleResponse(clock.Now(), *res.Lease)
			}
		}
		token, _, ok := k.Token(clock.Now(), name)
		switch {
		case has != 0 && (!ok || token != has) && ctx.Err() == nil:
			return fmt.Errorf("the lease %q is lost", name)
		case ok && has == 0:
			has = token
			held(token)
		}
		wait := min(clock.Real(at-clock.Now()), r.KeepAliveInterval()/4)
		if len(asks) > 0 {
			wait = 0 // its answer may want more to be asked
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

// perform has the very process that is asked do something, and says why it did not.
func (o *Operator) perform(ctx context.Context, q rpc) error {
	a, err := o.roundTrip(ctx, q)
	if err == nil && a.Why != "" {
		err = errors.New(a.Why)
	}
	return err
}

// Bootstrap has the process found its fleet, whose council is in memory.
func (o *Operator) Bootstrap(ctx context.Context) error {
	return o.perform(ctx, rpc{Found: true})
}

// Handover has the process, which holds a lease, give it to a member as soon as nothing of it is out.
func (o *Operator) Handover(ctx context.Context, name, to string) error {
	return o.perform(ctx, rpc{Handover: &handoverRequest{name, to}})
}

// Forget has the process take back what it says under a key.
func (o *Operator) Forget(ctx context.Context, key string) error {
	return o.perform(ctx, rpc{Forget: key})
}
