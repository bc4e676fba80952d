package simwire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"sorrelrudder/policy"
)

const settingsText = `{"GroupSize":1,"Ordinal":0,"Zone":"a","MembershipMode":"on_request","TickUs":5000,"Novel":[1],
"Limits":{"Cancelling":true,"MayDuplicate":true,"Probes":false,"SendCap":3,"DialTimeoutUs":120000},
"RequestClasses":[{"Name":"q","Effect":"read_like","Group":"all","AimUs":250000,"DeadlineUs":500000,"Worth":2}],
"Safety":{"AskEveryUs":10000000,"GraceToAnswerUs":20000,"RampTimeUs":7800000,"ColdFrom":0.32},
"Telemetry":{"Fields":["queue","latency_ms"],"Via":"on_probe"}}`

var openLine = oneLine(`{"AtTimeUs":10,"groups":[{"Sidecar":"sidecar/0","msgs":[
{"cmd":"OpenInstance","Salt":7,"Settings":` + settingsText + `},
{"cmd":"Pool","Page":0,"Lines":[{"Lifecycle":"on","Az":"a","Upstream":"10.0.0.1:80","CapacityHint":1,"Novel":3}]},
{"cmd":"BackendsChanged","How":"stale_copy","Version":1,"Page":0}]}]}`)

// oneLine removes the line breaks of s.
func oneLine(s string) string { return strings.ReplaceAll(s, "\n", "") }

// batchTo0 returns a batch with the message to instance sidecar/0.
func batchTo0(msg string) string {
	return `{"AtTimeUs":20,"groups":[{"Sidecar":"sidecar/0","msgs":[` + msg + `]}]}`
}

// serve passes the lines to Serve and returns its output.
func serve(lines ...string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return out.String(), err
}

// TestServe guards against a wrong response to a session of several lines.
func TestServe(t *testing.T) {
	demand := batchTo0(`{"cmd":"Demand","Corr":4503599627370495,"Item":"91f03b7c55d20a64","ExpiresUs":400020,"Type":"q"}`)
	got, err := serve(`{"AtTimeUs":1,"groups":[]}`, openLine, demand)
	if err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(strings.TrimSpace(got), "\n")
	if len(replies) != 3 || replies[0] != `{"groups":[]}` {
		t.Fatalf("got replies %q, want 3 of which the first has no actions", replies)
	}
	want := `{"cmd":"Route","Corr":4503599627370495,"Upstream":"10.0.0.1:80","MaxWaitUs":245000}`
	if !strings.Contains(replies[2], want) {
		t.Errorf("got reply %s, want one that contains %s", replies[2], want)
	}
	if !strings.Contains(replies[1], `"cmd":"SetTimer"`) {
		t.Errorf("got reply %s, want one that sets a timer to watch the endpoints", replies[1])
	}
}

// TestServeBadInput guards against accepting malformed input, and against errors that do not name its cause.
func TestServeBadInput(t *testing.T) {
	tests := []struct{ name, line, want string }{
		{"malformed JSON", `{"AtTimeUs":`, "batch"},
		{"no clock", `{"groups":[]}`, "AtTimeUs"},
		{"unknown message", batchTo0(`{"cmd":"Hurray"}`), `"Hurray"`},
		{"closed instance", `{"AtTimeUs":2,"groups":[{"Sidecar":"sidecar/9","msgs":[{"cmd":"Halt"}]}]}`, "sidecar/9"},
		{"unknown outcome", batchTo0(`{"cmd":"ReportBack","Corr":1,"Disposition":"lucky"}`), `"lucky"`},
		{"unknown list kind", batchTo0(`{"cmd":"BackendsChanged","How":"hearsay"}`), `"hearsay"`},
		{"list out of range", batchTo0(`{"cmd":"Pool","Page":16}`), `"Pool"`},
		{"unknown state", batchTo0(`{"cmd":"Pool","Lines":[{"Lifecycle":"odd"}]}`), `"odd"`},
		{"config out of range", batchTo0(`{"cmd":"OpenInstance","Settings":{"GroupSize":0}}`), "OpenInstance"},
		{"unknown effect", batchTo0(`{"cmd":"OpenInstance","Settings":{"RequestClasses":[{"Effect":"odd"}]}}`), `"odd"`},
	}
	for _, tt := range tests {
		if _, err := serve(openLine, tt.line); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got error %v, want one that contains %s", tt.name, err, tt.want)
		}
	}
}

