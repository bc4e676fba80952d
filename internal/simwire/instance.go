package simwire

import (
	"fmt"
	"time"

	"sorrelrudder/internal/settings"
	"sorrelrudder/policy"
)

// instance is an instance of the policy. It implements policy.Actions by recording the actions. It is not safe for concurrent use.
type instance struct {
	balancer   *policy.Balancer
	loadFields []string // names of the values in a load report, in their order
	actions    []action // recorded while handling the current message
}

// newInstance creates an instance with the settings and the seed of m.
func newInstance(m *message) (*instance, error) {
	s, err := settings.Parse(m.Settings)
	if err != nil {
		return nil, err
	}
	b, err := policy.New(s.Config, m.Seed)
	if err != nil {
		return nil, err
	}
	return &instance{balancer: b, loadFields: s.LoadReportFields}, nil
}

// handler passes a message to the balancer of an instance.
type handler func(i *instance, now policy.Time, h *host, m *message) error

// instanceHandlers holds the handlers of all messages to an open instance.
var instanceHandlers = map[command]handler{
	commandEndpointUpdate:    (*instance).updateEndpoints,
	commandRequest:           (*instance).handleRequest,
	commandResponseStarted:   (*instance).handleResponseStarted,
	commandAttemptResult:     (*instance).handleAttemptResult,
	commandClientGone:        (*instance).handleClientGone,
	commandTimer:             (*instance).handleTimer,
	commandHealthCheckResult: (*instance).handleHealthCheckResult,
	commandNote:              ignore,
	commandClose:             ignore, // host.dispatch removes the instance
}

// handle handles a message and returns the actions of the policy. If the policy panics, the only action is a commandPanic.
func (i *instance) handle(now policy.Time, f handler, h *host, m *message) (actions []action, err error) {
	defer func() {
		if p := recover(); p != nil {
			actions = []action{{Command: commandPanic, Text: fmt.Sprintf("%s: %v", m.Command, p)}}
		}
	}()
	i.actions = nil
	err = f(i, now, h, m)
	return i.actions, err
}

func (i *instance) updateEndpoints(now policy.Time, h *host, m *message) error {
	kind, ok := updateKindByName[m.UpdateKind]
	if !ok {
		return fmt.Errorf("unknown kind of endpoint update %q, want patch, whole, stale_copy or broken", m.UpdateKind)
	}
	var list []policy.Endpoint
	if kind != policy.UpdatePollFailed {
		if m.ListNumber < 0 || m.ListNumber >= len(h.endpointLists) {
			return fmt.Errorf("endpoint list number %d is out of range", m.ListNumber)
		}
		list = h.endpointLists[m.ListNumber]
	}
	i.balancer.UpdateEndpoints(now, kind, list, i)
	return nil
}

func (i *instance) handleRequest(now policy.Time, _ *host, m *message) error {
	tenant, _ := m.Tenant.(string)
	i.balancer.HandleRequest(now, policy.Request{
		ID:           policy.RequestID(m.RequestID),
		Class:        m.Class,
		Tenant:       tenant,
		Key:          m.Key,
		ExpectedWork: settings.Micros(m.ExpectedWorkUs),
		IsRetry:      m.IsRetry,
		Expires:      settings.Micros(m.ExpiresUs),
	}, i)
	return nil
}

func (i *instance) handleResponseStarted(now policy.Time, _ *host, m *message) error {
	i.balancer.HandleResponseStarted(now, policy.RequestID(m.RequestID), m.Attempt, i)
	return nil
}

func (i *instance) handleAttemptResult(now policy.Time, _ *host, m *message) error {
	status, err := parseStatus(m.Status)
	if err != nil {
		return err
	}
	i.balancer.HandleAttemptResult(now, policy.AttemptResult{
		ID:           policy.RequestID(m.RequestID),
		Attempt:      m.Attempt,
		Endpoint:     policy.EndpointID(m.Endpoint),
		Status:       status,
		Latency:      settings.Micros(m.DelayUs),
		RequestEnded: m.RequestEnded,
		Load:         i.parseLoad(m.LoadReport),
	}, i)
	return nil
}

func (i *instance) handleHealthCheckResult(now policy.Time, _ *host, m *message) error {
	status, err := parseStatus(m.Status)
	if err != nil {
		return err
	}
	i.balancer.HandleHealthCheck(now, policy.HealthCheckResult{
		Endpoint: policy.EndpointID(m.Endpoint),
		Status:   status,
		Latency:  settings.Micros(m.DelayUs),
		Load:     i.parseLoad(m.LoadReport),
	}, i)
	return nil
}

func (i *instance) handleClientGone(now policy.Time, _ *host, m *message) error {
	i.balancer.HandleRequestAbandoned(now, policy.RequestID(m.RequestID), i)
	return nil
}

func (i *instance) handleTimer(now policy.Time, _ *host, m *message) error {
	i.balancer.HandleTimer(now, m.TimerToken, i)
	return nil
}

// ignore is the handler of messages without effect on the balancer.
func ignore(*instance, policy.Time, *host, *message) error { return nil }

// parseStatus returns the status of an attempt or a health check that has the given name in the protocol.
func parseStatus(name string) (policy.Status, error) {
	status, ok := statusByName[name]
	if !ok {
		return 0, fmt.Errorf("unknown outcome %q of an attempt or a health check", name)
	}
	return status, nil
}

// parseLoad returns the load report with these values, in the order of i.loadFields, or nil without values.
func (i *instance) parseLoad(values []float64) *policy.LoadReport {
	if len(values) == 0 {
		return nil
	}
	load := settings.EmptyLoadReport()
	for k, v := range values[:min(len(values), len(i.loadFields))] {
		settings.SetLoadField(&load, i.loadFields[k], v)
	}
	return &load
}

// add records an action.
func (i *instance) add(a action) { i.actions = append(i.actions, a) }

// StartAttempt implements policy.Actions.
func (i *instance) StartAttempt(id policy.RequestID, e policy.EndpointID, timeout time.Duration) {
	i.add(action{Command: commandStartAttempt, RequestID: &id, Endpoint: e, TimeoutUs: timeout.Microseconds()})
}

// Reject implements policy.Actions.
func (i *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	i.add(action{Command: commandReject, RequestID: &id, RetryAfterUs: retryAfter.Microseconds()})
}

// Fail implements policy.Actions.
func (i *instance) Fail(id policy.RequestID) { i.add(action{Command: commandFail, RequestID: &id}) }

// CancelAttempt implements policy.Actions.
func (i *instance) CancelAttempt(id policy.RequestID, attempt int) {
	i.add(action{Command: commandCancelAttempt, RequestID: &id, Attempt: &attempt})
}

// SetTimer implements policy.Actions.
func (i *instance) SetTimer(after time.Duration, token string) {
	us := max(0, after.Microseconds())
	i.add(action{Command: commandSetTimer, AfterUs: &us, TimerToken: token})
}

// CheckHealth implements policy.Actions.
func (i *instance) CheckHealth(e policy.EndpointID) {
	i.add(action{Command: commandCheckHealth, Endpoint: e})
}

// WatchEndpoints implements policy.Actions.
func (i *instance) WatchEndpoints(on bool) {
	i.add(action{Command: commandWatchEndpoints, Active: &on})
}

// Log implements policy.Actions.
func (i *instance) Log(text string) { i.add(action{Command: commandLog, Text: text}) }
