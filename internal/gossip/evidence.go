package gossip

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// UnreachableKind begins the keys under which members write which servers do not answer them: "dead/POOL/SERVER".
const UnreachableKind = "dead"

// FailureReports decides what is made of hearsay on servers. It only ever makes a process careful: what several others have found out by
// themselves is hinted at, and what comes of a hint is for the decision module to say, which asks the server itself.
type FailureReports struct {
	quorum     int                        // that must have found it out, this process not counted
	reporters  map[string]map[string]bool // owners by key
	ownReports map[string]time.Duration   // what this process has found out, and when last
}

const (
	// ownReportTTL is how long what a process has found out counts without being found out anew.
	ownReportTTL = 5 * time.Second
	// maxHints bounds what is hinted at at once.
	maxHints = 256
	// maxOwnReports bounds what a process says itself; MostKeys/2 is what fits.
	maxOwnReports = MaxKeysPerOwner / 2
)

// NewFailureReports returns none. One witness is not enough: with one, failures by chance are believed, and a liar costs service
// (docs/design/replica.md has the figures).
func NewFailureReports(witnesses int) *FailureReports {
	return &FailureReports{quorum: max(1, witnesses), reporters: map[string]map[string]bool{}, ownReports: map[string]time.Duration{}}
}

// PoolKey is the key of a server, empty if it has none: names that are too long are not shared.
func PoolKey(kind, pool, server string) string {
	key := kind + "/" + pool + "/" + server
	if len(key) > MaxKeyBytes || strings.Contains(pool, "/") {
		return ""
	}
	return key
}

// SplitPoolKey is the pool and the server of a key.
func SplitPoolKey(key string) (pool, server string, ok bool) {
	_, rest, _ := strings.Cut(key, "/")
	return strings.Cut(rest, "/")
}

// Record notes what this process has found out of a server itself, and writes it for others.
func (v *FailureReports) Record(now time.Duration, n *Node, key string, dead bool) {
	if !dead {
		if _, had := v.ownReports[key]; had {
			delete(v.ownReports, key)
			n.Delete(key)
		}
		return
	}
	if _, had := v.ownReports[key]; !had && (len(v.ownReports) >= maxOwnReports || !n.Put(key, nil)) {
		return
	}
	v.ownReports[key] = now
}

// OwnCount is how many servers this process says are dead.
func (v *FailureReports) OwnCount() int { return len(v.ownReports) }

// Withdraw takes back what this process says of a key, and reports whether it said anything.
func (v *FailureReports) Withdraw(n *Node, key string) bool {
	_, had := v.ownReports[key]
	delete(v.ownReports, key)
	n.Delete(key)
	return had
}

// Update takes over what has changed in the copies, and drops what this process has not found out anew for long.
func (v *FailureReports) Update(now time.Duration, n *Node, changed []EntryID) {
	for _, p := range changed {
		if KindOf(p.key) != UnreachableKind || p.owner == n.cfg.Name {
			continue
		}
		e, ok := n.store.Get(p.owner, p.key)
		switch {
		case ok && len(e.Values()) > 0: // also one of two that differ: the careful one counts
			if v.reporters[p.key] == nil {
				v.reporters[p.key] = map[string]bool{}
			}
			v.reporters[p.key][p.owner] = true
		case v.reporters[p.key] != nil:
			delete(v.reporters[p.key], p.owner)
			if len(v.reporters[p.key]) == 0 {
				delete(v.reporters, p.key)
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(v.ownReports)) {
		if now > v.ownReports[key]+ownReportTTL {
			v.Withdraw(n, key)
		}
	}
}

// Hints are the keys of servers that enough members who are there have found dead, and this process has not.
func (v *FailureReports) Hints(n *Node) []string {
	var all []string
	for key, owners := range v.reporters {
		if _, mine := v.ownReports[key]; mine || len(owners) < v.quorum {
			continue
		}
		there := 0
		for owner := range owners {
			if s := n.Member(owner).State; s == Alive || s == Suspect {
				there++
			}
		}
		if there >= v.quorum {
			all = append(all, key)
		}
	}
	slices.Sort(all)
	return all[:min(len(all), maxHints)]
}
