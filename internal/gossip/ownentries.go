package gossip

import (
	"maps"
	"slices"
	"time"
)

const (
	// incarnationRandomBits is how many low bits of an incarnation are random, so that two processes of one name differ in it.
	incarnationRandomBits = 16
	// reincarnationInterval is the least time between two incarnations that a process begins because it heard of a newer one:
	// two processes of one name must not flood the network.
	reincarnationInterval = time.Second
)

// ownRecord is what this process writes and says of itself.
type ownRecord struct {
	incarnation uint64
	refutations uint32            // in this incarnation
	sequence    uint64            // of the newest write
	values      map[string][]byte // by key; nil: a tombstone
	left        bool
	digest      uint64 // of its state in the digest tree of the members

	reincarnatedAt         time.Duration // when the incarnation began
	reincarnateAt          time.Duration // when the next is to begin; 0: never
	conflictingIncarnation uint64        // the newest of this name that was heard of, above which the next begins
}

// Incarnation is this process' incarnation.
func (n *Node) Incarnation() uint64 { return n.self.incarnation }

// startIncarnation begins an incarnation: all values are written anew in it, and tombstones are forgotten with the older one.
// ordinal is the part of the incarnation above its random bits.
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

// ordinalAfter is the ordinal of the first incarnation above another.
func ordinalAfter(incarnation uint64) uint64 { return incarnation>>incarnationRandomBits + 1 }

// reincarnate begins an incarnation above one of this process' name that it has heard of. The first time it does so at once:
// the other is of an earlier start.
func (n *Node) reincarnate(now time.Duration, heard uint64) {
	n.self.conflictingIncarnation = max(n.self.conflictingIncarnation, heard)
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

// Restore takes over what an earlier start of this process has saved: entries of others, and its own incarnation, above which
// it goes on.
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
	n.store.TakeChanges() // not news
}

// Put writes a value under a key of a kind that members write. It reports whether there is room: for MaxValueBytes, MaxKeyBytes
// and MaxKeysPerOwner/2 keys with a value.
func (n *Node) Put(key string, value []byte) bool {
	if len(value) > MaxValueBytes || len(key) > MaxKeyBytes || n.self.left {
		return false
	}
	if n.self.values[key] == nil && len(n.self.values) >= MaxKeysPerOwner-1 {
		if n.ownValueCount() >= MaxKeysPerOwner/2 {
			return false
		}
		n.startIncarnation(n.self.reincarnatedAt, ordinalAfter(n.self.incarnation)) // forgets tombstones
	}
	if current := n.self.values[key]; current != nil && string(current) == string(value) {
		return true
	}
	n.self.values[key] = append([]byte{}, value...)
	n.writeOwn(key, n.self.values[key])
	return true
}

// ownValueCount is how many keys of this process have a value.
func (n *Node) ownValueCount() int {
	count := 0
	for _, value := range n.self.values {
		if value != nil {
			count++
		}
	}
	return count
}

// Delete takes back the value that the process has written under a key, if it has.
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

// ApplyDecision takes in a decision of consensus, from its log or from a peer. number grows with each; value nil is a tombstone.
func (n *Node) ApplyDecision(key string, number uint64, value []byte) {
	if n.store.Merge(DecidedEntry(max(1, n.store.fleetTag), key, number, value)) {
		n.rumors.add(rumorKey{owner: ConsensusOwner, key: key})
	}
}

// Leave ends the process' part, and returns the messages that say so; its entries leave with it. Afterwards the node does
// nothing more.
func (n *Node) Leave(now time.Duration) []Envelope {
	n.self.left = true
	n.updateOwnDigest()
	n.rumors.add(rumorKey{member: n.cfg.Name})
	n.nextGossip = now
	n.sendRumors()
	return n.takeOutbox()
}
