package settings

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"sorrelrudder/policy"
)

// fullSettings returns the decoded form of testdata/full.json.
func fullSettings() Settings {
	return Settings{
		Config: policy.Config{
			InstanceIndex: 7, InstanceCount: 48, Zone: "west",
			Classes: []policy.Class{
				{Name: "check", Idempotency: policy.Idempotent, DedupScope: policy.DedupEverywhere, DedupWindow: 1007 * time.Microsecond, LatencyObjective: 1005 * time.Microsecond, Deadline: 1006 * time.Microsecond, PriorityWeight: 1.5, LateWeightFraction: 0.125},
				{Name: "order", Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupZone, DedupWindow: 1010 * time.Microsecond, LatencyObjective: 1008 * time.Microsecond, Deadline: 1009 * time.Microsecond, PriorityWeight: 2.5, LateWeightFraction: 0.375},
				{Name: "book", Idempotency: policy.NonIdempotent, DedupScope: policy.DedupCell, DedupWindow: 1013 * time.Microsecond, LatencyObjective: 1011 * time.Microsecond, Deadline: 1012 * time.Microsecond, PriorityWeight: 3.5, LateWeightFraction: 0.5},
				{Name: "list", Idempotency: policy.Idempotent, DedupScope: policy.DedupEverywhere, DedupWindow: 1016 * time.Microsecond, LatencyObjective: 1014 * time.Microsecond, Deadline: 1015 * time.Microsecond, PriorityWeight: 4.5, LateWeightFraction: 0.625},
			},
			Tenants:         []policy.Tenant{{Name: "acme", RateQuota: 12.5}, {Name: "globex", RateQuota: 13.5}},
			OverQuotaWeight: 0.25,
			EndpointsPushed: true, HealthChecksAllowed: true, CancellationAllowed: true, HedgingAllowed: true, RetryAfterHonored: true,
			MaxAttempts: 3, MaxRetryAfter: 1004 * time.Microsecond, DialTimeout: 1003 * time.Microsecond,
			ConnIdle: 1002 * time.Microsecond, TimerResolution: 1001 * time.Microsecond,
			InlineLoadReports: true, KeyAffinity: true,
			PollInterval: 1017 * time.Microsecond, ResponseGrace: 1019 * time.Microsecond, SlowStartMinCapacity: 0.75, SlowStartDuration: 1020 * time.Microsecond,
			HealthCheckCost: 0.04, ConnectionCost: 0.01, HandshakeCost: 0.03, CrossZoneCost: 0.02,
		},
		LoadReportFields: []string{"queue", "latency_ms"},
		DrainGrace:       1018 * time.Microsecond,
	}
}

// TestSettingsForm guards against a change of the keys and values of the settings object, and against a key that sets another field than
// its own.
func TestSettingsForm(t *testing.T) {
	full, err := os.ReadFile("testdata/full.json")
	if err != nil {
		t.Fatal(err)
	}
	inExample := exampleKeys(t, full)
	for _, key := range keysOf(reflect.TypeFor[object](), "") {
		if !inExample[key] {
			t.Errorf("key %s is decoded but missing from the example", key)
		}
		delete(inExample, key)
	}
	for key := range inExample {
		t.Errorf("key %s is in the example but not decoded", key)
	}
	// Each boolean and each named value is changed on its own: the full example repeats values, so swapped fields would go unnoticed in it.
	for _, c := range []struct {
		name, old, new string
		change         func(*Settings)
	}{
		{"full", ``, ``, func(*Settings) {}},
		{"asked", `"pushed"`, `"asked"`, func(s *Settings) { s.Config.EndpointsPushed = false }},
		{"on health check", `"inline"`, `"on_probe"`, func(s *Settings) { s.Config.InlineLoadReports = false }},
		{"Cancelling", `"Cancelling": true`, `"Cancelling": false`, func(s *Settings) { s.Config.CancellationAllowed = false }},
		{"MayDuplicate", `"MayDuplicate": true`, `"MayDuplicate": false`, func(s *Settings) { s.Config.HedgingAllowed = false }},
		{"Probes", `"Probes": true`, `"Probes": false`, func(s *Settings) { s.Config.HealthChecksAllowed = false }},
		{"RetryAfter", `"RetryAfter": true`, `"RetryAfter": false`, func(s *Settings) { s.Config.RetryAfterHonored = false }},
		{"WarmKeys", `"WarmKeys": true`, `"WarmKeys": false`, func(s *Settings) { s.Config.KeyAffinity = false }},
		{"no AskEveryUs", `"AskEveryUs": 1017, `, ``, func(s *Settings) {
			s.Config.PollInterval, s.Assumptions = 10*time.Second, []string{"Safety.AskEveryUs: 10s"}
		}},
		{"no DrainGraceUs", `"DrainGraceUs": 1018, `, ``, func(s *Settings) {
			s.DrainGrace, s.Assumptions = 0, []string{"Safety.DrainGraceUs: the shortest that is known"}
		}},
		{"no KeyTtlUs", `"KeyTtlUs": 1010, `, ``, func(s *Settings) {
			s.Config.Classes[1].DedupWindow = 0
			s.Assumptions = []string{`RequestClasses "order": KeyTtlUs: none, so that nothing is repeated that may have run`}
		}},
	} {
		if c.old != "" && strings.Count(string(full), c.old) != 1 {
			t.Errorf("%s: the example does not contain %s exactly once", c.name, c.old)
		}
		want := fullSettings()
		c.change(&want)
		got, err := Parse([]byte(strings.Replace(string(full), c.old, c.new, 1)))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("parse %s: error %v\n got %+v\nwant %+v", c.name, err, got, want)
		}
	}
}

// TestLoadFieldForm guards against a change of the names of the fields of a load report.
func TestLoadFieldForm(t *testing.T) {
	got := EmptyLoadReport()
	if want := (policy.LoadReport{Queue: -1, InFlight: -1, Latency: -1, ErrorRate: -1}); got != want {
		t.Errorf("empty load report: got %+v, want %+v", got, want)
	}
	for i, field := range []string{"queue", "inflight", "latency_ms", "eps", "unknown"} {
		SetLoadField(&got, field, float64(i))
	}
	if want := (policy.LoadReport{Queue: 0, InFlight: 1, Latency: 2, ErrorRate: 3}); got != want {
		t.Errorf("load report: got %+v, want %+v", got, want)
	}
}

// keysOf returns the paths of the JSON keys that are decoded into a value of type t.
func keysOf(t reflect.Type, prefix string) (keys []string) {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return []string{prefix}
	}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			name = f.Name
		}
		keys = append(keys, keysOf(f.Type, prefix+"."+name)...)
	}
	return keys
}

// exampleKeys returns the set of the paths of all keys in a JSON text.
func exampleKeys(t *testing.T, text []byte) map[string]bool {
	t.Helper()
	var root any
	if err := json.Unmarshal(text, &root); err != nil {
		t.Fatal(err)
	}
	keys := map[string]bool{}
	var walk func(value any, prefix string)
	walk = func(value any, prefix string) {
		switch v := value.(type) {
		case map[string]any:
			for key, inner := range v {
				walk(inner, prefix+"."+key)
			}
		case []any:
			for _, inner := range v {
				walk(inner, prefix)
			}
		default:
			keys[prefix] = true
		}
	}
	walk(root, "")
	return keys
}
