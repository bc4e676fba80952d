package upstream

import (
	"context"
	"errors"
	"testing"
	"time"

	"heathstack/policy"
)

// none is a process without a free descriptor.
type none struct{}

func (none) Acquire(ctx context.Context) (func(), error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (none) Scarce() bool { return true }

// TestDescriptorShortageBlamesNobody guards against ejecting servers because this process has no descriptor left.
func TestDescriptorShortageBlamesNobody(t *testing.T) {
	up := New(policy.Config{DialTimeout: time.Second}, none{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := up.Connect(ctx, NewPeer("127.0.0.1:1", 0), time.Now().Add(time.Minute))
	var want NoDescriptor
	if !errors.As(err, &want) {
		t.Errorf("got %v, want NoDescriptor", err)
	}
}
