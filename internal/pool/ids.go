package pool

import (
	"time"

	"sorrelrudder/policy"
)

// maxClosedIDs bounds the ids that are remembered after their requests have ended.
const maxClosedIDs = 4096

// requestIDSet holds the ids of the requests that are open, and of those that ended lately. An upstream takes a second
// request with the id of one that it has for a repeat of it, so that the client who uses the id of another's request
// would run that one twice. A client that repeats an id of its own in that time is turned away too; the protocol asks
// for a new one with every request.
type requestIDSet struct {
	retention time.Duration // how long the id of an ended request is remembered
	ids       map[string]bool
	closed    []closedID // oldest first
}

type closedID struct {
	id       string
	closedAt policy.Time
}

func newRequestIDSet(keep time.Duration) requestIDSet {
	return requestIDSet{retention: keep, ids: map[string]bool{}}
}

// open notes the id of a new request, and reports whether it was free.
func (o *requestIDSet) open(now policy.Time, id string) bool {
	n := 0
	for n < len(o.closed) && (now-o.closed[n].closedAt > o.retention || len(o.closed)-n > maxClosedIDs) {
		delete(o.ids, o.closed[n].id)
		n++
	}
	o.closed = o.closed[n:] // append makes a new array when this one is used up
	if o.ids[id] {
		return false
	}
	o.ids[id] = true
	return true
}

// close notes that the request of id has ended.
func (o *requestIDSet) close(now policy.Time, id string) {
	o.closed = append(o.closed, closedID{id, now})
}
