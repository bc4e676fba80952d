package config

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/gateway"
	"sorrelrudder/policy"
)

const minimalFile = `[[listeners]]
name = "farm"
address = "127.0.0.1:0"
[pools.orders]
discovery = "127.0.0.1:8500"
[[pools.orders.classes]]
name = "order"
effect = "keyed"
`

func TestMinimalFile(t *testing.T) {
	f, err := Parse("f.toml", []byte(minimalFile))
	if err != nil {
		t.Fatal(err)
	}
	g := f.Gateway
	p := g.Pools[0]
	c := p.Settings.Config
	if g.MemoryMB != 192 || g.Descriptors != 1024 || f.Cores != 1 || p.Name != "orders" || p.Limits.Weight != 1 || p.Limits.QueueWithoutEndpoints ||
		c.MaxAttempts != 3 || !c.RetryAfterHonored || !c.InlineLoadReports || c.Classes[0].Idempotency != policy.IdempotentByKey || c.Classes[0].DedupWindow != 30*time.Second {
		t.Errorf("unexpected defaults: %+v", g)
	}
}

// minimalHTTPFile is a minimal file with a pool of ordinary HTTP services.
const minimalHTTPFile = `[[listeners]]
name = "web"
address = "127.0.0.1:0"
[pools.shop]
protocol = "http"
[[pools.shop.servers]]
name = "a"
address = "127.0.0.1:1"
`

// TestHTTPServiceClasses checks the classes of a pool of ordinary HTTP services: those of a pool that configures none, the default effect,
// and the additional class of a keyed class for requests without a key.
func TestHTTPServiceClasses(t *testing.T) {
	for more, want := range map[string]string{
		"": "reads safe, other unsafe",
		"[[pools.shop.classes]]\nname = \"item\"\nmatch = [\"GET /items/{id}\", \"HEAD /items/\"]\n": "item safe, other unsafe",
		"[[pools.shop.classes]]\nname = \"item\"\nmatch = [\"GET /items/{id}\", \"/items/\"]\n":      "item unsafe, other unsafe",
		"[[pools.shop.classes]]\nname = \"order\"\nmatch = [\"POST /orders\"]\neffect = \"keyed\"\n": "order without a key unsafe, order keyed, other unsafe",
		"[[pools.shop.classes]]\nname = \"put\"\nheaders = [\"X-Set\"]\neffect = \"safe\"\n":         "put safe, other unsafe",
	} {
		f, err := Parse("f.toml", []byte(minimalHTTPFile+more))
		if err != nil {
			t.Errorf("file with %q: Parse returned error %v", more, err)
			continue
		}
		var got []string
		for _, c := range f.Gateway.Pools[0].Settings.Config.Classes {
			got = append(got, c.Name+" "+[...]string{"safe", "keyed", "unsafe"}[c.Idempotency])
		}
		if text := strings.Join(got, ", "); text != want {
			t.Errorf("file with %q has the classes %s, want %s", more, text, want)
		}
		if f.Gateway.Pools[0].Settings.Config.HealthChecksAllowed {
			t.Errorf("%q: health checks are allowed without a path for them", more)
		}
		again, err := Parse("f.toml", []byte(f.String()))
		if err != nil || !reflect.DeepEqual(again.Gateway, f.Gateway) {
			t.Errorf("%q: the printed file is another configuration, %v:\n%s", more, err, f)
		}
	}
}

