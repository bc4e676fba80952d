package gossip

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// UnreachableKind is the kind of the keys under which members report endpoints that do not respond to them:
// "dead/POOL/ENDPOINT".
const UnreachableKind = "dead"

const (
	// ownReportTTL is how long a report of this process stands without being renewed.
	ownReportTTL = 5 * time.Second
	// maxHints bounds the hints that are given at once.
	maxHints = 256
	// maxOwnReports bounds the reports of this process; so many keys with a value fit.
	maxOwnReports = MaxKeysPerOwner / 2
)

// FailureReports are the reports on endpoints of this process and of others. What a quorum of others reports becomes a hint,
// and only makes a process careful: it checks the endpoint itself, and decides by what it finds. It is not safe for concurrent
// use.
type FailureReports struct {
	quorum     int                        // others that must report an endpoint for a hint
	reporters  map[string]map[string]bool // by key
	ownReports map[string]time.Duration   // when each was last renewed, by key
}

// NewFailureReports returns an empty set. With a quorum of one, failures by chance become hints, and one process that reports
// falsely costs service.
func NewFailureReports(quorum int) *FailureReports {
	return &FailureReports{quorum: max(1, quorum), reporters: map[string]map[string]bool{}, ownReports: map[string]time.Duration{}}
}

// PoolKey is the key of something in a pool, such as an endpoint or a zone; empty if there is none, because a name is too long
// or the pool's has a slash.
func PoolKey(kind, pool, name string) string {
	key := kind + "/" + pool + "/" + name
	if len(key) > MaxKeyBytes || strings.Contains(pool, "/") {
		return ""
	}
	return key
}

// SplitPoolKey is the pool and the name in it that PoolKey was called with.
func SplitPoolKey(key string) (pool, name string, ok bool) {
	_, rest, _ := strings.Cut(key, "/")
	return strings.Cut(rest, "/")
}

// Record notes whether an endpoint responds to this process, and writes or withdraws its report. key is of UnreachableKind.
func (r *FailureReports) Record(now time.Duration, n *Node, key string, unreachable bool) {
	_, reported := r.ownReports[key]
	if !unreachable {
		if reported {
			r.Withdraw(n, key)
		}
		return
	}
	if !reported && (len(r.ownReports) >= maxOwnReports || !n.Put(key, nil)) {
		return
	}
	r.ownReports[key] = now
}

// OwnCount is how many endpoints this process reports.
func (r *FailureReports) OwnCount() int { return len(r.ownReports) }

// Withdraw takes back this process' report under a key, and says whether there was one.
func (r *FailureReports) Withdraw(n *Node, key string) bool {
	_, reported := r.ownReports[key]
	delete(r.ownReports, key)
	n.Delete(key)
	return reported
}

// Update takes over what has changed in the store, and withdraws reports of this process that were not renewed in time.
func (r *FailureReports) Update(now time.Duration, n *Node, changed []EntryID) {
	for _, id := range changed {
		if KindOf(id.key) == UnreachableKind && id.owner != n.cfg.Name {
			// Of siblings the more careful counts: a report stands if any of them is one.
			e, ok := n.store.Get(id.owner, id.key)
			r.setReporter(id, ok && len(e.Values()) > 0)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(r.ownReports)) {
		if now > r.ownReports[key]+ownReportTTL {
			r.Withdraw(n, key)
		}
	}
}

func (r *FailureReports) setReporter(id EntryID, reports bool) {
	reporters := r.reporters[id.key]
	switch {
	case reports && reporters == nil:
		r.reporters[id.key] = map[string]bool{id.owner: true}
	case reports:
		reporters[id.owner] = true
	case reporters != nil:
		delete(reporters, id.owner)
		if len(reporters) == 0 {
			delete(r.reporters, id.key)
		}
	}
}

// Hints are the keys of the endpoints that a quorum of present members reports and this process does not, in order.
func (r *FailureReports) Hints(n *Node) []string {
	var hints []string
	for key, reporters := range r.reporters {
		if _, own := r.ownReports[key]; own || len(reporters) < r.quorum {
			continue
		}
		present := 0
		for reporter := range reporters {
			if s := n.Member(reporter).State; s == Alive || s == Suspect {
				present++
			}
		}
		if present >= r.quorum {
			hints = append(hints, key)
		}
	}
	slices.Sort(hints)
	return hints[:min(len(hints), maxHints)]
}
