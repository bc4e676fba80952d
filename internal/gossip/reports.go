package gossip

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// UnreachableKind is the kind of the entries with which members report endpoints that do not respond to them:
// "dead/POOL/ENDPOINT".
const UnreachableKind = "dead"

const (
	// ownReportTTL is the lifetime of a report of this process unless it is renewed.
	ownReportTTL = 5 * time.Second
	// maxHints is the maximum number of hints returned by one call.
	maxHints = 256
	// maxOwnReports is the maximum number of reports of this process. Put accepts this number of keys with a value.
	maxOwnReports = MaxKeysPerOwner / 2
)

// FailureReports holds the reports on unreachable endpoints by this process and by other members. An endpoint that a quorum of other
// members reports becomes a hint. A hint only makes a process check the endpoint itself and act on the result. FailureReports is not
// safe for concurrent use.
type FailureReports struct {
	quorum     int                        // number of other members that must report an endpoint for a hint
	reporters  map[string]map[string]bool // names of the reporting members, by key
	ownReports map[string]time.Duration   // time of the last renewal, by key
}

// NewFailureReports returns an empty set of reports. quorum is the number of other members whose reports make a hint, at least 1.
// With a quorum of 1, occasional failures become hints, and a single process with false reports degrades the service.
func NewFailureReports(quorum int) *FailureReports {
	return &FailureReports{quorum: max(1, quorum), reporters: map[string]map[string]bool{}, ownReports: map[string]time.Duration{}}
}

// PoolKey returns the key for a name in a pool, such as an endpoint or a zone. It returns an empty string if the key would be longer
// than MaxKeyBytes or if the name of the pool contains a slash.
func PoolKey(kind, pool, name string) string {
	key := kind + "/" + pool + "/" + name
	if len(key) > MaxKeyBytes || strings.Contains(pool, "/") {
		return ""
	}
	return key
}

// SplitPoolKey returns the pool and the name from a key that PoolKey has returned. ok is false if the key has no name part.
func SplitPoolKey(key string) (pool, name string, ok bool) {
	_, rest, _ := strings.Cut(key, "/")
	return strings.Cut(rest, "/")
}

// Record records whether an endpoint is unreachable to this process, and writes, renews or withdraws the report accordingly. A new report
// is dropped if this process has maxOwnReports reports already or if Put rejects the key. key is of UnreachableKind.
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

// OwnCount returns the number of endpoints that this process reports.
func (r *FailureReports) OwnCount() int { return len(r.ownReports) }

// Withdraw withdraws this process's report under a key, and reports whether there was one.
func (r *FailureReports) Withdraw(n *Node, key string) bool {
	_, reported := r.ownReports[key]
	delete(r.ownReports, key)
	n.Delete(key)
	return reported
}

// Update applies the changed entries of the store, and withdraws the reports of this process that were not renewed in time.
func (r *FailureReports) Update(now time.Duration, n *Node, changed []EntryID) {
	for _, id := range changed {
		if KindOf(id.key) == UnreachableKind && id.owner != n.cfg.Name {
			// The more restrictive sibling counts: the endpoint is reported if any sibling is a report.
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

// Hints returns the sorted keys of the endpoints that are reported by a quorum of alive or suspected members and not by this process. It
// returns the first maxHints keys at most.
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