// TestErrors checks that each error has its line and key, and that reading does not stop at the first error.
func TestErrors(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string // prefixes of errors, in order
	}{
		"no TOML":                   {"[process\n", []string{"f.toml:1: "}},
		"twice":                     {minimalFile + "[pools.orders]\n", []string{"f.toml:9: "}},
		"nothing":                   {"", []string{"f.toml:1: listeners: at least one listener is required", "f.toml:1: pools: at least one pool is required"}},
		"unknown":                   {minimalFile + "[proces]\nname = \"x\"\n", []string{"f.toml:9: proces: unknown key; did you mean process?"}}, //nolint:misspell // the mistake is the test,
		"unknown, deep":             {minimalFile + "colour = 1\n", []string{"f.toml:9: pools.orders.classes[1].colour: unknown key; known here: name, effect"}},
		"no unit":                   {minimalFile + "aim = 300\n", []string{`f.toml:9: pools.orders.classes[1].aim: 300 has no unit`}},
		"not a duration":            {minimalFile + "aim = \"soon\"\n", []string{`f.toml:9: pools.orders.classes[1].aim: invalid duration "soon"`}},
		"out of range":              {minimalFile + "aim = \"0s\"\n", []string{`f.toml:9: pools.orders.classes[1].aim: 0s is out of range; expected 1ms`}},
		"deadline":                  {minimalFile + "aim = \"2s\"\ndeadline = \"1s\"\n", []string{`f.toml:10: pools.orders.classes[1].deadline: 1s is less than the aim of 2s`}},
		"unknown value":             {strings.Replace(minimalFile, "keyed", "sometimes", 1), []string{`f.toml:8: pools.orders.classes[1].effect: invalid value "sometimes"; expected one of safe, keyed, unsafe`}},
		"not keyed":                 {strings.Replace(minimalFile, "keyed", "safe", 1) + "repeats_dropped_for = \"1s\"\n", []string{`f.toml:9: pools.orders.classes[1].repeats_dropped_for: allowed only for a class`}},
		"kind":                      {minimalFile + "[process]\nname = 7\nmemory = 64\n", []string{"f.toml:10: process.name: got an integer, expected a string", "f.toml:11: process.memory: 64 has no unit"}},
		"memory":                    {minimalFile + "[process]\nmemory = \"1MiB\"\n", []string{"f.toml:10: process.memory: 1MiB is out of range; expected 24MiB"}},
		"figures":                   {minimalFile + "[process]\nfigures_every = \"10ms\"\n", []string{"f.toml:9: process: statistics interval is 10ms, want 0 or at least 100ms"}},
		"list and discovery":        {minimalFile + "[[pools.orders.servers]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n", []string{"f.toml:9: pools.orders.servers: must not be combined with discovery (line 5)"}},
		"no list":                   {strings.Replace(minimalFile, "discovery = \"127.0.0.1:8500\"\n", "", 1), []string{"f.toml:4: pools.orders: pool has no endpoint list"}},
		"port 0":                    {strings.Replace(minimalFile, "8500", "0", 1), []string{`f.toml:5: pools.orders.discovery: port "0" is not a number`}},
		"host name":                 {strings.Replace(minimalFile, "127.0.0.1:8500", "discovery.local:8500", 1), []string{`f.toml:5: pools.orders.discovery: host "discovery.local" is not an IP address`}},
		"no class":                  {minimalFile[:strings.Index(minimalFile, "[[pools.orders.classes")], []string{"f.toml:4: pools.orders.classes: at least one class is required"}},
		"class twice":               {minimalFile + "[[pools.orders.classes]]\nname = \"order\"\neffect = \"safe\"\n", []string{`f.toml:10: pools.orders.classes[2].name: duplicate class "order"`}},
		"no routes":                 {minimalFile + strings.ReplaceAll(minimalFile[strings.Index(minimalFile, "[pools"):], "orders", "meters"), []string{"f.toml:1: routes: at least one route is required"}},
		"no such pool":              {minimalFile + "[[routes]]\nname = \"a\"\npool = \"order\"\n", []string{`f.toml:4: pools.orders: no route sends requests to pool "orders"`, `f.toml:11: routes[1].pool: unknown pool "order"; did you mean "orders"?`}},
		"tie":                       {minimalFile + "[[routes]]\nname = \"a\"\npool = \"orders\"\n[[routes]]\nname = \"b\"\nhosts = [\"*\"]\npool = \"orders\"\n", []string{`f.toml:13: routes[2].name: routes "a" and "b" conflict`}},
		"bad host":                  {minimalFile + "[[routes]]\nname = \"a\"\nhosts = [\"a b\", 7]\npool = \"orders\"\n", []string{"f.toml:11: routes[1].hosts[2]: got an integer, expected a string", "f.toml:11: routes[1].hosts: host \"a b\""}},
		"descriptors":               {minimalFile + "[process]\ndescriptors = 64\n[[listeners]]\nname = \"b\"\naddress = \":0\"\n", []string{"f.toml:9: process: 63 descriptors are left"}},
		"listener twice":            {minimalFile + "[[listeners]]\nname = \"farm\"\naddress = \"127.0.0.1:1\"\n", []string{`f.toml:10: listeners[2].name: "farm" is already the name of the listener in line 1`}},
		"small bodies":              {minimalFile + "[pools.orders.limits]\nbodies = \"1KiB\"\n", []string{"f.toml:10: pools.orders.limits.bodies: must be 0 or at least 64KiB"}},
		"table for value":           {minimalFile + "[pools.orders.limits.rate]\nx = 1\n", []string{"f.toml:9: pools.orders.limits.rate: got a table, expected a number"}},
		"http without its protocol": {minimalFile + "[pools.orders.http]\ncheck = \"/x\"\n", []string{"f.toml:9: pools.orders.http: unknown key"}},
		"pattern":                   {minimalHTTPFile + "[[pools.shop.classes]]\nname = \"a\"\nmatch = [\"get /a\"]\n", []string{`f.toml:11: pools.shop.classes[1].match: "get /a": invalid method "get"`}},
		"no match":                  {minimalHTTPFile + "[[pools.shop.classes]]\nname = \"a\"\n", []string{"f.toml:9: pools.shop.classes[1].match: required key is missing"}},
		"reserved class":            {minimalHTTPFile + "[[pools.shop.classes]]\nname = \"other\"\nmatch = [\"/\"]\n", []string{`f.toml:9: pools.shop.classes: class name "other" is reserved`}},
		"statuses":                  {minimalHTTPFile + "[pools.shop.http]\nfailures = [200, \"x\"]\n", []string{"f.toml:10: pools.shop.http.failures[1]: expected an HTTP status code from 400 to 599", "f.toml:10: pools.shop.http.failures[2]: expected an HTTP status code from 400 to 599"}},
		"trusted field":             {minimalHTTPFile + "[pools.shop.http]\ndeadline_from = [\"X-Mine\"]\n", []string{`f.toml:10: pools.shop.http.deadline_from: unsupported header field "X-Mine"`}},
		"value source":              {minimalHTTPFile + "[[pools.shop.classes]]\nname = \"a\"\nmatch = [\"/a\"]\nkey_from = \"id\"\n", []string{`f.toml:12: pools.shop.classes[1].key_from: invalid source "id"; expected header:NAME`}},
		"spillover of http":         {minimalHTTPFile + "[pools.shop.spill]\nto = \"x\"\n", []string{"f.toml:9: pools.shop.spill: allowed only for pools with protocol = \"platform\""}},
		"value for table":           {"pools = 3\nlisteners = \"x\"\n", []string{"f.toml:1: pools: got an integer, expected a table of tables", "f.toml:2: listeners: got a string, expected an array of tables"}},
	} {
		_, err := Parse("f.toml", []byte(c.text))
		var errs Errors
		if !errors.As(err, &errs) {
			t.Errorf("%s: Parse returned error %v, want an Errors", name, err)
			continue
		}
		at := 0
		for _, e := range errs {
			if at < len(c.want) && strings.HasPrefix(e.Error(), c.want[at]) {
				at++
			}
		}
		if at < len(c.want) {
			t.Errorf("%s: want %q, got\n%v", name, c.want[at], errs)
		}
	}
}

