package simulation

import (
	"errors"
	"slices"

	"sorrelrudder/internal/consensus"
)

// errSync is returned by Save when FaultSync makes a sync fail.
var errSync = errors.New("sync failed")

// disk holds a voter's persistent state. Writes that were not synced are lost when the process ends.
type disk struct {
	simulation *simulation
	process    *process
	written    consensus.PersistentState
	synced     consensus.PersistentState
	stale      consensus.PersistentState // the synced state at an earlier start; BugStaleDisk restores it
}

var _ consensus.Storage = (*disk)(nil)

// Save writes a change of the state and syncs it. A change that needs no sync is not written, as in the production storage: the voter
// learns it again after a restart.
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

// writeSnapshot writes a snapshot, and removes the log entries that the snapshot covers or replaces.
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

// writeEntries appends log entries. They replace all existing entries from their first index on.
func (d *disk) writeEntries(change consensus.PersistentState) {
	entries, keep := d.written.Entries, 0
	if len(entries) > 0 && change.Entries[0].GetIndex() > entries[0].GetIndex() {
		keep = int(change.Entries[0].GetIndex() - entries[0].GetIndex())
	}
	d.written.Entries = append(entries[:keep:keep], change.Entries...)
}

// open returns the state that a starting process reads from the disk.
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
