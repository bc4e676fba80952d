// Package simwire implements the simulator's line protocol. It decodes batches of messages, passes them to the hosted instances of the
// policy, and encodes their actions. This package alone maps the names of the protocol to those of the policy.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"sorrelrudder/internal/settings"
	"sorrelrudder/policy"
)

// readBufferBytes is the size of the input buffer. Lines may be longer.
const readBufferBytes = 1 << 20

// maxEndpointLists is the number of endpoint lists that the simulator may store in the process at the same time.
const maxEndpointLists = 16

var (
	errUnknownMessage = errors.New("unknown kind of message")
	errNoSuchInstance = errors.New("the instance is not open")
)

// Serve reads batches from r and writes the response to each to w, until r ends. It returns an error if the input is malformed, which then
// names the message, or if r or w fails.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{instances: map[string]*instance{}}
	in := bufio.NewReaderSize(r, readBufferBytes)
	for {
		line, readErr := in.ReadBytes('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			out, err := h.handleBatch(text)
			if err != nil {
				return err
			}
			if _, err := w.Write(out); err != nil {
				return err
			}
		}
		switch {
		case readErr == nil:
		case errors.Is(readErr, io.EOF):
			return nil
		default:
			return readErr
		}
	}
}

// host holds the instances of the process, and the endpoint lists to which messages refer. It is not safe for concurrent use.
type host struct {
	instances     map[string]*instance
	endpointLists [maxEndpointLists][]policy.Endpoint
}

// handleBatch handles one line and returns the response line.
func (h *host) handleBatch(line []byte) ([]byte, error) {
	var batch messageBatch
	if err := json.Unmarshal(line, &batch); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	if batch.TimeUs == nil {
		return nil, fmt.Errorf("decode batch: AtTimeUs is missing in %.80q", line)
	}
	out := actionBatch{Groups: []actionGroup{}}
	now := settings.Micros(*batch.TimeUs)
	for _, g := range batch.Groups {
		actions, err := h.handleGroup(now, g)
		if err != nil {
			return nil, err
		}
		if len(actions) > 0 {
			out.Groups = append(out.Groups, actionGroup{g.Instance, actions})
		}
	}
	text, err := json.Marshal(out)
	return append(text, '\n'), err
}

// handleGroup handles the messages to one instance and returns its actions.
func (h *host) handleGroup(now policy.Time, g messageGroup) (actions []action, err error) {
	for i := range g.Messages {
		m := &g.Messages[i]
		got, err := h.dispatch(now, g.Instance, m)
		if err != nil {
			return nil, fmt.Errorf("handle message %q to instance %s: %w", m.Command, g.Instance, err)
		}
		actions = append(actions, got...)
	}
	return actions, nil
}

// dispatch handles one message to the named instance and returns the actions of the instance.
func (h *host) dispatch(now policy.Time, name string, m *message) ([]action, error) {
	switch m.Command {
	case commandEndpointList:
		return nil, h.setEndpointList(m)
	case commandOpen:
		return nil, h.open(name, m)
	}
	handle, known := instanceHandlers[m.Command]
	if !known {
		return nil, errUnknownMessage
	}
	inst := h.instances[name]
	if inst == nil {
		return nil, errNoSuchInstance
	}
	if m.Command == commandClose {
		delete(h.instances, name)
		return nil, nil
	}
	return inst.handle(now, handle, h, m)
}

// open creates an instance. It replaces an open instance of the same name.
func (h *host) open(name string, m *message) error {
	inst, err := newInstance(m)
	if err == nil {
		h.instances[name] = inst
	}
	return err
}

// setEndpointList decodes an endpoint list and stores it under its number.
func (h *host) setEndpointList(m *message) error {
	if m.ListNumber < 0 || m.ListNumber >= len(h.endpointLists) {
		return fmt.Errorf("endpoint list number %d is out of range", m.ListNumber)
	}
	list := make([]policy.Endpoint, len(m.Endpoints))
	for i, e := range m.Endpoints {
		state, ok := stateByName[e.State]
		if !ok {
			return fmt.Errorf("unknown state %q of endpoint %s, want on, fading or off", e.State, e.ID)
		}
		list[i] = policy.Endpoint{
			ID:          policy.EndpointID(e.ID),
			State:       state,
			Zone:        e.Zone,
			Cell:        e.Cell,
			Weight:      e.Weight,
			MachineType: e.MachineType,
			Started:     settings.Micros(e.StartedUs),
		}
	}
	h.endpointLists[m.ListNumber] = list
	return nil
}
