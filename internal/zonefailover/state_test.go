package zonefailover

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// TestStateText checks that Decode reverses Encode for random states and rejects malformed text.
func TestStateText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{
			Step: rapid.IntRange(0, FullStep).Draw(t, "step"), Manual: rapid.Bool().Draw(t, "manual"), Relapses: rapid.IntRange(0, 9).Draw(t, "relapses"),
			Reason: rapid.StringMatching(`[a-z ]{0,20}`).Draw(t, "reason"),
		}
		s.WarmingUp = s.Step == FullStep && rapid.Bool().Draw(t, "warming up")
		if got, err := Decode(s.Encode()); err != nil || got != s {
			t.Fatalf("decoded state %+v, error %v; want the encoded state", got, err)
		}
	})
	for _, bad := range []string{"", "1", "9 true 0", "1 perhaps 0", "-1 true 0", "1 true -2", "1c true 0", "c true 0", "4cc true 0"} {
		if _, err := Decode(bad); !errors.Is(err, ErrInvalidState) {
			t.Errorf("decoding %q: error %v, want ErrInvalidState", bad, err)
		}
	}
}
