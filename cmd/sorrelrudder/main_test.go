package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// asProgram is the environment variable that makes the test binary run as the program. Scenarios start the binary with it.
const asProgram = "SORRELRUDDER_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
	}
	os.Setenv(asProgram, "1")
	os.Exit(m.Run())
}

// runCLI runs a command line and returns its exit code and what it printed.
func runCLI(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

// TestCommandLine guards against command lines that exit with the wrong code or do not say what is wrong.
func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[[listeners]]\nname = \"a\"\naddress = \"nowhere\"\nport = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := filepath.Join("..", "..", "deploy", "sorrelrudder.toml")
	for name, c := range map[string]struct {
		args []string
		code int
		want string // part of the output
	}{
		"help":         {[]string{"--help"}, 0, "check"},
		"nothing":      {nil, 0, "Usage"},
		"unknown":      {[]string{"fly"}, 2, "fly"},
		"version":      {[]string{"version"}, 0, "sorrelrudder"},
		"list":         {[]string{"lab", "list"}, 0, "pools-reload"},
		"lab alone":    {[]string{"lab"}, 0, "quickstart"},
		"no scenario":  {[]string{"lab", "none"}, 2, "no such scenario"},
		"good file":    {[]string{"check", good}, 0, "3 pools, 4 routes"},
		"defaults":     {[]string{"check", "--print", good}, 0, "retry_after = true"},
		"bad file":     {[]string{"check", bad}, 2, "bad.toml:3: listeners[1].address"},
		"all errors":   {[]string{"check", bad}, 2, "bad.toml:4: listeners[1].port: unknown key"},
		"no file":      {[]string{"check", bad + "x"}, 2, "no such file"},
		"run bad file": {[]string{"run", bad}, 2, "bad.toml:4"},
		"no argument":  {[]string{"run"}, 2, "file"},
	} {
		code, out, errs := runCLI(c.args...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%s: exit %d, want %d and %q in\n%s%s", name, code, c.code, c.want, out, errs)
		}
	}
}

// TestQuickstart guards against a broken first command of the README. It runs a shorter form of it against the real program.
func TestQuickstart(t *testing.T) {
	code, out, errs := runCLI("lab", "quickstart", "--duration", "2s", "--seed", "3", "--json")
	var report struct {
		Scenario string
		Seed     uint64
		Pass     bool
		Broken   []string
		Measures map[string]float64
	}
	if err := json.Unmarshal([]byte(out), &report); err != nil {
		t.Fatalf("%v: %s%s", err, out, errs)
	}
	for _, b := range report.Broken { // bounds on what is served in time depend on the machine
		if !strings.HasPrefix(b, "bound: ") {
			t.Error(b)
		}
	}
	if report.Scenario != "quickstart" || report.Seed != 3 || report.Measures["operations"] < 100 || (code == 0) != report.Pass {
		t.Errorf("exit %d: %s", code, out)
	}
}

// linkedPackages returns all packages that a command links.
func linkedPackages(t *testing.T, command string) []string {
	t.Helper()
	out, err := exec.Command("go", "list", "-deps", "sorrelrudder/cmd/"+command).Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(out))
}

// TestSidecarLinksNothingHeavy guards against packages in the sidecar that only the product needs: they would cost memory.
func TestSidecarLinksNothingHeavy(t *testing.T) {
	for _, command := range []string{"sidecar", "simadapter"} {
		for _, p := range linkedPackages(t, command) {
			for _, heavy := range []string{
				"github.com/", "google.golang.org/", "go.uber.org/", "pgregory.net/", "sorrelrudder/internal/e2e", "sorrelrudder/internal/emulator", "sorrelrudder/internal/config",
				"sorrelrudder/internal/fake", "sorrelrudder/internal/httpservice", "sorrelrudder/internal/classify", "sorrelrudder/internal/h2", "sorrelrudder/internal/tlsfiles", "golang.org/x/net/", "sorrelrudder/internal/siteheader", "sorrelrudder/internal/sitelink",
				"go.etcd.io/", "sorrelrudder/internal/lease", "sorrelrudder/internal/task", "sorrelrudder/internal/gossip", "sorrelrudder/internal/zonefailover", "sorrelrudder/internal/zoneview", "sorrelrudder/internal/consensus", "sorrelrudder/internal/fleet", "sorrelrudder/internal/simulation",
			} {
				if strings.HasPrefix(p, heavy) {
					t.Errorf("%s links %s", command, p)
				}
			}
		}
	}
	if !slices.Contains(linkedPackages(t, "sorrelrudder"), "github.com/alecthomas/kong") {
		t.Error("the list of packages lacks kong: it is not the list that this test expects")
	}
}

