package e2e

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// convergenceTimeout is the target for the time from the last fault until all members hold the same shared state.
	convergenceTimeout = 5 * time.Second

	// convergenceAbort is the time after which a scenario that has not converged is aborted.
	convergenceAbort = 40 * time.Second

	observationInterval = 700 * time.Millisecond
)

// versionObserver tracks the versions of entries that each start of each member reports. It counts two kinds of violation: a version that
// regresses, and an entry that had disappeared and is reported again with the same version. It does not depend on how members merge
// entries.
type versionObserver struct {
	fleet *fleet

	observing sync.Mutex // held during an observation: concurrent ones could record older states after newer ones

	mu             sync.Mutex // guards the fields below
	newest         map[string]entryVersion
	present        map[string]bool // by entry, at the last observation
	regressions    int
	resurrections  int
	firstViolation string
	observations   int
}

// entryVersion is the version of an entry. Versions are ordered by incarnation, then by sequence.
type entryVersion struct{ incarnation, sequence uint64 }

func (v entryVersion) compare(other entryVersion) int {
	return cmp.Or(cmp.Compare(v.incarnation, other.incarnation), cmp.Compare(v.sequence, other.sequence))
}

// String returns the form of the version in reports.
func (v entryVersion) String() string { return fmt.Sprintf("[%d %d]", v.incarnation, v.sequence) }

func newVersionObserver(f *fleet) *versionObserver {
	return &versionObserver{fleet: f, newest: map[string]entryVersion{}, present: map[string]bool{}}
}

// observe queries all members once and returns their shared state.
func (o *versionObserver) observe() map[int]sharedState {
	o.observing.Lock()
	defer o.observing.Unlock()
	starts := map[int]int{}
	for _, member := range o.fleet.members {
		starts[member.index] = member.starts()
	}
	states := o.fleet.sharedStates(o.fleet.members)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.observations++
	for i, state := range states {
		member := o.fleet.members[i]
		if member.starts() == starts[i] { // otherwise either start may have answered
			o.record(fmt.Sprintf("%s/%d ", member.name, starts[i]), state)
		}
	}
	return states
}

// record records the entries that one start of a member reports. prefix identifies the start. The caller holds mu.
func (o *versionObserver) record(prefix string, state sharedState) {
	present := map[string]bool{}
	for _, entry := range state.Entries {
		id := prefix + entry.Owner + " " + entry.Key
		present[id] = true
		version := entryVersion{entry.Inc, entry.Seq}
		last, known := o.newest[id]
		switch {
		case known && version.compare(last) < 0:
			o.regressions++
			o.setFirst("%s: version %v after %v", id, version, last)
		case known && version == last && !o.present[id]:
			o.resurrections++
			o.setFirst("%s: version %v was gone, and is there again", id, version)
		}
		o.newest[id] = version
	}
	for id := range o.newest {
		if strings.HasPrefix(id, prefix) {
			o.present[id] = present[id]
		}
	}
}

func (o *versionObserver) setFirst(format string, args ...any) {
	if o.firstViolation == "" {
		o.firstViolation = fmt.Sprintf(format, args...)
	}
}

// follow observes at observationInterval until ctx ends. The channel is closed afterwards.
func (o *versionObserver) follow(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for pause(ctx, observationInterval) {
			o.observe()
		}
	}()
	return done
}

// converge waits until all members consider each other alive and hold the same entries, and measures how long that took.
func (o *versionObserver) converge(ctx context.Context, name string) error {
	f := o.fleet
	from := time.Now()
	var states map[int]sharedState
	err := f.awaitCondition(ctx, convergenceAbort, "all members hold the same entries", func() bool {
		states = o.observe()
		return f.allAlive(states) && differingEntries(states) == 0
	})
	if err != nil {
		notAlive := f.describeNotAlive(states)
		return fmt.Errorf("%w: %d entries differ; %s; %w",
			errNotRecovered, differingEntries(states), strings.Join(notAlive[:min(len(notAlive), 8)], ", "), err)
	}
	duration := time.Since(from)
	f.env.Measure(name+"_s", duration.Seconds())
	f.env.Measure("late_"+name, float64(boolToInt(duration > convergenceTimeout)))
	return nil
}

// allAlive reports whether all members answered and consider each other alive.
func (f *fleet) allAlive(states map[int]sharedState) bool {
	for _, state := range states {
		if !state.allAlive() {
			return false
		}
	}
	return len(states) == len(f.members)
}

// describeNotAlive lists the members that another member does not consider alive.
func (f *fleet) describeNotAlive(states map[int]sharedState) []string {
	var all []string
	for i, state := range states {
		for name, health := range state.Members {
			if health != memberAlive {
				all = append(all, fmt.Sprintf("%s considers %s %s", f.members[i].name, name, health))
			}
		}
	}
	slices.Sort(all)
	return all
}

// measure records the numbers of regressions and resurrections, which must be 0, and of observations.
func (o *versionObserver) measure() {
	e := o.fleet.env
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.firstViolation != "" {
		e.Fail("%s", o.firstViolation)
	}
	e.AtMost("went_back", float64(o.regressions), 0)
	e.AtMost("resurrected", float64(o.resurrections), 0)
	e.Measure("looks", float64(o.observations))
}

// measureDivergence measures how many entries differ convergenceTimeout after the last fault. It takes the minimum of three observations,
// since a single one may see a change that is still being propagated.
func (o *versionObserver) measureDivergence(ctx context.Context, lastFault time.Time) {
	pause(ctx, convergenceTimeout-time.Since(lastFault))
	least := math.MaxInt
	for range 3 {
		least = min(least, differingEntries(o.observe()))
		if least == 0 {
			break
		}
		pause(ctx, 300*time.Millisecond)
	}
	o.fleet.env.AtMost("diverged", float64(least), 0)
}
