package gossip

import (
	"slices"
	"strconv"
	"testing"
)

// sendOne sends rumors in a message with room for some, and returns what they were about.
func sendOne(q *rumorQueue, maxTransmissions, room int) []string {
	var sent []string
	q.send(maxTransmissions, func(key rumorKey) int {
		sent = append(sent, key.member)
		return maxRumorBytes/room + 1
	})
	return sent
}

// TestRumorQueue checks that rumors with the fewest transmissions go first, and each so many times.
func TestRumorQueue(t *testing.T) {
	q := newRumorQueue()
	q.add(rumorKey{member: "a"})
	q.add(rumorKey{member: "b"})
	for i, want := range [][]string{{"a"}, {"b"}, {"a"}, {"b"}, nil} {
		if got := sendOne(&q, 2, 1); !slices.Equal(got, want) {
			t.Errorf("message %d is about %v, want %v", i+1, got, want)
		}
	}
	if !q.isEmpty() {
		t.Error("a rumor is left after its last transmission")
	}
	q.add(rumorKey{member: "a"})
	sendOne(&q, 3, 1)
	q.add(rumorKey{member: "b"})
	q.add(rumorKey{member: "a"}) // news of the same member: it begins anew
	if got, want := sendOne(&q, 3, 4), []string{"b", "a"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// TestRumorQueueBound checks that the queue is bounded, and that a rumor that waits can be renewed all the same.
func TestRumorQueueBound(t *testing.T) {
	q := newRumorQueue()
	for i := range 2 * maxRumors {
		q.add(rumorKey{member: strconv.Itoa(i)})
	}
	if len(q.byKey) != maxRumors {
		t.Errorf("%d rumors wait", len(q.byKey))
	}
	waiting := q.byKey[rumorKey{member: "0"}]
	q.add(rumorKey{member: "0"})
	if !waiting.superseded || q.byKey[rumorKey{member: "0"}] == waiting {
		t.Error("a rumor that waits was not renewed")
	}
}
