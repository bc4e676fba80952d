package gossip

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// DeadKind begins the keys under which members write which servers do not answer them: "dead/POOL/SERVER".
const DeadKind = "dead"

// Evidence decides what is made of hearsay on servers. It only ever makes a process careful: what several others have found out by
// themselves is hinted at, and what comes of a hint is for the decision module to say, which asks the server itself.
type Evidence struct {
	witnesses int                        // that must have found it out, this process not counted
	by        map[string]map[string]bool // owners by key
	own       map[string]time.Duration   // what this process has found out, and when last
}

const (
	// ownFor is how long what a process has found out counts without being found out anew.
	ownFor = 5 * time.Second
	// mostHints bounds what is hinted at at once.
	mostHints = 256
	// mostOwn bounds what a process says itself; MostKeys/2 is what fits.
	mostOwn = MostKeys / 2
)

// NewEvidence returns none. One witness is not enough: with one, failures by chance are believed, and a liar costs service
// (docs/design/replica.md has the figures).
func NewEvidence(witnesses int) *Evidence {
	return &Evidence{witnesses: max(1, witnesses), by: map[string]map[string]bool{}, own: map[string]time.Duration{}}
}

// ServerKey is the key of a server, empty if it has none: names that are too long are not shared.
func ServerKey(kind, pool, server string) string {
	key := kind + "/" + pool + "/" + server
	if len(key) > MostKeyLen || strings.Contains(pool, "/") {
		return ""
	}
	return key
}

// ServerOf is the pool and the server of a key.
func ServerOf(key string) (pool, server string, ok bool) {
	_, rest, _ := strings.Cut(key, "/")
	return strings.Cut(rest, "/")
}

// Saw notes what this process has found out of a server itself, and writes it for others.
func (v *Evidence) Saw(now time.Duration, n *Node, key string, dead bool) {
	if !dead {
		if _, had := v.own[key]; had {
			delete(v.own, key)
			n.Delete(key)
		}
		return
	}
	if _, had := v.own[key]; !had && (len(v.own) >= mostOwn || !n.Put(key, nil)) {
		return
	}
	v.own[key] = now
}

// Own is how many servers this process says are dead.
func (v *Evidence) Own() int { return len(v.own) }

// Forget takes back what this process says of a key, and reports whether it said anything.
func (v *Evidence) Forget(n *Node, key string) bool {
	_, had := v.own[key]
	delete(v.own, key)
	n.Delete(key)
	return had
}

// Look takes over what has changed in the copies, and drops what this process has not found out anew for long.
func (v *Evidence) Look(now time.Duration, n *Node, changed []Place) {
	for _, p := range changed {
		if KindOf(p.key) != DeadKind || p.owner == n.cfg.Name {
			continue
		}
		e, ok := n.copies.Get(p.owner, p.key)
		switch {
		case ok && len(e.Values()) > 0: // also one of two that differ: the careful one counts
			if v.by[p.key] == nil {
				v.by[p.key] = map[string]bool{}
			}
			v.by[p.key][p.owner] = true
		case v.by[p.key] != nil:
			delete(v.by[p.key], p.owner)
			if len(v.by[p.key]) == 0 {
				delete(v.by, p.key)
			}
		}
	}
	for _, key := range slices.Sorted(maps.Keys(v.own)) {
		if now > v.own[key]+ownFor {
			v.Forget(n, key)
		}
	}
}

// Hints are the keys of servers that enough members who are there have found dead, and this process has not.
func (v *Evidence) Hints(n *Node) []string {
	var all []string
	for key, owners := range v.by {
		if _, mine := v.own[key]; mine || len(owners) < v.witnesses {
			continue
		}
		there := 0
		for owner := range owners {
			if s := n.Member(owner).State; s == Alive || s == Suspect {
				there++
			}
		}
		if there >= v.witnesses {
			all = append(all, key)
		}
	}
	slices.Sort(all)
	return all[:min(len(all), mostHints)]
}