// equalGateways reports whether two gateway configurations are equal. Here they have no random seeds.
func equalGateways(a, b gateway.Config) bool { return reflect.DeepEqual(a, b) }

// TestPrint guards against a printed file that parses as another configuration, and against defaults that are not printed.
func TestPrint(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "sorrelrudder.toml"))
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse("deploy/sorrelrudder.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	printed := f.String()
	again, err := Parse("printed", []byte(printed))
	if err != nil {
		t.Fatalf("the printed file is invalid: %v\n%s", err, printed)
	}
	if !equalGateways(f.Gateway, again.Gateway) {
		t.Errorf("the printed file is another configuration:\n%+v\n%+v", f.Gateway, again.Gateway)
	}
	for _, want := range []string{"max = 3 ", "most_retry_after = \"1.5s\"", "strip_path = false"} {
		if !strings.Contains(printed, want) {
			t.Errorf("default not printed: %s", want)
		}
	}
}

func TestSizes(t *testing.T) {
	for text, want := range map[string]int64{"64KiB": 64 << 10, "1 MiB": 1 << 20, "3kB": 3000, "0B": 0, "7B": 7, "2GiB": 2 << 30} {
		got, err := parseSize(text)
		if err != nil || got != want {
			t.Errorf("parseSize of %s returned %d and error %v", text, got, err)
		}
		if back, err := parseSize(formatSize(want)); err != nil || back != want {
			t.Errorf("the size %s is formatted as %s, which is parsed as another size", text, formatSize(want))
		}
	}
	for _, text := range []string{"", "64", "KiB", "-1B", "1.5MiB", "99999999999GiB", "1TiB"} {
		if got, err := parseSize(text); err == nil {
			t.Errorf("parseSize of %q returned %d, want an error", text, got)
		}
	}
}

