package consensus

import (
	"errors"
	"fmt"
)

// Errors that end a node's part, or refuse what another process sent. They are wrapped with what was wrong. Their texts name the council
// as the settings do.
var (
	ErrInvalidSnapshot = errors.New("council: snapshot")
	ErrInvalidLog      = errors.New("council: log")
	ErrInvalidMessage  = errors.New("council: message")
	ErrStorage         = errors.New("council: the disk")
	ErrRaft            = errors.New("council: the log's library gave up")
)

// Refusal is the reason why a command was refused, empty if it was applied. It is sent to other processes and printed.
type Refusal string

// Reasons for refusing a command that a caller tells from others.
const (
	// RefusedConflict refuses a command whose BasedOn or LastSeenZone is out of date.
	RefusedConflict  Refusal = "something else was decided meanwhile"
	refusedMalformed Refusal = "malformed"
)

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

// Error returns the reason.
func (e *RefusedError) Error() string { return string(e.Refusal) }
