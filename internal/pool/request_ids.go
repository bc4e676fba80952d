package pool

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"sorrelrudder/policy"
)

const (
	// maxClosedIDs bounds the number of ids of ended requests that are kept.
	maxClosedIDs = 4096
	// maxEffectIDs bounds the number of ids of requests with an effect that are kept. It is larger, since each such id may have run.
	maxEffectIDs = 1 << 16
	// effectRetention is how long the id of a request with an effect is kept.
	effectRetention = time.Minute
)

// requestIDSet holds the X-Request-IDs of open requests and of requests that ended recently. Endpoints treat a second request with the
// same id as a retry of the first. Without this set, a client that uses the id of another client's request would have that request
// executed twice.
type requestIDSet struct {
	recent recentIDs // of all requests
	// effects has the requests that may have an effect. Their ids are kept apart, so that a client that sends many others cannot drive them out.
	effects recentIDs
}

func newRequestIDSet(retention time.Duration) requestIDSet {
	return requestIDSet{
		recent:  newRecentIDs(retention, maxClosedIDs),
		effects: newRecentIDs(max(retention, effectRetention), maxEffectIDs),
	}
}

// of returns the ids among which that of a request is kept.
func (s *requestIDSet) of(hasEffect bool) *recentIDs {
	if hasEffect {
		return &s.effects
	}
	return &s.recent
}

// open adds the id of a new request. It returns false if a request with the id is open or ended recently.
func (s *requestIDSet) open(now policy.Time, id string, hasEffect bool) bool {
	if s.of(!hasEffect).contains(now, id) {
		return false
	}
	return s.of(hasEffect).open(now, id)
}

// close records that the request with the given id has ended. The id of a request that surely had no effect is kept no longer than others.
func (s *requestIDSet) close(now policy.Time, id string, hasEffect, mayHaveExecuted bool) {
	if hasEffect && !mayHaveExecuted {
		s.effects.forget(id)
		s.recent.open(now, id)
		hasEffect = false
	}
	s.of(hasEffect).close(now, id)
}

// idHash stands for an id. It takes less memory, and is the same in each process. Two ids of one hash are taken for one.
type idHash uint64

func hashID(id string) idHash {
	sum := sha256.Sum256([]byte(id))
	return idHash(binary.LittleEndian.Uint64(sum[:]))
}

// recentIDs holds the hashes of ids.
type recentIDs struct {
	retention time.Duration // how long the id of an ended request is kept
	limit     int           // of closed
	ids       map[idHash]struct{}
	closed    []closedID // oldest first
}

// closedID is the id of a request that has ended.
type closedID struct {
	hash     idHash
	closedAt policy.Time
}

func newRecentIDs(retention time.Duration, limit int) recentIDs {
	return recentIDs{retention: retention, limit: limit, ids: map[idHash]struct{}{}}
}

// contains reports whether a request with the id is open or ended recently.
func (s *recentIDs) contains(now policy.Time, id string) bool {
	s.expire(now)
	_, known := s.ids[hashID(id)]
	return known
}

// open adds the id of a new request. It returns false if the id is there.
func (s *recentIDs) open(now policy.Time, id string) bool {
	if s.contains(now, id) {
		return false
	}
	s.ids[hashID(id)] = struct{}{}
	return true
}

// forget drops the id of an open request.
func (s *recentIDs) forget(id string) { delete(s.ids, hashID(id)) }

// expire drops the closed ids that are older than the retention, and the oldest ones in excess of the limit.
func (s *recentIDs) expire(now policy.Time) {
	n := 0
	for n < len(s.closed) && (now-s.closed[n].closedAt > s.retention || len(s.closed)-n > s.limit) {
		delete(s.ids, s.closed[n].hash)
		n++
	}
	s.closed = s.closed[n:] // append moves the rest to a new array when this one is full
}

// close records that the request with the given id has ended.
func (s *recentIDs) close(now policy.Time, id string) {
	s.closed = append(s.closed, closedID{hash: hashID(id), closedAt: now})
}

// add adds the id of a request that has ended, given by its hash.
func (s *recentIDs) add(now policy.Time, hash idHash) {
	if _, known := s.ids[hash]; !known {
		s.ids[hash] = struct{}{}
		s.closed = append(s.closed, closedID{hash: hash, closedAt: now})
	}
}

// all returns the hashes of all ids.
func (s *recentIDs) all() []idHash { return slices.Collect(maps.Keys(s.ids)) }