// allowedImports names the project's packages that each package may import. docs/ARCHITECTURE.md gives the reasons.
var allowedImports = map[string][]string{
	"policy":                {},
	"internal/route":        {},
	"internal/quota":        {},
	"internal/httpmsg":      {},
	"internal/settings":     {"policy", "internal/staleness"},
	"internal/simwire":      {"policy", "internal/settings"},
	"internal/process":      {"internal/quota"},
	"internal/staleness":    {},
	"internal/discovery":    {"policy", "internal/staleness"},
	"internal/upstream":     {"policy", "internal/httpmsg", "internal/process"},
	"internal/classify":     {},
	"internal/h2":           {},
	"internal/tlsfiles":     {},
	"internal/httpservice":  {"policy", "internal/classify", "internal/httpmsg", "internal/pool", "internal/upstream"},
	"internal/metrics":      {},
	"internal/statslog":     {},
	"internal/virtualtime":  {},
	"internal/emulator":     {"policy", "internal/virtualtime", "internal/zonefailover"},
	"internal/scenario":     {"policy", "internal/emulator"},
	"internal/goldentest":   {},
	"internal/fixedseed":    {},
	"internal/lease":        {},
	"internal/gossip":       {},
	"internal/zonefailover": {},
	"internal/zoneview":     {"internal/consensus", "internal/zonefailover", "internal/gossip"},
	"internal/task":         {},
	"internal/consensus":    {"internal/lease", "internal/gossip", "internal/task"},
	"internal/simulation":   {"internal/consensus", "internal/zonefailover", "internal/lease", "internal/gossip", "internal/task", "internal/virtualtime", "internal/zoneview"},
	"internal/fleet":        {"internal/consensus", "internal/zonefailover", "internal/lease", "internal/httpmsg", "internal/gossip", "internal/task", "internal/zoneview"},
	"internal/admin":        {"internal/metrics"},
	"internal/limitedlog":   {},
	"internal/pool":         {"policy", "internal/limitedlog", "internal/metrics", "internal/process", "internal/httpmsg", "internal/settings", "internal/discovery", "internal/statslog", "internal/upstream"},
	"internal/keepalive":    {},
	"internal/downstream":   {"internal/keepalive", "internal/limitedlog", "internal/httpmsg", "internal/process"},
	"internal/gateway": {
		"internal/keepalive", "internal/limitedlog",
		"policy", "internal/admin", "internal/metrics", "internal/downstream", "internal/httpmsg", "internal/pool", "internal/process", "internal/route", "internal/settings",
		"internal/quota", "internal/discovery", "internal/upstream",
	},
	"internal/sidecar": {"internal/gateway", "internal/process", "internal/settings", "internal/discovery"},
	"internal/sitelink": {
		"policy", "internal/downstream", "internal/gateway", "internal/siteheader", "internal/httpmsg", "internal/pool", "internal/settings", "internal/discovery",
		"internal/spillover", "internal/upstream",
	},
	"internal/config":     {"internal/consensus", "internal/zonefailover", "internal/lease", "internal/task", "internal/fleet", "internal/tlsfiles", "policy", "internal/classify", "internal/httpservice", "internal/sitelink", "internal/spillover", "internal/gateway", "internal/httpmsg", "internal/route", "internal/discovery"},
	"internal/siteheader": {},
	"internal/spillover":  {"policy"},
	"internal/fake":       {}, // shares no code with the program that it observes
	"internal/e2e":        {"internal/fake"},
	"cmd/simadapter":      {"internal/simwire"},
	"cmd/sidecar":         {"internal/sidecar"},
	"cmd/sorrelrudder":    {"internal/consensus", "internal/zonefailover", "internal/gossip", "internal/simulation", "internal/lease", "internal/task", "internal/fleet", "internal/h2", "internal/tlsfiles", "internal/httpservice", "internal/route", "internal/sitelink", "internal/gateway", "internal/e2e", "internal/config", "internal/statslog", "internal/scenario", "internal/emulator"},
}

