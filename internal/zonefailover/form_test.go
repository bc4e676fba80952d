package zonefailover

import (
	"encoding/json"
	"testing"
)

// TestStateForm pins what is decided of a zone, as the log and the copies hold it, and as JSON.
func TestStateForm(t *testing.T) {
	inText := func(name string, s State) form {
		return form{name: name, write: s.Encode(), read: func(text string) (any, error) { return Decode(text) }, value: s}
	}
	inJSON := func(name string, s State) form {
		text, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		read := func(text string) (any, error) {
			var s State
			err := json.Unmarshal([]byte(text), &s)
			return s, err
		}
		return form{name: name, write: string(text), read: read, value: s}
	}
	full := State{Step: Steps, Pinned: true, Falls: 3, Cold: true, Why: "an operator"}
	pinned, returning := State{Pinned: true, Why: "an operator"}, State{Step: 2, Falls: 1, Why: "a step was borne"}
	checkForms(t, "states.golden", []form{
		{name: "full", write: full.Encode(), read: func(text string) (any, error) { return Decode(text) }, value: full, full: true},
		inText("pinned", pinned), inText("returning", returning), inJSON("full as JSON", full), inJSON("least as JSON", State{}),
	})
	if got := (State{}).Encode(); got != "0 false 0 " {
		t.Errorf("the least state is written %q", got)
	}
	if old, err := Decode("1 false 2"); err != nil || old != (State{Step: 1, Falls: 2}) { // without a reason, which is also read
		t.Errorf("got %+v, %v", old, err)
	}
}

// TestCauseForm pins the causes, which operators' tools are told by these words, and the numbers of the steps.
func TestCauseForm(t *testing.T) {
	causes := []struct {
		name  string
		cause Cause
	}{
		{"well", Well}, {"minority", Minority}, {"one side", OneSide}, {"all alike", AllAlike}, {"not enough", NotEnough}, {"not looked at", Unlooked},
		{"partly", Partly}, {"grey", GreyZone}, {"down", Down},
	}
	var forms []form
	for _, c := range causes {
		forms = append(forms, form{name: c.name, write: string(c.cause)})
	}
	checkForms(t, "causes.golden", forms)
	if Steps != 4 || len(parts) != Steps+1 || coldMark != "c" {
		t.Errorf("steps %d, parts %v, mark %q", Steps, parts, coldMark)
	}
}
