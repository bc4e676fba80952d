package gossip

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// sendOne sends one message with room for the given number of rumors, and returns the members that the rumors are about.
func sendOne(q *rumorQueue, maxTransmissions, room int) []string {
	var sent []string
	q.send(maxTransmissions, func(key rumorKey) int {
		sent = append(sent, key.member)
		return maxRumorBytes/room + 1
	})
	return sent
}

// TestRumorQueue checks that rumors with the fewest transmissions are sent first, and each maxTransmissions times.
func TestRumorQueue(t *testing.T) {
	q := newRumorQueue()
	q.add(rumorKey{member: "a"})
	q.add(rumorKey{member: "b"})
	for i, want := range [][]string{{"a"}, {"b"}, {"a"}, {"b"}, nil} {
		if got := sendOne(&q, 2, 1); !slices.Equal(got, want) {
			t.Errorf("message %d has rumors about %v, want %v", i+1, got, want)
		}
	}
	if !q.isEmpty() {
		t.Error("a rumor remains after its last transmission")
	}
	q.add(rumorKey{member: "a"})
	sendOne(&q, 3, 1)
	q.add(rumorKey{member: "b"})
	q.add(rumorKey{member: "a"}) // an update replaces the rumor and resets its transmissions
	if got, want := sendOne(&q, 3, 4), []string{"b", "a"}; !slices.Equal(got, want) {
		t.Errorf("message has rumors about %v, want %v", got, want)
	}
}

// TestRumorQueueBound checks that the queue is bounded, and that a queued rumor can be replaced when the queue is full.
func TestRumorQueueBound(t *testing.T) {
	q := newRumorQueue()
	for i := range 2 * maxRumors {
		q.add(rumorKey{member: strconv.Itoa(i)})
	}
	if len(q.byKey) != maxRumors {
		t.Errorf("%d rumors are queued, want maxRumors", len(q.byKey))
	}
	queued := q.byKey[rumorKey{member: "0"}]
	q.add(rumorKey{member: "0"})
	if !queued.superseded || q.byKey[rumorKey{member: "0"}] == queued {
		t.Error("a queued rumor was not replaced")
	}
}

// TestRumorsWithoutRecipient guards against memory that grows with each write while a member can tell nobody: because it is the only one, or
// because no other is reachable.
func TestRumorsWithoutRecipient(t *testing.T) {
	for _, size := range []int{1, 3} {
		n := New(0, config("a", size, 1))
		for i := range 10 * maxRumors {
			n.Put("dead/x", []byte("1"))
			n.Delete("dead/x")
			n.Tick(time.Duration(i) * 100 * ms)
		}
		queued := 0
		for _, queue := range n.rumors.byTransmissions {
			queued += len(queue)
		}
		if queued > 2*maxRumors {
			t.Errorf("%d members: %d rumors are queued, want at most twice maxRumors", size, queued)
		}
		if _, ok := n.rumors.byKey[rumorKey{owner: "a", key: "dead/x"}]; !ok {
			t.Errorf("%d members: the rumor about the last write is not queued", size)
		}
	}
}
