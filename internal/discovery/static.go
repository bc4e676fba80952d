package discovery

import (
	"context"
	"sync"
)

// Static is a list that the operator wrote down. It may be replaced while it is watched.
type Static struct {
	mu      sync.Mutex
	list    *EndpointList
	changed chan struct{} // closed, and made anew, with each new list
}

// NewStatic returns a source that tells of the servers given.
func NewStatic(hosts []Endpoint) *Static {
	s := &Static{changed: make(chan struct{}), list: &EndpointList{Version: new(int64)}}
	s.Set(hosts)
	return s
}

// Set replaces the list.
func (s *Static) Set(hosts []Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := *s.list.Version + 1
	s.list = &EndpointList{Version: &seq, Complete: true, Endpoints: hosts}
	close(s.changed)
	s.changed = make(chan struct{})
}

// List is the list as it stands.
func (s *Static) List() *EndpointList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// Watch is the method of Source.
func (s *Static) Watch(ctx context.Context, _ int64, tell func(*EndpointList)) error {
	for {
		s.mu.Lock()
		l, changed := s.list, s.changed
		s.mu.Unlock()
		tell(l)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
