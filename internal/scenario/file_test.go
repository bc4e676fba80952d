package scenario

import (
	"strings"
	"testing"

	"sorrelrudder/internal/emulator"
)

// TestParse guards against rejection of valid files, and against errors that do not name the key, the value or the line.
func TestParse(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"nothing":  {"", ""},
		"faults":   {"zones = [\"a\", \"b\"]\n[[faults]]\nat = \"5s\"\nkind = \"zone-lost\"\nzone = \"b\"\n[[faults]]\nat = \"9s\"\nkind = \"zone-back\"\n", ""},
		"unknown":  {"seed = 1\nserver = 3\n", "d.toml:2: server: unknown key"},
		"type":     {"\nservers = \"many\"\n", "d.toml:2: servers"},
		"time":     {"length = \"soon\"\n", "d.toml:1"},
		"range":    {"servers = 0\n", "d.toml: servers: invalid value 0, must be between 1 and 2000"},
		"long":     {"length = \"2h\"\n", "length: invalid value 7200"},
		"rate":     {"[clients]\nrate = nan\n", "clients.rate: invalid value NaN"},
		"effect":   {"[[classes]]\nname = \"a\"\neffect = \"odd\"\naim = \"1s\"\ndeadline = \"2s\"\nwork = \"1ms\"\n", "classes[1].effect: invalid value \"odd\""},
		"deadline": {"[[classes]]\nname = \"a\"\naim = \"2s\"\ndeadline = \"1s\"\nwork = \"1ms\"\n", "classes[1].deadline"},
		"fault":    {"[[faults]]\nkind = \"flood\"\n", "faults[1].kind: invalid value \"flood\""},
		"zone":     {"[[faults]]\nkind = \"zone-lost\"\nzone = \"x\"\n", "faults[1].zone: invalid value \"x\""},
		"cut off":  {"[[faults]]\nkind = \"cut-off\"\nzone = \"x\"\n", "faults[1].zone: invalid value \"x\""},
		"cut":      {"[[faults]]\nkind = \"cut-off\"\nat = \"3s\"\nshare = 0.2\nover = \"6s\"\n[[faults]]\nkind = \"lost-answers\"\nshare = 0.01\n[[faults]]\nkind = \"resets\"\nshare = 0.01\n", ""},
		"late":     {"[[faults]]\nkind = \"all-cold\"\nat = \"1m\"\n", "faults[1].at: invalid value 1m0s, must not be later than the end of the scenario"},
	} {
		_, err := Parse("d.toml", []byte(c.text))
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: unexpected error: %v", name, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
			t.Errorf("%s: got error %v, want one that contains %q", name, err, c.want)
		}
	}
}

// TestDefaultScenarioRuns guards against default values with which a run violates rules or leaves many requests unserved.
func TestDefaultScenarioRuns(t *testing.T) {
	scenario, err := Parse("d.toml", []byte("length = \"5s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	emulation, err := emulator.New(scenario)
	if err != nil {
		t.Fatal(err)
	}
	if r := emulation.Run(); r.ViolationCount > 0 || r.Total.ServedFraction() < 0.8 || r.Total.Requests < 1000 {
		t.Errorf("got violations %v, counts %+v; want no violation, a served fraction of at least 0.8 and at least 1000 requests", r.Violations, r.Total)
	}
}

// FuzzParse guards against a panic of Parse and against a parsed scenario that the emulator rejects.
func FuzzParse(f *testing.F) {
	f.Add("servers = 3\n[[faults]]\nat = \"1s\"\nkind = \"replace\"\nservers = 2\nover = \"1s\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		scenario, err := Parse("d", []byte(text))
		if err != nil || scenario.InstanceCount > 50 {
			return
		}
		if _, err := emulator.New(scenario); err != nil {
			t.Fatalf("the emulator rejects a parsed scenario: %v", err)
		}
	})
}
