package scenario

import (
	"strings"
	"testing"

	"sorrelrudder/internal/emulator"
)

func TestParse(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"nothing":  {"", ""},
		"faults":   {"zones = [\"a\", \"b\"]\n[[faults]]\nat = \"5s\"\nkind = \"zone-lost\"\nzone = \"b\"\n[[faults]]\nat = \"9s\"\nkind = \"zone-back\"\n", ""},
		"unknown":  {"seed = 1\nserver = 3\n", "d.toml:2: server: unknown key"},
		"type":     {"\nservers = \"many\"\n", "d.toml:2: servers"},
		"time":     {"length = \"soon\"\n", "d.toml:1"},
		"range":    {"servers = 0\n", "d.toml: servers: is 0, outside 1 to 2000"},
		"long":     {"length = \"2h\"\n", "length: is 7200"},
		"rate":     {"[clients]\nrate = nan\n", "clients.rate: is NaN"},
		"effect":   {"[[classes]]\nname = \"a\"\neffect = \"odd\"\naim = \"1s\"\ndeadline = \"2s\"\nwork = \"1ms\"\n", "classes[1].effect: is \"odd\""},
		"deadline": {"[[classes]]\nname = \"a\"\naim = \"2s\"\ndeadline = \"1s\"\nwork = \"1ms\"\n", "classes[1].deadline"},
		"fault":    {"[[faults]]\nkind = \"flood\"\n", "faults[1].kind: is \"flood\""},
		"zone":     {"[[faults]]\nkind = \"zone-lost\"\nzone = \"x\"\n", "faults[1].zone: is \"x\""},
		"cut off":  {"[[faults]]\nkind = \"cut-off\"\nzone = \"x\"\n", "faults[1].zone: is \"x\""},
		"cut":      {"[[faults]]\nkind = \"cut-off\"\nat = \"3s\"\nshare = 0.2\nover = \"6s\"\n[[faults]]\nkind = \"lost-answers\"\nshare = 0.01\n[[faults]]\nkind = \"resets\"\nshare = 0.01\n", ""},
		"late":     {"[[faults]]\nkind = \"all-cold\"\nat = \"1m\"\n", "faults[1].at: is 1m0s, after the day's end"},
	} {
		_, err := Parse("d.toml", []byte(c.text))
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: %v", name, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

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
		t.Errorf("%v %+v", r.Violations, r.Total)
	}
}

// FuzzParse checks that Parse does not panic, and that the emulator accepts what it returns.
func FuzzParse(f *testing.F) {
	f.Add("servers = 3\n[[faults]]\nat = \"1s\"\nkind = \"replace\"\nservers = 2\nover = \"1s\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		scenario, err := Parse("d", []byte(text))
		if err != nil || scenario.InstanceCount > 50 {
			return
		}
		if _, err := emulator.New(scenario); err != nil {
			t.Fatalf("the emulator rejects a scenario that was parsed: %v", err)
		}
	})
}
