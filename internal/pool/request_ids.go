package pool

import (
	"time"

	"sorrelrudder/policy"
)

// maxClosedIDs bounds the number of ids of ended requests that are kept.
const maxClosedIDs = 4096

// requestIDSet holds the X-Request-IDs of open requests and of requests that ended recently. Endpoints treat a second request with the
// same id as a retry of the first. Without this set, a client that uses the id of another client's request would have that request
// executed twice.
type requestIDSet struct {
	retention time.Duration // how long the id of an ended request is kept
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

// open adds the id of a new request. It returns false if a request with the id is open or ended recently.
func (s *requestIDSet) open(now policy.Time, id string) bool {
	s.expire(now)
	if s.ids[id] {
		return false
	}
	s.ids[id] = true
	return true
}

// expire drops the closed ids that are older than the retention, and the oldest ones in excess of maxClosedIDs.
func (s *requestIDSet) expire(now policy.Time) {
	n := 0
	for n < len(s.closed) && (now-s.closed[n].closedAt > s.retention || len(s.closed)-n > maxClosedIDs) {
		delete(s.ids, s.closed[n].id)
		n++
	}
	s.closed = s.closed[n:] // append moves the rest to a new array when this one is full
}

// close records that the request with the given id has ended.
func (s *requestIDSet) close(now policy.Time, id string) {
	s.closed = append(s.closed, closedID{id: id, closedAt: now})
}
