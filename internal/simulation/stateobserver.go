package simulation

import (
	"fmt"
	"slices"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/gossip"
)

// sharedStateChanged checks the changes of a process's shared state since the previous call. With zone failover it also passes them to the
// process's failure reports.
func (o *observer) sharedStateChanged(p *process) {
	store := p.shared.node.Store()
	changed := store.TakeChanges()
	if p.shared.zoneFailover != nil {
		p.shared.zoneFailover.reports.Update(p.clock(), p.shared.node, changed)
	}
	if slices.ContainsFunc(changed, func(id gossip.EntryID) bool { return id.Owner() == gossip.ConsensusOwner }) {
		o.checkZoneDecisionsHeld(p)
	}
	for _, id := range changed {
		if entry, stored := store.Get(id.Owner(), id.Key()); stored {
			o.checkVersionAdvances(p, id, entry)
		} else {
			p.shared.deleted[id] = true
		}
	}
}

// checkVersionAdvances checks that the version of an entry never decreases, and that a deleted entry does not reappear with the version
// that it had before.
func (o *observer) checkVersionAdvances(p *process, id gossip.EntryID, entry gossip.Entry) {
	before, known := p.shared.versions[id]
	switch order := entry.Compare(before); {
	case known && order < 0:
		o.simulation.reportViolation("%s: %s of %s goes back from %v to %v", p.name, id.Key(), id.Owner(), before, entry.Version)
	case known && order == 0 && p.shared.deleted[id]:
		o.simulation.reportViolation("%s: %s of %s was gone and is there again as it was, %v", p.name, id.Key(), id.Owner(), entry.Version)
	}
	p.shared.versions[id] = entry.Version
	delete(p.shared.deleted, id)
	o.simulation.counts["copies"]++
}

// checkSharedStateEqual checks at the end of a run that all processes see each other alive and hold the same entries, and that the entries
// agree with the decisions of the consensus group.
func (o *observer) checkSharedStateEqual(decided *consensus.StateMachine) {
	var first *process
	for _, p := range o.simulation.processes {
		if p.shared == nil || !p.up {
			continue
		}
		if first == nil {
			first = p
		}
		o.checkMembersAlive(p)
		if !o.checkEntriesEqual(first, p) {
			return
		}
	}
	if decided != nil && first != nil {
		o.checkDecisionsHeld(first, decided)
	}
}

// checkMembersAlive checks that a process sees all other members alive.
func (o *observer) checkMembersAlive(p *process) {
	for _, other := range o.simulation.processes {
		if state := p.shared.node.Member(other.name).State; other != p && state != gossip.Alive {
			o.simulation.reportViolation("%s holds %s for %s at the end", p.name, other.name, state)
		}
	}
}

// checkEntriesEqual checks that two processes hold the same entries, and returns whether they do.
func (o *observer) checkEntriesEqual(a, b *process) bool {
	entriesB, entriesA := b.describeEntries(), a.describeEntries()
	for i := range max(len(entriesB), len(entriesA)) {
		if i >= len(entriesB) || i >= len(entriesA) || entriesB[i] != entriesA[i] {
			o.simulation.reportViolation("copies of %s and %s differ at the end: %.200q, %.200q", a.name, b.name, excerpt(entriesA, i), excerpt(entriesB, i))
			return false
		}
	}
	return true
}

// describeEntries returns the entries of a process's shared state as text, one string per entry.
func (p *process) describeEntries() []string {
	var texts []string
	p.shared.node.Store().ForEach("", func(e *gossip.Entry) bool {
		texts = append(texts, fmt.Sprintf("%s %s %v %q", e.Owner, e.Key, e.Version, e.Siblings))
		return true
	})
	return texts
}

// excerpt returns at most two of the texts, starting at index.
func excerpt(texts []string, index int) []string {
	return texts[min(index, len(texts)):min(index+2, len(texts))]
}

// checkDecisionsHeld checks that a process's shared state contains all decisions of the consensus group.
func (o *observer) checkDecisionsHeld(p *process, decided *consensus.StateMachine) {
	for key, decision := range decided.Decisions {
		entry, stored := p.shared.node.Store().Get(gossip.ConsensusOwner, key)
		if !stored || entry.Sequence != decision.Number || (len(entry.Values()) > 0) == decision.Withdrawn {
			o.simulation.reportViolation("%s: the council has decided %+v, and copies hold %+v", key, decision, entry)
		}
	}
	o.simulation.counts["orders"] += float64(decided.LastDecision)
}
