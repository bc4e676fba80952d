// Package simwire speaks the simulator's line protocol: it decodes batches of
// events, hands them to the policy instances that it hosts, and encodes what
// they decide. It decides nothing itself.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"sorrelrudder/internal/settings"
	"sorrelrudder/policy"
)

// Serve answers the batches read from r on w until r ends. An error means
// that the input was malformed; it names the message at fault.
func Serve(r io.Reader, w io.Writer) error {
	h := &host{instances: map[string]*instance{}}
	in := bufio.NewReaderSize(r, 1<<20)
	for {
		line, err := in.ReadBytes('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			out, err := h.handleBatch(text)
			if err != nil {
				return err
			}
			if _, err := w.Write(out); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

type messageBatch struct {
	TimeUs *int64         `json:"AtTimeUs"`
	Groups []messageGroup `json:"groups"`
}

type messageGroup struct {
	Instance string    `json:"Sidecar"`
	Messages []message `json:"msgs"`
}

// message holds the fields of every event; Cmd tells which are set.
type message struct {
	Command        string          `json:"cmd"`
	Seed           uint64          `json:"Salt"`
	Settings       json.RawMessage `json:"Settings"`
	ListNumber     int             `json:"Page"`
	Endpoints      []endpoint      `json:"Lines"`
	UpdateKind     string          `json:"How"`
	RequestID      uint64          `json:"Corr"`
	ExpectedWorkUs int64           `json:"CostUs"`
	ExpiresUs      int64           `json:"ExpiresUs"`
	IsRetry        bool            `json:"IsRetry"`
	Key            string          `json:"Item"`
	Tenant         any             `json:"Project"` // a name, or 0 at sites without tenants
	Class          string          `json:"Type"`
	Attempt        int             `json:"Shot"`
	RequestEnded   bool            `json:"Terminal"`
	Status         string          `json:"Disposition"`
	DelayUs        int64           `json:"DelaySeenUs"`
	Endpoint       string          `json:"Upstream"`
	LoadReport     []float64       `json:"Metrics"`
	TimerToken     string          `json:"Ctx"`
}

type endpoint struct {
	StartedUs   int64   `json:"LastStartUs"`
	Weight      float64 `json:"CapacityHint"`
	State       string  `json:"Lifecycle"`
	Zone        string  `json:"Az"`
	ID          string  `json:"Upstream"`
	Cell        int     `json:"UnitGroup"`
	MachineType string  `json:"GenerationHw"`
}

type actionBatch struct {
	Groups []actionGroup `json:"groups"`
}

type actionGroup struct {
	Instance string   `json:"Sidecar"`
	Actions  []action `json:"orders"`
}

// action holds the fields of every action.
type action struct {
	Command      string            `json:"cmd"`
	RequestID    *policy.RequestID `json:"Corr,omitempty"` // 0 is an id too
	Endpoint     policy.EndpointID `json:"Upstream,omitzero"`
	TimeoutUs    int64             `json:"MaxWaitUs,omitzero"`
	RetryAfterUs int64             `json:"StayAwayUs,omitzero"`
	Attempt      *int              `json:"Shot,omitempty"`
	AfterUs      *int64            `json:"AfterUs,omitempty"`
	TimerToken   string            `json:"Ctx,omitzero"`
	Active       *bool             `json:"Active,omitempty"`
	Text         string            `json:"Text,omitzero"`
}

var statusByName = map[string]policy.Status{
	"delivered": policy.StatusOK, "app_error": policy.StatusApplicationError, "shed": policy.StatusOverloaded, "expired": policy.StatusTimeout,
	"dial_failed": policy.StatusConnectFailed, "dropped": policy.StatusReset, "revoked": policy.StatusCanceled, "unused": policy.StatusNotSent,
}

var stateByName = map[string]policy.EndpointState{"on": policy.Ready, "fading": policy.Draining, "off": policy.Removed}

var updateKindByName = map[string]policy.UpdateKind{
	"patch": policy.UpdateDelta, "whole": policy.UpdateFull, "stale_copy": policy.UpdateCached, "broken": policy.UpdatePollFailed,
}

// host holds the instances of the process and the lists they refer to.
type host struct {
	instances     map[string]*instance
	endpointLists [16][]policy.Endpoint
}

func newInstance(e *message) (*instance, error) {
	s, err := settings.Parse(e.Settings)
	if err != nil {
		return nil, err
	}
	b, err := policy.New(s.Config, e.Seed)
	if err != nil {
		return nil, err
	}
	return &instance{balancer: b, loadFields: s.LoadReportFields}, nil
}

type instance struct {
	balancer   *policy.Balancer
	loadFields []string // names of the values in a load report
	actions    []action
}

func (h *host) handleBatch(line []byte) ([]byte, error) {
	var b messageBatch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	if b.TimeUs == nil {
		return nil, fmt.Errorf("batch: no AtTimeUs in %.80q", line)
	}
	out := actionBatch{Groups: []actionGroup{}}
	for _, g := range b.Groups {
		var done []action
		for i := range g.Messages {
			got, err := h.dispatch(settings.Micros(*b.TimeUs), g.Instance, &g.Messages[i])
			if err != nil {
				return nil, fmt.Errorf("message %q to %s: %w", g.Messages[i].Command, g.Instance, err)
			}
			done = append(done, got...)
		}
		if len(done) > 0 {
			out.Groups = append(out.Groups, actionGroup{g.Instance, done})
		}
	}
	text, err := json.Marshal(out)
	return append(text, '\n'), err
}

// dispatch hands one event to its instance. A panic of the module becomes a Fault.
func (h *host) dispatch(now policy.Time, name string, e *message) (got []action, err error) {
	if e.Command == "Pool" {
		return nil, h.handleEndpointList(e)
	}
	if e.Command == "OpenInstance" {
		inst, err := newInstance(e)
		if err == nil {
			h.instances[name] = inst
		}
		return nil, err
	}
	if !instanceCommands[e.Command] {
		return nil, fmt.Errorf("unknown message")
	}
	inst := h.instances[name]
	if inst == nil {
		return nil, fmt.Errorf("no such instance is open")
	}
	if e.Command == "Halt" {
		delete(h.instances, name)
		return nil, nil
	}
	defer func() {
		if p := recover(); p != nil {
			got = []action{{Command: "Fault", Text: fmt.Sprintf("%s: %v", e.Command, p)}}
		}
	}()
	inst.actions = nil
	err = h.deliver(now, inst, e)
	return inst.actions, err
}

var instanceCommands = map[string]bool{
	"Halt": true, "BackendsChanged": true, "Demand": true, "Opened": true, "ReportBack": true, "Withdrawn": true,
	"DeadlineHit": true, "HealthResult": true, "Memo": true,
}

func (h *host) deliver(now policy.Time, inst *instance, e *message) error {
	b := inst.balancer
	switch e.Command {
	case "BackendsChanged":
		kind, ok := updateKindByName[e.UpdateKind]
		if !ok {
			return fmt.Errorf("unknown kind of list %q", e.UpdateKind)
		}
		var lines []policy.Endpoint
		if kind != policy.UpdatePollFailed {
			if e.ListNumber < 0 || e.ListNumber >= len(h.endpointLists) {
				return fmt.Errorf("no list %d", e.ListNumber)
			}
			lines = h.endpointLists[e.ListNumber]
		}
		b.UpdateEndpoints(now, kind, lines, inst)
	case "Demand":
		tenant, _ := e.Tenant.(string)
		b.HandleRequest(now, policy.Request{
			ID: policy.RequestID(e.RequestID), Class: e.Class, Tenant: tenant, Key: e.Key, ExpectedWork: settings.Micros(e.ExpectedWorkUs),
			IsRetry: e.IsRetry, Expires: settings.Micros(e.ExpiresUs),
		}, inst)
	case "Opened":
		b.HandleResponseStarted(now, policy.RequestID(e.RequestID), e.Attempt, inst)
	case "ReportBack", "HealthResult":
		status, ok := statusByName[e.Status]
		if !ok {
			return fmt.Errorf("unknown outcome %q", e.Status)
		}
		server, delay, load := policy.EndpointID(e.Endpoint), settings.Micros(e.DelayUs), inst.parseLoad(e.LoadReport)
		if e.Command == "HealthResult" {
			b.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: server, Status: status, Delay: delay, Load: load}, inst)
			return nil
		}
		b.HandleAttemptResult(now, policy.AttemptResult{
			ID: policy.RequestID(e.RequestID), Attempt: e.Attempt, Endpoint: server, Status: status, Delay: delay,
			RequestEnded: e.RequestEnded, Load: load,
		}, inst)
	case "Withdrawn":
		b.HandleClientGone(now, policy.RequestID(e.RequestID), inst)
	case "DeadlineHit":
		b.HandleTimer(now, e.TimerToken, inst)
	}
	return nil
}

func (h *host) handleEndpointList(e *message) error {
	if e.ListNumber < 0 || e.ListNumber >= len(h.endpointLists) {
		return fmt.Errorf("list number %d out of range", e.ListNumber)
	}
	lines := make([]policy.Endpoint, len(e.Endpoints))
	for i, l := range e.Endpoints {
		state, ok := stateByName[l.State]
		if !ok {
			return fmt.Errorf("unknown state %q of %s", l.State, l.ID)
		}
		lines[i] = policy.Endpoint{
			ID: policy.EndpointID(l.ID), State: state, Zone: l.Zone, Cell: l.Cell,
			Weight: l.Weight, Kind: l.MachineType, Started: settings.Micros(l.StartedUs),
		}
	}
	h.endpointLists[e.ListNumber] = lines
	return nil
}

// parseLoad reads a report by the names of its fields.
func (i *instance) parseLoad(row []float64) *policy.LoadReport {
	if len(row) == 0 {
		return nil
	}
	l := settings.EmptyLoadReport()
	for k, v := range row[:min(len(row), len(i.loadFields))] {
		settings.SetLoadField(&l, i.loadFields[k], v)
	}
	return &l
}

// The methods of policy.Actions.

func (i *instance) add(o action) { i.actions = append(i.actions, o) }

func (i *instance) StartAttempt(id policy.RequestID, s policy.EndpointID, timeout time.Duration) {
	i.add(action{Command: "Route", RequestID: &id, Endpoint: s, TimeoutUs: timeout.Microseconds()})
}

func (i *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	i.add(action{Command: "OverloadReply", RequestID: &id, RetryAfterUs: retryAfter.Microseconds()})
}

func (i *instance) Fail(id policy.RequestID) { i.add(action{Command: "Lose", RequestID: &id}) }

func (i *instance) CancelAttempt(id policy.RequestID, attempt int) {
	i.add(action{Command: "DropAttempt", RequestID: &id, Attempt: &attempt})
}

func (i *instance) SetTimer(after time.Duration, token string) {
	us := max(0, after.Microseconds())
	i.add(action{Command: "SetTimer", AfterUs: &us, TimerToken: token})
}

func (i *instance) CheckHealth(s policy.EndpointID) { i.add(action{Command: "Ping", Endpoint: s}) }

func (i *instance) WatchEndpoints(on bool) { i.add(action{Command: "KeepInformed", Active: &on}) }

func (i *instance) Log(text string) { i.add(action{Command: "JournalLine", Text: text}) }
