package sidecar

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// spareSockets are descriptors that are not counted: the listener, discovery, the log, the runtime's poller.
	spareSockets = 16
	// clientShare is the part of the sockets that clients may hold: more than the third that those with requests
	// need, since others connect too. The rest is always left for upstreams, so that requests which were taken can
	// be answered, and for their further attempts and probes.
	clientShare = 0.45
	// scarceShare is the part in use from which idle connections are not kept.
	scarceShare = 0.9
	// socketRetry is how often one that waits for a descriptor looks for idle connections to close.
	socketRetry = 10 * time.Millisecond
)

// sockets counts the descriptors of connections. Near the limit idle connections make room: those to
// upstreams first, then those of clients. Beyond it work waits.
type sockets struct {
	all     chan struct{}
	clients chan struct{}
	waiting atomic.Int32
	evict   []func() bool // each closes an idle connection and reports whether there was one
}

func newSockets(limit int) *sockets {
	n := limit - spareSockets
	return &sockets{all: make(chan struct{}, n), clients: make(chan struct{}, max(1, int(float64(n)*clientShare)))}
}

// acquire takes a descriptor, and returns the function that gives it back.
func (s *sockets) acquire(ctx context.Context) (release func(), err error) {
	if err := s.take(ctx, s.all, s.evict); err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { <-s.all }), nil
}

// acquireClient takes a descriptor for a client's connection.
func (s *sockets) acquireClient(ctx context.Context) (release func(), err error) {
	if err := s.take(ctx, s.clients, s.evict[1:]); err != nil {
		return nil, err
	}
	if err := s.take(ctx, s.all, s.evict); err != nil {
		<-s.clients
		return nil, err
	}
	return sync.OnceFunc(func() { <-s.all; <-s.clients }), nil
}

func (s *sockets) take(ctx context.Context, from chan struct{}, evict []func() bool) error {
	select {
	case from <- struct{}{}:
		return nil
	default:
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	for {
		for _, e := range evict {
			if e() {
				break
			}
		}
		retry := time.NewTimer(socketRetry)
		select {
		case from <- struct{}{}:
			retry.Stop()
			return nil
		case <-ctx.Done():
			retry.Stop()
			return fmt.Errorf("no free descriptor: %w", ctx.Err())
		case <-retry.C:
		}
	}
}

// scarce reports whether descriptors are so few that idle connections should not be kept.
func (s *sockets) scarce() bool {
	return s.waiting.Load() > 0 && len(s.all) > int(scarceShare*float64(cap(s.all))) || len(s.all) == cap(s.all)
}