// TestUnknownRequestsAndFieldsAreSkipped guards against a failure on messages about unknown requests, endpoints or timers, and on unknown
// fields.
func TestUnknownRequestsAndFieldsAreSkipped(t *testing.T) {
	for _, msg := range []string{
		`{"cmd":"ReportBack","Corr":99,"Shot":0,"Disposition":"delivered","Upstream":"10.9.9.9:1","Novel":true}`,
		`{"cmd":"Withdrawn","Corr":99}`, `{"cmd":"Opened","Corr":99}`, `{"cmd":"DeadlineHit","Ctx":"???"}`,
		`{"cmd":"HealthResult","Upstream":"10.9.9.9:1","Disposition":"delivered","Metrics":[1]}`,
		`{"cmd":"Memo","Neighbour":3,"Msg":"AAAA"}`, `{"cmd":"BackendsChanged","How":"broken"}`,
	} {
		if got, err := serve(openLine, batchTo0(msg)); err != nil || strings.Contains(got, "Fault") {
			t.Errorf("message %s: got error %v and %s, want no error and no Fault", msg, err, got)
		}
	}
}

// TestPanicBecomesFault guards against a panic of the policy that ends the process.
func TestPanicBecomesFault(t *testing.T) {
	h := &host{instances: map[string]*instance{"sidecar/0": {}}} // without a balancer any message panics
	got, err := h.dispatch(0, "sidecar/0", &message{Command: "Demand"})
	if err != nil || len(got) != 1 || got[0].Command != "Fault" || !strings.Contains(got[0].Text, "Demand") {
		t.Errorf("got %+v, %v; want a Fault that names the message", got, err)
	}
}

// TestActionForms guards against a change of the encoding of the actions.
func TestActionForms(t *testing.T) {
	i := &instance{}
	i.StartAttempt(5, "10.0.0.1:80", 80*time.Millisecond)
	i.Reject(5, time.Second)
	i.Fail(6)
	i.CancelAttempt(5, 0)
	i.SetTimer(0, "x")
	i.CheckHealth("10.0.0.1:80")
	i.WatchEndpoints(false)
	i.Log("hello")
	text, err := json.Marshal(i.actions)
	if err != nil {
		t.Fatal(err)
	}
	want := `[{"cmd":"Route","Corr":5,"Upstream":"10.0.0.1:80","MaxWaitUs":80000},` +
		`{"cmd":"OverloadReply","Corr":5,"StayAwayUs":1000000},{"cmd":"Lose","Corr":6},` +
		`{"cmd":"DropAttempt","Corr":5,"Shot":0},{"cmd":"SetTimer","AfterUs":0,"Ctx":"x"},` +
		`{"cmd":"Ping","Upstream":"10.0.0.1:80"},` +
		`{"cmd":"KeepInformed","Active":false},{"cmd":"JournalLine","Text":"hello"}]`
	if string(text) != want {
		t.Errorf("got actions  %s\nwant actions %s", text, want)
	}
}

// TestLoadReport guards against values of a load report that are assigned to the wrong field.
func TestLoadReport(t *testing.T) {
	tests := []struct {
		fields []string
		row    []float64
		want   *policy.LoadReport
	}{
		{[]string{"queue", "latency_ms"}, nil, nil},
		{[]string{"queue", "latency_ms"}, []float64{3, 40}, &policy.LoadReport{Queue: 3, InFlight: -1, Latency: 40, ErrorRate: -1}},
		{[]string{"eps", "queue"}, []float64{2}, &policy.LoadReport{Queue: -1, InFlight: -1, Latency: -1, ErrorRate: 2}},
		{[]string{"inflight", "util"}, []float64{4, 0.5}, &policy.LoadReport{Queue: -1, InFlight: 4, Latency: -1, ErrorRate: -1}},
	}
	for _, tt := range tests {
		i := &instance{loadFields: tt.fields}
		if got := i.parseLoad(tt.row); !reflect.DeepEqual(got, tt.want) {
			t.Errorf("parseLoad(%v) with fields %v = %+v, want %+v", tt.row, tt.fields, got, tt.want)
		}
	}
}
