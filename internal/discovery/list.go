package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"sorrelrudder/policy"
)

// EndpointList is a message of a source: the complete list, or what has changed since the message before.
type EndpointList struct {
	Version   *int64     `json:"seq"` // rises with each message; never nil in a list that was parsed
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is what a source says of an endpoint. The names of the platform's protocol are mapped to the terms of the field here.
type Endpoint struct {
	ID          string  `json:"host"`
	Address     string  `json:"dial"` // host and port
	Zone        string  `json:"site"`
	Cell        int     `json:"block"`
	MachineType string  `json:"class"`
	Health      string  `json:"health"` // one of the constants below
	Weight      float64 `json:"share"`
	StartedMs   int64   `json:"born_ms"` // Unix milliseconds; 0: not known
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

// The errors of a list that lacks something.
var (
	errTrailingData = errors.New("something follows it")
	errNoVersion    = errors.New("no seq")
)

// InvalidListError is that a message could not be read as an endpoint list.
type InvalidListError struct{ Err error }

func (e InvalidListError) Error() string { return "server list: " + e.Err.Error() }

// Unwrap returns what is wrong with it.
func (e InvalidListError) Unwrap() error { return e.Err }

// ParseEndpointList reads one message. It rejects a message that is malformed anywhere, so that a list is never taken over in part. The
// error is an InvalidListError, or io.EOF for an empty text.
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

// decodeEndpointList reads the next message. The error is an InvalidListError, or io.EOF if there is none.
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

// validate checks an endpoint, which is the one of that index in its list.
func (e *Endpoint) validate(index int) error {
	state, known := endpointStates[e.Health]
	switch {
	case !known:
		return fmt.Errorf("host %q has health %q", e.ID, e.Health)
	case e.ID == "" || e.Address == "" && state != policy.Removed:
		return fmt.Errorf("entry %d lacks host or dial", index)
	}
	return nil
}
