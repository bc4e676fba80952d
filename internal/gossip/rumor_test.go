package gossip

import (
	"slices"
	"strconv"
	"testing"
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
