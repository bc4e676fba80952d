package pool

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRequestIDSet holds the ids of open requests against what they promise, over any order of requests: none is taken twice while
// it is open or has just ended, each can be used again at last, and what is remembered stays bounded.
func TestRequestIDSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const keep = 10 * time.Second
		ids := newRequestIDSet(keep)
		open, ended := map[string]bool{}, map[string]time.Duration{}
		now := time.Duration(0)
		name := rapid.Custom(func(t *rapid.T) string { return strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "id")) })
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.Int64Range(1, int64(8*time.Second)).Draw(t, "by")) },
			"open": func(t *rapid.T) {
				id := name.Draw(t, "id")
				at, had := ended[id]
				taken := ids.open(now, id)
				switch free := !open[id] && (!had || now-at > keep); {
				case taken && !free:
					t.Fatalf("%s was taken twice", id)
				case !taken && free:
					t.Fatalf("%s is free and was not taken", id)
				case taken:
					open[id] = true
				}
			},
			"close": func(t *rapid.T) {
				id := name.Draw(t, "id")
				if !open[id] {
					t.Skip()
				}
				ids.close(now, id)
				delete(open, id)
				ended[id] = now
			},
		})
	})
}

// TestRequestIDSetBounded: what is remembered of ended requests is bounded in number.
func TestRequestIDSetBounded(t *testing.T) {
	ids := newRequestIDSet(time.Hour)
	for i := range 3 * maxClosedIDs {
		id := strconv.Itoa(i)
		if !ids.open(0, id) {
			t.Fatal(id)
		}
		ids.close(0, id)
	}
	if len(ids.ids) > maxClosedIDs+1 {
		t.Errorf("%d ids are remembered, at most %d may be", len(ids.ids), maxClosedIDs+1)
	}
}
