package pool

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRequestIDSet guards against an id that is accepted twice while its request is open or ended recently, and against an id that stays
// rejected after its retention. It tries random sequences of openings, closings and time steps.
func TestRequestIDSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const retention = 10 * time.Second
		ids := newRequestIDSet(retention)
		open, ended := map[string]bool{}, map[string]time.Duration{}
		now := time.Duration(0)
		requestID := rapid.Custom(func(t *rapid.T) string { return strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "id")) })
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.Int64Range(1, int64(8*time.Second)).Draw(t, "by")) },
			"open": func(t *rapid.T) {
				id := requestID.Draw(t, "id")
				endedAt, usedBefore := ended[id]
				accepted := ids.open(now, id)
				switch free := !open[id] && (!usedBefore || now-endedAt > retention); {
				case accepted && !free:
					t.Fatalf("id %s was accepted although it is in use", id)
				case !accepted && free:
					t.Fatalf("id %s was rejected although it is free", id)
				case accepted:
					open[id] = true
				}
			},
			"close": func(t *rapid.T) {
				id := requestID.Draw(t, "id")
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

// TestRequestIDSetBounded guards against unbounded memory for the ids of ended requests.
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
		t.Errorf("%d ids are kept, want at most %d", len(ids.ids), maxClosedIDs+1)
	}
}
