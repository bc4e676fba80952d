package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"sorrelrudder/policy"
)

// EndpointList is a message of a source: the complete list, or the changes since the previous message.
type EndpointList struct {
	Version   *int64     `json:"seq"` // increases with each message; never nil in a parsed list
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is an entry of an endpoint list. Its tags map the keys of the platform's protocol to the usual terms.
type Endpoint struct {
	ID          string  `json:"host"`
	Address     string  `json:"dial"` // host and port
	Zone        string  `json:"site"`
	Cell        int     `json:"block"`
	MachineType string  `json:"class"`
	Health      string  `json:"health"` // one of HealthActive, HealthLeaving and HealthLeft
	Weight      float64 `json:"share"`
	StartedMs   int64   `json:"born_ms"` // start time in Unix milliseconds; 0: unknown
}

// The values of Endpoint.Health.
const (
	HealthActive  = "active"
	HealthLeaving = "leaving"
	HealthLeft    = "left"
)

// endpointStates maps the values of Endpoint.Health to the decision module's states.
var endpointStates = map[string]policy.EndpointState{
	HealthActive: policy.Ready, HealthLeaving: policy.Draining, HealthLeft: policy.Removed,
}

// State returns the state that Health names.
func (e *Endpoint) State() policy.EndpointState { return endpointStates[e.Health] }

// Errors of a malformed message.
var (
	errTrailingData = errors.New("unexpected data after the list")
	errNoVersion    = errors.New("key seq is missing, want the version of the list")
)

// InvalidListError reports that a message is not a valid endpoint list, or that reading it failed.
type InvalidListError struct{ Err error }

// Error implements error.
func (e InvalidListError) Error() string { return "invalid endpoint list: " + e.Err.Error() }

// Unwrap returns the reason.
func (e InvalidListError) Unwrap() error { return e.Err }

// ParseEndpointList decodes one message. It rejects a message with any invalid entry, so that a list is never used in part. The error is an
// InvalidListError, or io.EOF for an empty text.
func ParseEndpointList(text []byte) (*EndpointList, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	l, err := decodeEndpointList(decoder)
	if err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, InvalidListError{Err: errTrailingData}
	}
	return l, nil
}

// decodeEndpointList decodes the next message. The error is an InvalidListError, or io.EOF if there is none.
func decodeEndpointList(decoder *json.Decoder) (*EndpointList, error) {
	var l EndpointList
	err := decoder.Decode(&l)
	switch {
	case errors.Is(err, io.EOF):
		return nil, err
	case err != nil:
		return nil, InvalidListError{Err: err}
	case l.Version == nil:
		return nil, InvalidListError{Err: errNoVersion}
	}
	for i := range l.Endpoints {
		if err := l.Endpoints[i].validate(i); err != nil {
			return nil, InvalidListError{Err: err}
		}
	}
	return &l, nil
}

// validate checks an endpoint. The index is its position in the list.
func (e *Endpoint) validate(index int) error {
	state, known := endpointStates[e.Health]
	switch {
	case !known:
		return fmt.Errorf("host %q has health %q, want active, leaving or left", e.ID, e.Health)
	case e.ID == "" || e.Address == "" && state != policy.Removed:
		return fmt.Errorf("entry %d lacks host or dial, want both; only a host that has left needs no dial", index)
	}
	return nil
}
