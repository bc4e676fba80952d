package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFleetOfProcesses guards against two processes that act on one lease at once. It runs a short scenario with a fleet of real processes: a
// lease holder is killed, and a later one shuts down in order. How soon another process takes over depends on the machine, so missed
// bounds are ignored.
func TestFleetOfProcesses(t *testing.T) {
	for _, scenario := range []string{"lease-quickstart"} {
		code, out, errs := runCLI("lab", scenario, "--duration", "3s", "--seed", "2", "--json")
		var report struct {
			Pass     bool
			Broken   []string
			Measures map[string]float64
		}
		if err := json.Unmarshal([]byte(out), &report); err != nil {
			t.Fatalf("%s: %v: %s%s", scenario, err, out, errs)
		}
		for _, b := range report.Broken {
			if !strings.HasPrefix(b, "bound: ") {
				t.Errorf("%s: %s", scenario, b)
			}
		}
		m := report.Measures
		if m["two_holders"] != 0 || m["doubled_slots"] != 0 || m["acts"] < 10 || (code == 0) != report.Pass {
			t.Errorf("%s: exit %d: %s", scenario, code, out)
		}
	}
}

// TestTierCommands guards against commands of fleets and simulations that exit with the wrong code, or do not say what is wrong.
func TestTierCommands(t *testing.T) {
	dir := t.TempDir()
	secret := filepath.Join(dir, "secret")
	if err := os.WriteFile(secret, []byte("0123456789abcdef"), 0o600); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "tier-p1.toml"))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "p1.toml")
	if err := os.WriteFile(file, []byte(strings.Replace(string(text), `"tier-p1.db"`, `"`+filepath.Join(dir, "p1.db")+`"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"tier", "--help"}, 0, "Create a fleet"},
		{[]string{"tier", "status", "127.0.0.1:1", "--secret", secret}, 1, "connection refused"},
		{[]string{"tier", "status", "127.0.0.1:1", "--secret", secret + "x"}, 2, "no such file"},
		{[]string{"tier", "init", filepath.Join("..", "..", "deploy", "sorrelrudder.toml")}, 1, "not a member of the consensus group"},
		{[]string{"tier", "init", file}, 0, "members of the consensus group: p1, p2, p3"},
		{[]string{"tier", "init", file}, 1, "nothing was changed"},
		{[]string{"tier", "state", "127.0.0.1:1", "--secret", secret}, 1, "connection refused"},
		{[]string{"tier", "zone", "plan", "farm", "b", "127.0.0.1:1", "--secret", secret}, 1, "connection refused"},
		{[]string{"tier", "order", "avoid", "a/b", "box", "127.0.0.1:1", "--secret", secret}, 2, "no order can be given"},
		{[]string{"emulate", filepath.Join("..", "..", "deploy", "day.toml"), "--share", "weather"}, 2, "expected dead, room, learn, list or zones"},
		{[]string{"emulate", filepath.Join("..", "..", "deploy", "day.toml"), "--share", "dead", "--lag", "0s"}, 2, "--lag 0s"},
		{[]string{"emulate", filepath.Join("..", "..", "deploy", "day.toml"), "--share", "dead", "--runs", "2", "--scale", "0.1"}, 0, "sends lost"},
		{[]string{"lab", "replica-scale", "--sizes", "1"}, 2, "2 to 5000"},
		{[]string{"lab", "replica-scale", "--sizes", "5", "--loss", "0"}, 0, "death known"},
		{[]string{"lab", "tier-explore", "--plant", "forget-deleted", "--seeds", "3", "--workers", "2"}, 1, "was gone and is there again"},
		{[]string{"lab", "tier-explore", "--plant", "nonsense"}, 2, "unknown bug"},
		{[]string{"lab", "tier-explore", "--seeds", "3", "--workers", "2"}, 0, "3 seeds from 1"},
		{[]string{"lab", "tier-explore", "--replay", secret}, 2, "secret"},
	} {
		code, out, errs := runCLI(c.args...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%v: exit %d, want %d and %q in\n%s%s", c.args, code, c.code, c.want, out, errs)
		}
	}
}
