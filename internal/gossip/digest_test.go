package gossip

import (
	"fmt"
	"testing"
)

// TestDigestTree checks that the digest of each range is the sum of its leaves, and that the tree is empty after all entries are
// removed.
func TestDigestTree(t *testing.T) {
	tree := &digestTree{}
	entry := func(i int) Entry {
		return Entry{Owner: fmt.Sprint("m", i%7), Key: fmt.Sprint("dead/", i), Version: Version{1, uint64(i + 1)}}
	}
	const entries = 1000
	for i := range entries {
		e := entry(i)
		tree.add(e.Owner, e.Key, e.Digest())
	}
	for level := uint8(rootLevel); level <= leafLevel; level++ {
		for index := 0; validRange(level, index); index++ {
			var sum uint64
			for leaf := range leafCount {
				if inRange(level, index, leaf) {
					sum += tree.leaves[leaf]
				}
			}
			if got := tree.rangeDigest(level, index); got != sum {
				t.Errorf("level %d, range %d: digest %x, want the sum of its leaves %x", level, index, got, sum)
			}
		}
	}
	listed := 0
	for leaf := range leafCount {
		listed += len(tree.leafEntries(leaf))
	}
	if listed != entries {
		t.Errorf("%d entries are listed, want %d", listed, entries)
	}
	for i := range entries {
		e := entry(i)
		tree.remove(e.Owner, e.Key, e.Digest())
	}
	for leaf := range leafCount {
		if len(tree.leafEntries(leaf)) > 0 || tree.leaves[leaf] != 0 {
			t.Errorf("leaf %d is not empty after all entries are removed", leaf)
		}
	}
	if tree.root != 0 || tree.inner != [treeFanout]uint64{} {
		t.Errorf("digests of an empty tree are %x and %x, want 0", tree.root, tree.inner)
	}
}