// FuzzParse guards against a panic on any file, against errors without a location, and against a printed file that parses as another
// configuration.
func FuzzParse(f *testing.F) {
	f.Add(minimalFile)
	f.Add(minimalFile + "[[routes]]\nname = \"a\"\nhosts = [\"a.org\", \"*\"]\npool = \"orders\"\n")
	f.Add("[pools.\"a b\".limits]\nrate = inf\n[pools]\nx = {a.b = 1, a.c = [1, {d = 2}]}\n")
	f.Add("pools = [{a=1},{b=2}]\nlisteners = [1, [2]]")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := Parse("f", []byte(text))
		if err != nil {
			var errs Errors
			if !errors.As(err, &errs) || len(errs) == 0 {
				t.Fatalf("the error is not an Errors: %v", err)
			}
			for _, e := range errs {
				if e.Line < 1 || e.Line > strings.Count(text, "\n")+1 || e.Text == "" {
					t.Fatalf("error without a location or text: %+v", e)
				}
			}
			return
		}
		again, err := Parse("f", []byte(file.String()))
		if err != nil {
			t.Fatalf("the printed file is invalid: %v\n%s", err, file.String())
		}
		if !equalGateways(file.Gateway, again.Gateway) {
			t.Fatalf("the printed file is another configuration:\n%s", file.String())
		}
	})
}

// TestSites checks the keys of sites and spillover: a valid file is read, and each error has its line and key.
func TestSites(t *testing.T) {
	const good = `[site]
name = "a"
[[peers]]
name = "b"
address = "127.0.0.1:9000"
from = ["127.0.0.1"]
[[listeners]]
name = "farm"
address = "127.0.0.1:0"
[[listeners]]
name = "sites"
address = "127.0.0.1:0"
sites = true
[pools.farm]
discovery = "127.0.0.1:8500"
[pools.farm.spill]
to = "b"
[[pools.farm.classes]]
name = "order"
effect = "keyed"
repeats_dropped_at_both_sites = true
`
	f, err := Parse("f.toml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	b := f.SiteLinks
	if b == nil || b.Site != "a" || len(b.Peers) != 1 || b.Pools["farm"].Peer != "b" || len(b.Pools["farm"].SharedDedupClasses) != 1 || !f.Gateway.Listeners[1].InterSite {
		t.Errorf("the site links are %+v, want site a with one peer, and pool farm with one shared dedup class", b)
	}
	if err := b.Validate(); err != nil {
		t.Error(err)
	}
	again, err := Parse("f.toml", []byte(f.String()))
	if err != nil || !reflect.DeepEqual(again.SiteLinks, b) {
		t.Errorf("the printed file is another configuration: %v\n%s", err, f)
	}
	for change, want := range map[[2]string]string{
		{`to = "b"`, `to = "c"`}:                                                  `f.toml:17: pools.farm.spill.to: unknown peer "c"`,
		{`from = ["127.0.0.1"]`, ``}:                                              `f.toml:3: peers[1].from: required key is missing`,
		{`from = ["127.0.0.1"]`, `from = ["home"]`}:                               `f.toml:6: peers[1].from: "home" is not an IP address`,
		{`name = "b"`, `name = "a"`}:                                              `peers[1].name: duplicate site "a"`,
		{`to = "b"`, "to = \"b\"\nstart = 0.1\nstop = 0.2"}:                       `f.toml:19: pools.farm.spill.stop: 0.2 is not less than start`,
		{"[site]\nname = \"a\"\n", ""}:                                            `peers: requires the table [site]`,
		{`effect = "keyed"`, `effect = "unsafe"`}:                                 `allowed only for a class with effect = "keyed"`,
		{`effect = "keyed"`, "effect = \"keyed\"\nrepeats_dropped_by = \"cell\""}: `requires repeats_dropped_by = "all"`,
	} {
		_, err := Parse("f.toml", []byte(strings.Replace(good, change[0], change[1], 1)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("file changed to %q: got error %v, want %q", change[1], err, want)
		}
	}
}
