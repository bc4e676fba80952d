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

// asProgram is set in the environment of the test's own binary when the laboratory starts it as the program.
const asProgram = "SORRELRUDDER_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
	}
	os.Setenv(asProgram, "1")
	os.Exit(m.Run())
}

func call(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func TestCommandLine(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[[listeners]]\nname = \"a\"\naddress = \"nowhere\"\nport = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := filepath.Join("..", "..", "deploy", "sorrelrudder.toml")
	for name, c := range map[string]struct {
		args []string
		code int
		want string // in what is printed
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
		code, out, errs := call(c.args...)
		if code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%s: exit %d, want %d and %q in\n%s%s", name, code, c.code, c.want, out, errs)
		}
	}
}

// TestQuickstart plays the README's first command, shorter, against the real program.
func TestQuickstart(t *testing.T) {
	code, out, errs := call("lab", "quickstart", "--duration", "2s", "--seed", "3", "--json")
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
	for _, b := range report.Broken { // how much is served in time depends on the machine
		if !strings.HasPrefix(b, "bound: ") {
			t.Error(b)
		}
	}
	if report.Scenario != "quickstart" || report.Seed != 3 || report.Measures["operations"] < 100 || (code == 0) != report.Pass {
		t.Errorf("exit %d: %s", code, out)
	}
}

// needs are all packages that a command links.
func needs(t *testing.T, command string) []string {
	t.Helper()
	out, err := exec.Command("go", "list", "-deps", "sorrelrudder/cmd/"+command).Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(out))
}

// TestSidecarLinksNothingHeavy guards the memory of the sidecar: what only the product needs is never linked into it.
func TestSidecarLinksNothingHeavy(t *testing.T) {
	for _, command := range []string{"sidecar", "simadapter"} {
		for _, p := range needs(t, command) {
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
	if !slices.Contains(needs(t, "sorrelrudder"), "github.com/alecthomas/kong") {
		t.Error("the list of packages is not what this test takes it for")
	}
}

// mayImport says which of the project's packages a package may import; docs/ARCHITECTURE.md says why.
var mayImport = map[string][]string{
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
	"internal/emulator":     {"policy", "internal/zonefailover"},
	"internal/scenario":     {"policy", "internal/emulator"},
	"internal/goldentest":   {},
	"internal/fixedseed":    {},
	"internal/lease":        {},
	"internal/gossip":       {},
	"internal/zonefailover": {},
	"internal/zoneview":     {"internal/consensus", "internal/zonefailover", "internal/gossip"},
	"internal/task":         {},
	"internal/consensus":    {"internal/lease", "internal/gossip", "internal/task"},
	"internal/simulation":   {"internal/consensus", "internal/zonefailover", "internal/lease", "internal/gossip", "internal/task", "internal/zoneview"},
	"internal/fleet":        {"internal/consensus", "internal/zonefailover", "internal/lease", "internal/httpmsg", "internal/gossip", "internal/task", "internal/zoneview"},
	"internal/admin":        {"internal/metrics"},
	"internal/pool":         {"policy", "internal/metrics", "internal/httpmsg", "internal/settings", "internal/discovery", "internal/statslog", "internal/upstream"},
	"internal/keepalive":    {},
	"internal/downstream":   {"internal/keepalive", "internal/httpmsg", "internal/process"},
	"internal/gateway": {
		"internal/keepalive",
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
	"internal/fake":       {}, // shares no code with what it watches
	"internal/e2e":        {"internal/fake"},
	"cmd/simadapter":      {"internal/simwire"},
	"cmd/sidecar":         {"internal/sidecar"},
	"cmd/sorrelrudder":    {"internal/consensus", "internal/zonefailover", "internal/gossip", "internal/simulation", "internal/lease", "internal/task", "internal/fleet", "internal/h2", "internal/tlsfiles", "internal/httpservice", "internal/route", "internal/sitelink", "internal/gateway", "internal/e2e", "internal/config", "internal/statslog", "internal/scenario", "internal/emulator"},
}

// pure modules read no clock, open nothing and start nothing.
var pure = []string{"policy", "internal/classify", "internal/keepalive", "internal/route", "internal/quota", "internal/spillover", "internal/staleness", "internal/statslog", "internal/emulator", "internal/lease", "internal/task", "internal/consensus", "internal/gossip", "internal/zonefailover", "internal/zoneview"}

// TestImports holds the rules of docs/ARCHITECTURE.md.
func TestImports(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "sorrelrudder/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		name := strings.TrimPrefix(fields[0], "sorrelrudder/")
		allowed, known := mayImport[name]
		if !known {
			t.Errorf("package %s has no rule: say in docs/ARCHITECTURE.md and here what it may import", name)
			continue
		}
		for _, p := range fields[1:] {
			own, is := strings.CutPrefix(p, "sorrelrudder/")
			if is && !slices.Contains(allowed, own) {
				t.Errorf("%s imports %s", name, own)
			}
			if slices.Contains(pure, name) && slices.Contains([]string{"net", "net/http", "os", "sync", "context", "log/slog", "syscall"}, p) {
				t.Errorf("the pure module %s imports %s", name, p)
			}
		}
	}
}

// TestPureModules guards against clocks and goroutines in modules that decide.
func TestPureModules(t *testing.T) {
	for _, dir := range pure {
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

// TestFittedToNoDeployment guards against code that knows a deployment: no class, tenant, zone, tier or kind of machine of any
// stands in what the sidecar and the adapter are built of. Names come from the settings alone.
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
	looked := 0
	for _, p := range append(needs(t, "sidecar"), needs(t, "simadapter")...) {
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
			looked++
			for _, name := range names {
				if bytes.Contains(text, []byte(`"`+name+`"`)) {
					t.Errorf("%s knows %q of a deployment", file, name)
				}
			}
		}
	}
	if looked < 20 || len(names) < 40 {
		t.Errorf("looked for %d names in %d files: too few to be all", len(names), looked)
	}
}
