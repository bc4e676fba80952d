package pool

import (
	"time"

	"sorrelrudder/policy"
)

// maxClosedIDs bounds the ids that are remembered after their requests have ended.
const maxClosedIDs = 4096

// requestIDSet holds the X-Request-IDs of open requests and of those that ended lately. Endpoints take a second request with the same
// id for a retry of the first: without this set a client that uses another's id would have that request executed twice.
type requestIDSet struct {
	retention time.Duration // how long the id of an ended request is remembered
	ids       map[string]bool
	closed    []closedID // oldest first
}

// closedID is the id of a request that has ended.
type closedID struct {
	id       string
	closedAt policy.Time
}

func newRequestIDSet(retention time.Duration) requestIDSet {
	return requestIDSet{retention: retention, ids: map[string]bool{}}
}

// open adds the id of a new request, and reports whether it was free.
func (s *requestIDSet) open(now policy.Time, id string) bool {
	s.expire(now)
	if s.ids[id] {
		return false
	}
	s.ids[id] = true
	return true
}

// expire drops the closed ids that are older than the retention, or too many.
func (s *requestIDSet) expire(now policy.Time) {
	n := 0
	for n < len(s.closed) && (now-s.closed[n].closedAt > s.retention || len(s.closed)-n > maxClosedIDs) {
		delete(s.ids, s.closed[n].id)
		n++
	}
	s.closed = s.closed[n:] // append makes a new array when this one is used up
}

// close notes that the request of id has ended.
func (s *requestIDSet) close(now policy.Time, id string) {
	s.closed = append(s.closed, closedID{id: id, closedAt: now})
}
