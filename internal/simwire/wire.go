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
			out, err := h.batch(text)
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

type batch struct {
	AtTimeUs *int64  `json:"AtTimeUs"`
	Groups   []group `json:"groups"`
}

type group struct {
	Sidecar string  `json:"Sidecar"`
	Msgs    []event `json:"msgs"`
}

// event holds the fields of every event; Cmd tells which are set.
type event struct {
	Cmd         string          `json:"cmd"`
	Salt        uint64          `json:"Salt"`
	Settings    json.RawMessage `json:"Settings"`
	Page        int             `json:"Page"`
	Lines       []entry         `json:"Lines"`
	How         string          `json:"How"`
	Corr        uint64          `json:"Corr"`
	CostUs      int64           `json:"CostUs"`
	ExpiresUs   int64           `json:"ExpiresUs"`
	IsRetry     bool            `json:"IsRetry"`
	Item        string          `json:"Item"`
	Project     any             `json:"Project"` // a name, or 0 at sites without tenants
	Type        string          `json:"Type"`
	Shot        int             `json:"Shot"`
	Terminal    bool            `json:"Terminal"`
	Disposition string          `json:"Disposition"`
	DelaySeenUs int64           `json:"DelaySeenUs"`
	Upstream    string          `json:"Upstream"`
	Metrics     []float64       `json:"Metrics"`
	Ctx         string          `json:"Ctx"`
}

type entry struct {
	LastStartUs  int64   `json:"LastStartUs"`
	CapacityHint float64 `json:"CapacityHint"`
	Lifecycle    string  `json:"Lifecycle"`
	Az           string  `json:"Az"`
	Upstream     string  `json:"Upstream"`
	UnitGroup    int     `json:"UnitGroup"`
	GenerationHw string  `json:"GenerationHw"`
}

type reply struct {
	Groups []orders `json:"groups"`
}

type orders struct {
	Sidecar string  `json:"Sidecar"`
	Orders  []order `json:"orders"`
}

// order holds the fields of every action.
type order struct {
	Cmd        string            `json:"cmd"`
	Corr       *policy.RequestID `json:"Corr,omitempty"` // 0 is an id too
	Upstream   policy.EndpointID `json:"Upstream,omitzero"`
	MaxWaitUs  int64             `json:"MaxWaitUs,omitzero"`
	StayAwayUs int64             `json:"StayAwayUs,omitzero"`
	Shot       *int              `json:"Shot,omitempty"`
	AfterUs    *int64            `json:"AfterUs,omitempty"`
	Ctx        string            `json:"Ctx,omitzero"`
	Active     *bool             `json:"Active,omitempty"`
	Text       string            `json:"Text,omitzero"`
}

var statuses = map[string]policy.Status{
	"delivered": policy.StatusOK, "app_error": policy.StatusApplicationError, "shed": policy.StatusOverloaded, "expired": policy.StatusTimeout,
	"dial_failed": policy.StatusConnectFailed, "dropped": policy.StatusReset, "revoked": policy.StatusCanceled, "unused": policy.StatusNotSent,
}

var states = map[string]policy.EndpointState{"on": policy.Ready, "fading": policy.Draining, "off": policy.Removed}

var kinds = map[string]policy.UpdateKind{
	"patch": policy.UpdateDelta, "whole": policy.UpdateFull, "stale_copy": policy.UpdateCached, "broken": policy.UpdatePollFailed,
}

// host holds the instances of the process and the lists they refer to.
type host struct {
	instances map[string]*instance
	pages     [16][]policy.Endpoint
}

func open(e *event) (*instance, error) {
	s, err := settings.Parse(e.Settings)
	if err != nil {
		return nil, err
	}
	b, err := policy.New(s.Config, e.Salt)
	if err != nil {
		return nil, err
	}
	return &instance{balancer: b, fields: s.LoadReportFields}, nil
}

type instance struct {
	balancer *policy.Balancer
	fields   []string // names of the values in a load report
	orders   []order
}

func (h *host) batch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	if b.AtTimeUs == nil {
		return nil, fmt.Errorf("batch: no AtTimeUs in %.80q", line)
	}
	out := reply{Groups: []orders{}}
	for _, g := range b.Groups {
		var done []order
		for i := range g.Msgs {
			got, err := h.dispatch(settings.Micros(*b.AtTimeUs), g.Sidecar, &g.Msgs[i])
			if err != nil {
				return nil, fmt.Errorf("message %q to %s: %w", g.Msgs[i].Cmd, g.Sidecar, err)
			}
			done = append(done, got...)
		}
		if len(done) > 0 {
			out.Groups = append(out.Groups, orders{g.Sidecar, done})
		}
	}
	text, err := json.Marshal(out)
	return append(text, '\n'), err
}

// dispatch hands one event to its instance. A panic of the module becomes a Fault.
func (h *host) dispatch(now policy.Time, name string, e *event) (got []order, err error) {
	if e.Cmd == "Pool" {
		return nil, h.pool(e)
	}
	if e.Cmd == "OpenInstance" {
		inst, err := open(e)
		if err == nil {
			h.instances[name] = inst
		}
		return nil, err
	}
	if !known[e.Cmd] {
		return nil, fmt.Errorf("unknown message")
	}
	inst := h.instances[name]
	if inst == nil {
		return nil, fmt.Errorf("no such instance is open")
	}
	if e.Cmd == "Halt" {
		delete(h.instances, name)
		return nil, nil
	}
	defer func() {
		if p := recover(); p != nil {
			got = []order{{Cmd: "Fault", Text: fmt.Sprintf("%s: %v", e.Cmd, p)}}
		}
	}()
	inst.orders = nil
	err = h.deliver(now, inst, e)
	return inst.orders, err
}