// purePackages read no clock, open no files or connections, and start no goroutines.
var purePackages = []string{"policy", "internal/classify", "internal/keepalive", "internal/route", "internal/quota", "internal/spillover", "internal/staleness", "internal/statslog", "internal/virtualtime", "internal/emulator", "internal/lease", "internal/task", "internal/consensus", "internal/gossip", "internal/zonefailover", "internal/zoneview"}

// TestImports guards against imports that the rules of docs/ARCHITECTURE.md do not allow.
func TestImports(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "sorrelrudder/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		name := strings.TrimPrefix(fields[0], "sorrelrudder/")
		allowed, known := allowedImports[name]
		if !known {
			t.Errorf("package %s has no rule: add its allowed imports to docs/ARCHITECTURE.md and here", name)
			continue
		}
		for _, p := range fields[1:] {
			own, is := strings.CutPrefix(p, "sorrelrudder/")
			if is && !slices.Contains(allowed, own) {
				t.Errorf("%s imports %s", name, own)
			}
			if slices.Contains(purePackages, name) && slices.Contains([]string{"net", "net/http", "os", "sync", "context", "log/slog", "syscall"}, p) {
				t.Errorf("the pure module %s imports %s", name, p)
			}
		}
	}
}

// TestPureModules guards against clocks and goroutines in pure packages.
func TestPureModules(t *testing.T) {
	for _, dir := range purePackages {
		files, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v, %v", dir, files, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, no := range []string{"time.Now(", "time.Since(", "time.Until(", "time.Sleep(", "time.After", "go func", "make(chan"} {
				if bytes.Contains(text, []byte(no)) {
					t.Errorf("%s has %s", file, no)
				}
			}
		}
	}
}

// TestFittedToNoDeployment guards against code that is fitted to one deployment: the sources of the sidecar and the adapter must not contain
// the name of a class, tenant, zone, tier or machine type of any deployment. Such names come from the settings alone.
func TestFittedToNoDeployment(t *testing.T) {
	names := []string{
		"allocation-check", "delivery-order", "meter-booking", "clare-pump", "giru-office", "water-orders", "big-box", "small-box", "slow-box",
		"terminal-config", "auth-check", "tip-adjust", "refund", "mtl-est", "mtl-ouest", "ledger", "vm-a", "vm-b", "vm-c",
	}
	files, err := filepath.Glob(filepath.Join("..", "..", "deploy", "sites", "*.toml"))
	if err != nil || len(files) < 2 {
		t.Fatalf("%v, %v", files, err)
	}
	quoted := regexp.MustCompile(`(?m)^name = "([^"]+)"|"([a-z]+-[a-z]+)"`)
	troubles := regexp.MustCompile(`(?s)\[\[trouble\]\].*`)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range quoted.FindAllStringSubmatch(troubles.ReplaceAllString(string(text), ""), -1) {
			names = append(names, m[1]+m[2])
		}
	}
	searched := 0
	for _, p := range append(linkedPackages(t, "sidecar"), linkedPackages(t, "simadapter")...) {
		dir, own := strings.CutPrefix(p, "sorrelrudder/")
		if !own {
			continue
		}
		sources, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range sources {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			searched++
			for _, name := range names {
				if bytes.Contains(text, []byte(`"`+name+`"`)) {
					t.Errorf("%s contains the name %q of a deployment", file, name)
				}
			}
		}
	}
	if searched < 20 || len(names) < 40 {
		t.Errorf("searched for %d names in %d files: too few to be all of them", len(names), searched)
	}
}
