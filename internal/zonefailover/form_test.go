package zonefailover

import (
	"encoding/json"
	"testing"

	"sorrelrudder/internal/goldentest"
)

// TestStateForm pins the encoding of a zone's state in the consensus log and in its replicas, and as JSON.
func TestStateForm(t *testing.T) {
	inText := func(name string, s State) goldentest.Form {
		return goldentest.Form{Name: name, Written: s.Encode(), Read: func(text string) (any, error) { return Decode(text) }, Value: s}
	}
	inJSON := func(name string, s State) goldentest.Form {
		text, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		read := func(text string) (any, error) {
			var s State
			err := json.Unmarshal([]byte(text), &s)
			return s, err
		}
		return goldentest.Form{Name: name, Written: string(text), Read: read, Value: s}
	}
	full := State{Step: FullStep, Manual: true, Relapses: 3, WarmingUp: true, Reason: "an operator"}
	pinned, returning := State{Manual: true, Reason: "an operator"}, State{Step: 2, Relapses: 1, Reason: "a step was borne"}
	goldentest.CheckForms(t, "states.golden", []goldentest.Form{
		{Name: "full", Written: full.Encode(), Read: func(text string) (any, error) { return Decode(text) }, Value: full, Full: true},
		inText("pinned", pinned), inText("returning", returning), inJSON("full as JSON", full), inJSON("least as JSON", State{}),
	})
	if got := (State{}).Encode(); got != "0 false 0 " {
		t.Errorf("zero state is encoded as %q", got)
	}
	if old, err := Decode("1 false 2"); err != nil || old != (State{Step: 1, Relapses: 2}) { // Decode accepts a state without a reason
		t.Errorf("got %+v, %v", old, err)
	}
}

// TestCauseForm pins the texts of the causes, which operators' tools receive, and the number of ramp steps.
func TestCauseForm(t *testing.T) {
	causes := []struct {
		name  string
		cause Cause
	}{
		{"well", CauseHealthy}, {"minority", CauseMinorityPartition}, {"one side", CausePathBroken}, {"all alike", CauseFailingEverywhere}, {"not enough", CauseInsufficientCapacity}, {"not looked at", CauseAwaitingHealthQuorum},
		{"partly", CausePartiallyReachable}, {"grey", CauseGrayFailure}, {"down", CauseDown},
	}
	var forms []goldentest.Form
	for _, c := range causes {
		forms = append(forms, goldentest.Form{Name: c.name, Written: string(c.cause)})
	}
	goldentest.CheckForms(t, "causes.golden", forms)
	if FullStep != 4 || len(recoveryRamp) != FullStep+1 || warmingUpMark != "c" {
		t.Errorf("FullStep is %d, recovery ramp %v, warm-up mark %q", FullStep, recoveryRamp, warmingUpMark)
	}
}
