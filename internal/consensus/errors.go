package consensus

import (
	"errors"
	"fmt"
)

// Errors that stop a node, or that reject input from another process. The errors of this package wrap them together with the cause. Their
// texts say "council", as the settings do, for the consensus group.
var (
	// ErrInvalidSnapshot is wrapped by errors about a snapshot that can't be decoded or is inconsistent.
	ErrInvalidSnapshot = errors.New("council: invalid snapshot")
	// ErrInvalidLog is wrapped by errors about a log, log entry or hard state that is inconsistent or can't be decoded.
	ErrInvalidLog = errors.New("council: invalid log")
	// ErrInvalidMessage is wrapped by errors of [DecodeMessage].
	ErrInvalidMessage = errors.New("council: invalid message")
	// ErrStorage is wrapped by errors about a failed [Storage.Save].
	ErrStorage = errors.New("council: the disk")
	// ErrRaft is wrapped by errors about a panic in the raft library, or in the code of this project that processes its output.
	ErrRaft = errors.New("council: panic while processing raft state")
)

// Refusal is the reason why a command was refused, empty if it was applied. It is sent to other processes and printed.
type Refusal string

// Refusals that callers distinguish from others.
const (
	// RefusedConflict refuses a [DecisionCommand] whose BasedOn or NewestZoneDecision is out of date.
	RefusedConflict  Refusal = "something else was decided meanwhile"
	refusedMalformed Refusal = "malformed"
)

// refusef returns a formatted refusal.
func refusef(format string, args ...any) Refusal { return Refusal(fmt.Sprintf(format, args...)) }

// Err returns the refusal as an error of type [*RefusedError], or nil if it is empty.
func (r Refusal) Err() error {
	if r == "" {
		return nil
	}
	return &RefusedError{Refusal: r}
}

// RefusedError is the error form of a [Refusal].
type RefusedError struct{ Refusal Refusal }

// Error returns the reason for the refusal.
func (e *RefusedError) Error() string { return string(e.Refusal) }
