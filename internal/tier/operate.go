package tier

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"sorrelrudder/internal/council"
)

func contextFor(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}

// Operator asks a running process, as an operator does.
type Operator struct {
	c    *conn
	last uint64
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
	return &Operator{c: c}, nil
}

// Close closes the connection.
func (o *Operator) Close() error { return o.c.Close() }

func (o *Operator) ask(ctx context.Context, q council.Request) (asked, error) {
	o.last++
	data, err := json.Marshal(asked{Handle: o.last, Request: q})
	if err != nil {
		return asked{}, err
	}
	stop := context.AfterFunc(ctx, func() { o.c.SetReadDeadline(time.Now()) })
	defer stop()
	if err := o.c.write(kindAsk, data); err != nil {
		return asked{}, err
	}
	for {
		kind, payload, err := o.c.read(mostFrame)
		if err != nil {
			if ctx.Err() != nil {
				err = ctx.Err()
			}
			return asked{}, fmt.Errorf("no answer of the process: %w", err)
		}
		var a asked
		if kind != kindAnswer {
			continue
		}
		if err := json.Unmarshal(payload, &a); err != nil {
			return asked{}, err
		}
		if a.Handle == o.last {
			return a, nil
		}
	}
}

// ErrNoCouncil is what a process says that reaches no leader of the council.
var ErrNoCouncil = errors.New("the council has no leader that this process reaches: it has lost its majority, or elects one just now")

// Ask asks the council, by the process' own ways.
func (o *Operator) Ask(ctx context.Context, q council.Request) (council.Response, error) {
	a, err := o.ask(ctx, q)
	if err == nil && a.Response.Elsewhere {
		err = ErrNoCouncil
	}
	return a.Response, err
}

// Status asks the process what it knows itself.
func (o *Operator) Status(ctx context.Context) (*Status, error) {
	a, err := o.ask(ctx, council.Request{State: true})
	if err == nil && a.Status == nil {
		err = errors.New("the process tells no status")
	}
	return a.Status, err
}
