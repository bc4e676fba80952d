package gossip

import (
	"maps"
	"slices"
	"time"
)

const (
	// incarnationRandomBits is the number of low bits of an incarnation that are random, so that two processes with the same name
	// have different incarnations.
	incarnationRandomBits = 16
	// reincarnationInterval is the minimum time between two incarnations that a process starts because it received a larger one.
	// The limit keeps two processes with the same name from flooding the network.
	reincarnationInterval = time.Second
)

// ownRecord holds this process's own entries and member state.
type ownRecord struct {
	incarnation uint64
	refutations uint32            // suspicions refuted in this incarnation
	sequence    uint64            // sequence number of the newest write
	values      map[string][]byte // by key; nil is a tombstone
	left        bool
	digest      uint64 // digest of this process's member state in the digest tree of the members

	reincarnatedAt         time.Duration // start time of the incarnation
	reincarnateAt          time.Duration // start time of the next incarnation; 0 if none is scheduled
	conflictingIncarnation uint64        // largest received incarnation of this name; the next incarnation is larger
}

// Incarnation returns the incarnation of this process.
func (n *Node) Incarnation() uint64 { return n.self.incarnation }

// startIncarnation starts a new incarnation. All values are rewritten in it. Tombstones are removed, because the older incarnation no
// longer counts. ordinal is the part of the incarnation above the random bits.
func (n *Node) startIncarnation(now time.Duration, ordinal uint64) {
	const randomMask = 1<<incarnationRandomBits - 1
	n.self.incarnation = ordinal<<incarnationRandomBits | n.rng.Uint64()&randomMask
	n.self.refutations, n.self.reincarnatedAt = 0, now
	n.store.ApplyOwnerState(OwnerState{Name: n.cfg.Name, Incarnation: n.self.incarnation})
	n.rumors.add(rumorKey{member: n.cfg.Name})
	for _, key := range slices.Sorted(maps.Keys(n.self.values)) {
		if n.self.values[key] == nil {
			delete(n.self.values, key)
			continue
		}
		n.writeOwn(key, n.self.values[key])
	}
	n.updateOwnDigest()
}

// ordinalAfter returns the ordinal that follows the ordinal of an incarnation.
func ordinalAfter(incarnation uint64) uint64 { return incarnation>>incarnationRandomBits + 1 }

// reincarnate starts an incarnation that is larger than a received incarnation of this process's name, no sooner than
// reincarnationInterval after the current one. The first reincarnation is immediate, because the received incarnation is from an
// earlier start.
func (n *Node) reincarnate(now time.Duration, received uint64) {
	n.self.conflictingIncarnation = max(n.self.conflictingIncarnation, received)
	if n.self.reincarnateAt == 0 {
		n.self.reincarnateAt = max(now, n.self.reincarnatedAt+reincarnationInterval)
		if n.self.reincarnatedAt == n.startedAt {
			n.self.reincarnateAt = now
		}
	}
	if now >= n.self.reincarnateAt {
		n.self.reincarnateAt = 0
		n.startIncarnation(now, ordinalAfter(n.self.conflictingIncarnation))
	}
}

// Restore loads the state that an earlier start of this process has saved: the entries of other owners, and the process's own
// incarnation. The process continues with a larger incarnation.
func (n *Node) Restore(now time.Duration, saved *Message) {
	for _, owner := range saved.Owners {
		if owner.Name == n.cfg.Name && owner.Incarnation >= n.self.incarnation {
			n.startIncarnation(now, ordinalAfter(owner.Incarnation))
		}
	}
	for _, e := range saved.Entries {
		if e.Owner != n.cfg.Name {
			n.store.Merge(e)
		}
	}
	n.store.TakeChanges() // restored entries do not count as changes
}

// Put writes a value under a key, whose kind must be one of Config.Kinds. A nil value is written as an empty value. Put returns false if
// the value exceeds MaxValueBytes, the key exceeds MaxKeyBytes, there is no room for another key, or the node has left. There is room
// for at least MaxKeysPerOwner/2 keys with a value.
func (n *Node) Put(key string, value []byte) bool {
	if len(value) > MaxValueBytes || len(key) > MaxKeyBytes || n.self.left {
		return false
	}
	if n.self.values[key] == nil && len(n.self.values) >= MaxKeysPerOwner-1 {
		if n.ownValueCount() >= MaxKeysPerOwner/2 {
			return false
		}
		n.startIncarnation(n.self.reincarnatedAt, ordinalAfter(n.self.incarnation)) // removes tombstones
	}
	if current := n.self.values[key]; current != nil && string(current) == string(value) {
		return true
	}
	n.self.values[key] = append([]byte{}, value...)
	n.writeOwn(key, n.self.values[key])
	return true
}

// ownValueCount returns the number of keys for which this process has written a value and not deleted it.
func (n *Node) ownValueCount() int {
	count := 0
	for _, value := range n.self.values {
		if value != nil {
			count++
		}
	}
	return count
}

// Delete deletes the value that this process has written under a key, if any.
func (n *Node) Delete(key string) {
	if n.self.values[key] != nil {
		n.self.values[key] = nil
		n.writeOwn(key, nil)
	}
}

func (n *Node) writeOwn(key string, value []byte) {
	n.self.sequence++
	e := Entry{Owner: n.cfg.Name, Key: key, Version: Version{n.self.incarnation, n.self.sequence}, Siblings: [][]byte{encodeSibling(value)}}
	if n.store.Merge(e) {
		n.rumors.add(rumorKey{owner: e.Owner, key: key})
	}
}

// ApplyDecision applies a decision of consensus, from the log or from a peer. number increases with each decision. A nil value is a
// tombstone.
func (n *Node) ApplyDecision(key string, number uint64, value []byte) {
	if n.store.Merge(DecidedEntry(max(1, n.store.fleetTag), key, number, value)) {
		n.rumors.add(rumorKey{owner: ConsensusOwner, key: key})
	}
}

// Leave leaves the fleet and returns a last message with rumors for a few random members. The message announces the departure unless
// rumors queued earlier fill it. Members that learn of the departure reap this process's entries. Afterwards the node ignores all
// messages and ticks.
func (n *Node) Leave(now time.Duration) []Envelope {
	n.self.left = true
	n.updateOwnDigest()
	n.rumors.add(rumorKey{member: n.cfg.Name})
	n.nextGossip = now
	n.sendRumors()
	return n.takeOutbox()
}
