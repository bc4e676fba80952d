package discovery

import (
	"context"
	"sync"
)

// Static is an endpoint list of the operator's. It implements Source; the list may be replaced while it is watched.
type Static struct {
	// mu guards both fields. The list itself is never changed, but replaced.
	mu      sync.Mutex
	list    *EndpointList
	changed chan struct{} // closed, and made anew, with each new list
}

// NewStatic returns a source of the endpoints given.
func NewStatic(endpoints []Endpoint) *Static {
	s := &Static{changed: make(chan struct{}), list: &EndpointList{Version: new(int64)}}
	s.Set(endpoints)
	return s
}

// Set replaces the list.
func (s *Static) Set(endpoints []Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := *s.list.Version + 1
	s.list = &EndpointList{Version: &version, Complete: true, Endpoints: endpoints}
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the list as it stands.
func (s *Static) List() *EndpointList {
	list, _ := s.current()
	return list
}

// current returns the list and a channel that is closed once it has been replaced.
func (s *Static) current() (list *EndpointList, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list, s.changed
}

// Watch implements Source. It sends the complete list each time.
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
