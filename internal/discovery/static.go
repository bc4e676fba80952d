package discovery

import (
	"context"
	"sync"
)

// Static is an endpoint list that the operator configures. It implements Source. Its methods may be called concurrently, so the list may be
// replaced while it is watched.
type Static struct {
	// mu guards both fields. A list is immutable; Set replaces it.
	mu      sync.Mutex
	list    *EndpointList
	changed chan struct{} // closed and replaced with each new list
}

// NewStatic returns a source of the given endpoints.
func NewStatic(endpoints []Endpoint) *Static {
	s := &Static{changed: make(chan struct{}), list: &EndpointList{Version: new(int64)}}
	s.Set(endpoints)
	return s
}

// Set replaces the list and notifies all watches.
func (s *Static) Set(endpoints []Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := *s.list.Version + 1
	s.list = &EndpointList{Version: &version, Complete: true, Endpoints: endpoints}
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the current list. It must not be modified.
func (s *Static) List() *EndpointList {
	list, _ := s.current()
	return list
}

// current returns the list and a channel that is closed once the list is replaced.
func (s *Static) current() (list *EndpointList, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list, s.changed
}

// Watch implements Source. Each message is the complete list.
func (s *Static) Watch(ctx context.Context, _ int64, receive func(*EndpointList)) error {
	for {
		list, changed := s.current()
		receive(list)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
