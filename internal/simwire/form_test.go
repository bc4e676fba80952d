package simwire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/goldentest"
	"sorrelrudder/policy"
)

// dropEmpty removes zero values from decoded JSON, since the simulator's messages contain only the fields of their kind.
func dropEmpty(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for key, x := range v {
			if x = dropEmpty(x); x == nil {
				delete(v, key)
			} else {
				v[key] = x
			}
		}
		if len(v) == 0 {
			return nil
		}
	case []any:
		for i := range v {
			v[i] = dropEmpty(v[i])
		}
		if len(v) == 0 {
			return nil
		}
	case json.Number:
		if v == "0" {
			return nil
		}
	case string:
		if v == "" {
			return nil
		}
	case bool:
		if !v {
			return nil
		}
	}
	return v
}

// eventForm returns the form of a batch with one message to one instance, as one line.
func eventForm(name string, e message, full bool) goldentest.Form {
	at := int64(20000)
	b := messageBatch{TimeUs: &at, Groups: []messageGroup{{Instance: "sidecar/0", Messages: []message{e}}}}
	text, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	var fields any
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := d.Decode(&fields); err != nil {
		panic(err)
	}
	if text, err = json.Marshal(dropEmpty(fields)); err != nil {
		panic(err)
	}
	read := func(text string) (any, error) {
		var b messageBatch
		err := json.Unmarshal([]byte(text), &b)
		return b, err
	}
	return goldentest.Form{Name: name, Written: string(text), Read: read, Value: b, Full: full}
}

// session returns a message of each kind and with each value of each enumeration, in an order that an instance accepts.
func session() []goldentest.Form {
	const server = "10.0.0.1:80"
	lines := []endpoint{
		{StartedUs: 5, Weight: 1.5, State: "on", Zone: "a", ID: server, Cell: 3, MachineType: "gen7"},
		{State: "fading", Zone: "a", ID: "10.0.0.2:80", Weight: 1}, {State: "off", Zone: "b", ID: "10.0.0.3:80"},
	}
	all := []goldentest.Form{
		eventForm("open", message{Command: "OpenInstance", Seed: 1<<63 | 7, Settings: json.RawMessage(sessionSettings)}, false),
		eventForm("list", message{Command: "Pool", ListNumber: 2, Endpoints: lines}, false),
	}
	for _, how := range slices.Sorted(maps.Keys(updateKindByName)) {
		all = append(all, eventForm("list that is "+how, message{Command: "BackendsChanged", UpdateKind: how, ListNumber: 2}, false))
	}
	for i, outcome := range slices.Sorted(maps.Keys(statusByName)) {
		corr := uint64(i + 1)
		demand := message{Command: "Demand", RequestID: corr, ExpectedWorkUs: 900, ExpiresUs: 400020, IsRetry: true, Key: "91f0", Tenant: "acme", Class: "q"}
		report := message{Command: "ReportBack", RequestID: corr, RequestEnded: true, Status: outcome, DelayUs: 7000, Endpoint: server, LoadReport: []float64{2, 7.5}}
		all = append(all, eventForm("request", demand, false), eventForm("outcome "+outcome, report, false))
	}
	for _, outcome := range slices.Sorted(maps.Keys(statusByName)) {
		e := message{Command: "HealthResult", Status: outcome, DelayUs: 600, Endpoint: server, LoadReport: []float64{3, 8.5}}
		all = append(all, eventForm("probe "+outcome, e, false))
	}
	return append(all,
		eventForm("request that streams", message{Command: "Demand", RequestID: 1 << 52, Class: "q", ExpiresUs: 500000}, false),
		eventForm("first part of an answer", message{Command: "Opened", RequestID: 1 << 52, Attempt: 1}, false),
		eventForm("request withdrawn", message{Command: "Withdrawn", RequestID: 1 << 52}, false),
		eventForm("timer", message{Command: "DeadlineHit", TimerToken: "watch"}, false),
		eventForm("note of a neighbour", message{Command: "Memo"}, false),
		eventForm("end", message{Command: "Halt"}, false),
	)
}

// sessionSettings has its keys in alphabetical order, like the encoded forms.
const sessionSettings = `{"GroupSize":1,"Limits":{"Cancelling":true,"MayDuplicate":true,"Probes":true,"SendCap":3},` +
	`"MembershipMode":"on_request","RequestClasses":[{"AimUs":250000,"DeadlineUs":500000,"Effect":"read_like","Group":"all","Name":"q","Worth":2}],` +
	`"Safety":{"AskEveryUs":10000000,"GraceToAnswerUs":20000},"Telemetry":{"Fields":["queue","latency_ms"],"Via":"on_probe"},"TickUs":5000,"Zone":"a"}`

// TestEventForm guards against a change of the decoding of any message.
func TestEventForm(t *testing.T) {
	full := message{
		Command: "Demand", Seed: 1, Settings: json.RawMessage(`{"GroupSize":1}`), ListNumber: 2,
		Endpoints:  []endpoint{{StartedUs: 5, Weight: 1.5, State: "on", Zone: "a", ID: "10.0.0.1:80", Cell: 3, MachineType: "gen7"}},
		UpdateKind: "patch", RequestID: 1<<63 | 1, ExpectedWorkUs: 900, ExpiresUs: 400020, IsRetry: true, Key: "91f0", Tenant: "acme", Class: "q", Attempt: 1,
		RequestEnded: true, Status: "delivered", DelayUs: 7000, Endpoint: "10.0.0.1:80", LoadReport: []float64{2.5}, TimerToken: "watch",
	}
	goldentest.CheckForms(t, "events.golden", append([]goldentest.Form{eventForm("all fields", full, true)}, session()...))
}