var known = map[string]bool{
	"Halt": true, "BackendsChanged": true, "Demand": true, "Opened": true, "ReportBack": true, "Withdrawn": true,
	"DeadlineHit": true, "HealthResult": true, "Memo": true,
}

func (h *host) deliver(now policy.Time, inst *instance, e *event) error {
	b := inst.balancer
	switch e.Cmd {
	case "BackendsChanged":
		kind, ok := kinds[e.How]
		if !ok {
			return fmt.Errorf("unknown kind of list %q", e.How)
		}
		var lines []policy.Endpoint
		if kind != policy.UpdatePollFailed {
			if e.Page < 0 || e.Page >= len(h.pages) {
				return fmt.Errorf("no list %d", e.Page)
			}
			lines = h.pages[e.Page]
		}
		b.UpdateEndpoints(now, kind, lines, inst)
	case "Demand":
		tenant, _ := e.Project.(string)
		b.HandleRequest(now, policy.Request{
			ID: policy.RequestID(e.Corr), Class: e.Type, Tenant: tenant, Key: e.Item, ExpectedWork: settings.Micros(e.CostUs),
			IsRetry: e.IsRetry, Expires: settings.Micros(e.ExpiresUs),
		}, inst)
	case "Opened":
		b.HandleResponseStarted(now, policy.RequestID(e.Corr), e.Shot, inst)
	case "ReportBack", "HealthResult":
		status, ok := statuses[e.Disposition]
		if !ok {
			return fmt.Errorf("unknown outcome %q", e.Disposition)
		}
		server, delay, load := policy.EndpointID(e.Upstream), settings.Micros(e.DelaySeenUs), inst.load(e.Metrics)
		if e.Cmd == "HealthResult" {
			b.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: server, Status: status, Delay: delay, Load: load}, inst)
			return nil
		}
		b.HandleAttemptResult(now, policy.AttemptResult{
			ID: policy.RequestID(e.Corr), Attempt: e.Shot, Endpoint: server, Status: status, Delay: delay,
			RequestEnded: e.Terminal, Load: load,
		}, inst)
	case "Withdrawn":
		b.HandleClientGone(now, policy.RequestID(e.Corr), inst)
	case "DeadlineHit":
		b.HandleTimer(now, e.Ctx, inst)
	}
	return nil
}

func (h *host) pool(e *event) error {
	if e.Page < 0 || e.Page >= len(h.pages) {
		return fmt.Errorf("list number %d out of range", e.Page)
	}
	lines := make([]policy.Endpoint, len(e.Lines))
	for i, l := range e.Lines {
		state, ok := states[l.Lifecycle]
		if !ok {
			return fmt.Errorf("unknown state %q of %s", l.Lifecycle, l.Upstream)
		}
		lines[i] = policy.Endpoint{
			ID: policy.EndpointID(l.Upstream), State: state, Zone: l.Az, Cell: l.UnitGroup,
			Weight: l.CapacityHint, Kind: l.GenerationHw, Started: settings.Micros(l.LastStartUs),
		}
	}
	h.pages[e.Page] = lines
	return nil
}

// load reads a report by the names of its fields.
func (i *instance) load(row []float64) *policy.LoadReport {
	if len(row) == 0 {
		return nil
	}
	l := settings.EmptyLoadReport()
	for k, v := range row[:min(len(row), len(i.fields))] {
		settings.SetLoadField(&l, i.fields[k], v)
	}
	return &l
}

// The methods of policy.Actions.

func (i *instance) add(o order) { i.orders = append(i.orders, o) }

func (i *instance) StartAttempt(id policy.RequestID, s policy.EndpointID, timeout time.Duration) {
	i.add(order{Cmd: "Route", Corr: &id, Upstream: s, MaxWaitUs: timeout.Microseconds()})
}

func (i *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	i.add(order{Cmd: "OverloadReply", Corr: &id, StayAwayUs: retryAfter.Microseconds()})
}

func (i *instance) Fail(id policy.RequestID) { i.add(order{Cmd: "Lose", Corr: &id}) }

func (i *instance) CancelAttempt(id policy.RequestID, attempt int) {
	i.add(order{Cmd: "DropAttempt", Corr: &id, Shot: &attempt})
}

func (i *instance) SetTimer(after time.Duration, token string) {
	us := max(0, after.Microseconds())
	i.add(order{Cmd: "SetTimer", AfterUs: &us, Ctx: token})
}

func (i *instance) CheckHealth(s policy.EndpointID) { i.add(order{Cmd: "Ping", Upstream: s}) }

func (i *instance) WatchEndpoints(on bool) { i.add(order{Cmd: "KeepInformed", Active: &on}) }

func (i *instance) Log(text string) { i.add(order{Cmd: "JournalLine", Text: text}) }
