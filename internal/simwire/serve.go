// Package simwire speaks the simulator's line protocol: it decodes batches of messages, hands them to the instances of the
// policy that it hosts, and encodes their actions. The names of the protocol are mapped to those of the policy here, and
// nowhere else.
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

// readBufferBytes is the size of the buffer of input. Longer lines are read too.
const readBufferBytes = 1 << 20

// maxEndpointLists is how many endpoint lists the simulator keeps here.
const maxEndpointLists = 16

var (
	errUnknownMessage = errors.New("unknown message")
	errNoSuchInstance = errors.New("no such instance is open")
)

// Serve answers the batches read from r on w until r ends. An error means that the input was malformed, and names the
// message, or that r or w failed.
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

// host holds the instances of the process, and the endpoint lists that messages refer to.
type host struct {
	instances     map[string]*instance
	endpointLists [maxEndpointLists][]policy.Endpoint
}

// handleBatch answers one line.
func (h *host) handleBatch(line []byte) ([]byte, error) {
	var batch messageBatch
	if err := json.Unmarshal(line, &batch); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	if batch.TimeUs == nil {
		return nil, fmt.Errorf("batch: no AtTimeUs in %.80q", line)
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

func (h *host) handleGroup(now policy.Time, g messageGroup) (actions []action, err error) {
	for i := range g.Messages {
		m := &g.Messages[i]
		got, err := h.dispatch(now, g.Instance, m)
		if err != nil {
			return nil, fmt.Errorf("message %q to %s: %w", m.Command, g.Instance, err)
		}
		actions = append(actions, got...)
	}
	return actions, nil
}

// dispatch handles one message to the instance of that name, and returns the instance's actions.
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

// open opens an instance. One of the same name is replaced.
func (h *host) open(name string, m *message) error {
	inst, err := newInstance(m)
	if err == nil {
		h.instances[name] = inst
	}
	return err
}

// setEndpointList decodes a list, and keeps it under its number.
func (h *host) setEndpointList(m *message) error {
	if m.ListNumber < 0 || m.ListNumber >= len(h.endpointLists) {
		return fmt.Errorf("list number %d out of range", m.ListNumber)
	}
	list := make([]policy.Endpoint, len(m.Endpoints))
	for i, e := range m.Endpoints {
		state, ok := stateByName[e.State]
		if !ok {
			return fmt.Errorf("unknown state %q of %s", e.State, e.ID)
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