// TestSessionForm guards against a field of a message that is not passed to the policy. It pins the actions that an instance returns for
// these messages. The actions are decided by package policy, and change with intended changes of its decisions.
func TestSessionForm(t *testing.T) {
	var forms []goldentest.Form
	h := &host{instances: map[string]*instance{}}
	for _, f := range session() {
		out, err := h.handleBatch([]byte(f.Written))
		if err != nil {
			t.Fatalf("%s: %v", f.Written, err)
		}
		forms = append(forms, goldentest.Form{Name: f.Name, Written: strings.TrimSuffix(string(out), "\n")})
	}
	goldentest.CheckForms(t, "session.golden", forms)
	want := []policy.Endpoint{
		{ID: "10.0.0.1:80", State: policy.Ready, Zone: "a", Cell: 3, Weight: 1.5, MachineType: "gen7", Started: 5 * time.Microsecond},
		{ID: "10.0.0.2:80", State: policy.Draining, Zone: "a", Weight: 1}, {ID: "10.0.0.3:80", State: policy.Removed, Zone: "b"},
	}
	if !reflect.DeepEqual(h.endpointLists[2], want) {
		t.Errorf("endpoint list 2: got %+v, want %+v", h.endpointLists[2], want)
	}
}

// TestActionForm guards against a change of the encoding of any action.
func TestActionForm(t *testing.T) {
	var forms []goldentest.Form
	add := func(name string, act func(*instance)) {
		i := &instance{}
		act(i)
		value := actionBatch{Groups: []actionGroup{{Instance: "sidecar/0", Actions: i.actions}}}
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		read := func(text string) (any, error) {
			var r actionBatch
			err := json.Unmarshal([]byte(text), &r)
			return r, err
		}
		forms = append(forms, goldentest.Form{Name: name, Written: string(text), Read: read, Value: value})
	}
	add("send", func(i *instance) { i.StartAttempt(1<<63|5, "10.0.0.1:80", 80*time.Millisecond) })
	add("send request 0", func(i *instance) { i.StartAttempt(0, "10.0.0.1:80", 80*time.Millisecond) })
	add("refuse", func(i *instance) { i.Reject(5, time.Second) })
	add("fail", func(i *instance) { i.Fail(6) })
	add("cancel", func(i *instance) { i.CancelAttempt(5, 1) })
	add("cancel attempt 0", func(i *instance) { i.CancelAttempt(5, 0) })
	add("set timer", func(i *instance) { i.SetTimer(25*time.Microsecond, "x") })
	add("set timer that is due", func(i *instance) { i.SetTimer(-1, "x") })
	add("probe", func(i *instance) { i.CheckHealth("10.0.0.1:80") })
	add("watch", func(i *instance) { i.WatchEndpoints(true) })
	add("watch no more", func(i *instance) { i.WatchEndpoints(false) })
	add("log", func(i *instance) { i.Log("hello") })
	h := &host{instances: map[string]*instance{"sidecar/0": {}}} // without a balancer any message panics
	got, err := h.dispatch(0, "sidecar/0", &message{Command: "Demand"})
	if err != nil {
		t.Fatal(err)
	}
	got[0].Text, _, _ = strings.Cut(got[0].Text, ":")
	add("fault", func(i *instance) { i.actions = got })
	goldentest.CheckForms(t, "orders.golden", forms)
}

// TestProtocolNames guards against a change of the names of the protocol: their meaning, and missing or additional names.
func TestProtocolNames(t *testing.T) {
	checkNames(t, "outcome", statusByName, map[string]policy.Status{
		"delivered": policy.StatusOK, "app_error": policy.StatusApplicationError, "shed": policy.StatusOverloaded, "expired": policy.StatusTimeout,
		"dial_failed": policy.StatusConnectFailed, "dropped": policy.StatusReset, "revoked": policy.StatusCanceled, "unused": policy.StatusNotSent,
	})
	checkNames(t, "state", stateByName, map[string]policy.EndpointState{"on": policy.Ready, "fading": policy.Draining, "off": policy.Removed})
	checkNames(t, "list", updateKindByName, map[string]policy.UpdateKind{
		"patch": policy.UpdateDelta, "whole": policy.UpdateFull, "stale_copy": policy.UpdateCached, "broken": policy.UpdatePollFailed,
	})
	events := slices.Sorted(maps.Keys(instanceHandlers))
	if got := fmt.Sprint(events); got != "[BackendsChanged DeadlineHit Demand Halt HealthResult Memo Opened ReportBack Withdrawn]" {
		t.Errorf("handled messages: got %s", got)
	}
}

func checkNames[T comparable](t *testing.T, what string, got, want map[string]T) {
	t.Helper()
	if !maps.Equal(got, want) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}
