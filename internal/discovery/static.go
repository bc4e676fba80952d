package discovery

import (
	"context"
	"sync"
)

// Static is a list that the operator wrote down. It may be replaced while it is watched.
type Static struct {
	mu      sync.Mutex
	list    *List
	changed chan struct{} // closed, and made anew, with each new list
}

// NewStatic returns a source that tells of the servers given.
func NewStatic(hosts []Entry) *Static {
	s := &Static{changed: make(chan struct{}), list: &List{Seq: new(int64)}}
	s.Set(hosts)
	return s
}

// Set replaces the list.
func (s *Static) Set(hosts []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := *s.list.Seq + 1
	s.list = &List{Seq: &seq, Whole: true, Hosts: hosts}
	close(s.changed)
	s.changed = make(chan struct{})
}

// List is the list as it stands.
func (s *Static) List() *List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// Watch is the method of Source.
func (s *Static) Watch(ctx context.Context, _ int64, tell func(*List)) error {
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
