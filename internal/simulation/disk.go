package simulation

import (
	"errors"
	"slices"

	"sorrelrudder/internal/consensus"
)

// errSync is the error of a sync that a fault makes fail.
var errSync = errors.New("sync failed")

// disk holds a voter's persistent state. What was not synced is lost when the process ends.
type disk struct {
	simulation *simulation
	process    *process
	written    consensus.PersistentState
	synced     consensus.PersistentState
	stale      consensus.PersistentState // what was synced at an earlier start
}

var _ consensus.Storage = (*disk)(nil)

// Save writes a change of the state. As in the product, a change that needs no sync is not written: it would be learnt anew.
func (d *disk) Save(change consensus.PersistentState, sync bool) error {
	s := d.simulation
	if s.failNextSync[d.process.index] && sync {
		delete(s.failNextSync, d.process.index)
		return errSync
	}
	if !sync {
		return nil
	}
	if change.HardState != nil {
		d.written.HardState = change.HardState
	}
	if change.Snapshot != nil {
		d.writeSnapshot(change)
	}
	if len(change.Entries) > 0 {
		d.writeEntries(change)
	}
	if s.options.Bug != BugNoSync {
		d.synced = d.written
		s.counts["syncs"]++
	}
	return nil
}

// writeSnapshot writes a snapshot, and drops the entries that it covers or replaces.
func (d *disk) writeSnapshot(change consensus.PersistentState) {
	d.written.Snapshot = change.Snapshot
	if change.ReplaceLog {
		d.written.Entries = nil
		return
	}
	entries := d.written.Entries
	if len(entries) == 0 {
		return
	}
	first := entries[0].GetIndex()
	if covered := change.Snapshot.GetMetadata().GetIndex(); covered >= first {
		d.written.Entries = slices.Clone(entries[min(uint64(len(entries)), covered-first+1):])
	}
}

// writeEntries appends entries, in place of those that have their indexes and all later ones.
func (d *disk) writeEntries(change consensus.PersistentState) {
	entries, keep := d.written.Entries, 0
	if len(entries) > 0 && change.Entries[0].GetIndex() > entries[0].GetIndex() {
		keep = int(change.Entries[0].GetIndex() - entries[0].GetIndex())
	}
	d.written.Entries = append(entries[:keep:keep], change.Entries...)
}

// open returns what a process that starts finds on the disk.
func (d *disk) open() consensus.PersistentState {
	if d.simulation.options.Bug == BugStaleDisk && d.stale.Snapshot != nil {
		d.synced = d.stale
	}
	d.written = d.synced
	if d.synced.Snapshot != nil {
		d.stale = d.synced
	}
	return d.synced
}
