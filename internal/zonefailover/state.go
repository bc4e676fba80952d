package zonefailover

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrInvalidState is returned by Decode for text that is not an encoded State.
var ErrInvalidState = errors.New("zonefailover: not a state of a zone")

// State is the decided state of one zone.
type State struct {
	Step      int    `json:"step"`             // step of the recovery ramp: 0 after a shift, FullStep if fully in service
	Manual    bool   `json:"pinned,omitempty"` // set by an operator; the controller does not change the zone
	Relapses  int    `json:"falls,omitempty"`  // steps back, and shifts soon after a recovery, since the last shift that was no relapse
	WarmingUp bool   `json:"cold,omitempty"`   // at FullStep, while the endpoints may still be warming up
	Reason    string `json:"Why"`              // reason for the decision, shown to operators
}

// Recovering reports whether endpoints of the zone that are in service must be treated as warming up, even if the endpoint list does
// not mark them: the zone receives reduced traffic, or did so until recently.
func (s State) Recovering() bool { return s.Step < FullStep || s.WarmingUp }

// warmingUpMark follows the step in an encoded state that is WarmingUp. A program version that does not know the mark ignores the
// whole state.
const warmingUpMark = "c"

// Encode returns the state in the format of the consensus log.
func (s State) Encode() string {
	mark := ""
	if s.WarmingUp {
		mark = warmingUpMark
	}
	return fmt.Sprintf("%d%s %t %d %s", s.Step, mark, s.Manual, s.Relapses, s.Reason)
}

// Decode parses the output of Encode. The reason may be missing. For any other text it returns an error that wraps ErrInvalidState.
func Decode(text string) (State, error) {
	fields := strings.SplitN(text, " ", 4)
	if len(fields) < 3 {
		return State{}, fmt.Errorf("%w: %q", ErrInvalidState, text)
	}
	stepText, warmingUp := strings.CutSuffix(fields[0], warmingUpMark)
	step, stepErr := strconv.Atoi(stepText)
	manual, manualErr := strconv.ParseBool(fields[1])
	relapses, relapsesErr := strconv.Atoi(fields[2])
	if err := errors.Join(stepErr, manualErr, relapsesErr); err != nil {
		return State{}, fmt.Errorf("%w: %q", ErrInvalidState, text)
	}
	if step < 0 || step > FullStep || relapses < 0 || warmingUp && step < FullStep {
		return State{}, fmt.Errorf("%w: %q", ErrInvalidState, text)
	}
	state := State{Step: step, Manual: manual, Relapses: relapses, WarmingUp: warmingUp}
	if len(fields) == 4 {
		state.Reason = fields[3]
	}
	return state, nil
}
