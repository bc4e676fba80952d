package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sorrelrudder/internal/task"
)

const fleetFile = `[[listeners]]
name = "farm"
address = "127.0.0.1:0"
[pools.farm]
[[pools.farm.servers]]
name = "b"
address = "127.0.0.1:9"
[[pools.farm.classes]]
name = "delivery-order"
effect = "keyed"
deadline = "1500ms"
[tier]
name = "a"
secret = "secret"
store = "a.db"
council = ["a", "b", "c"]
[[tier.members]]
name = "a"
address = "127.0.0.1:1001"
[[tier.members]]
name = "b"
address = "127.0.0.1:1002"
[[tier.members]]
name = "c"
address = "127.0.0.1:1003"
[[tasks]]
name = "sweep"
pool = "farm"
path = "/delivery-order/sweep"
every = "1m"
`

func TestFleet(t *testing.T) {
	f, err := Parse("f.toml", []byte(fleetFile))
	if err != nil {
		t.Fatal(err)
	}
	if f.Fleet == nil || len(f.Fleet.Members) != 3 || len(f.Fleet.Tasks) != 1 || f.Fleet.Tasks[0].DedupWindow <= 0 {
		t.Fatalf("%+v", f.Fleet)
	}
	if again, err := Parse("f.toml", []byte(f.String())); err != nil || len(again.Fleet.Tasks) != 1 {
		t.Errorf("what is printed reads as another: %v", err)
	}
}

// TestBadTier: each error has its line and key.
func TestInvalidFleet(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"even council":       {`["a", "b", "c"]`, `["a", "b"]`, "f.toml:16: tier.council: has 2 members"},
		"empty council":      {`["a", "b", "c"]`, `[]`, "f.toml:16: tier.council: is empty"},
		"one twice":          {`["a", "b", "c"]`, `["a", "b", "b"]`, `tier.council: names "b" twice`},
		"a stranger":         {`["a", "b", "c"]`, `["a", "b", "d"]`, `tier.council: names "d", which is none of`},
		"no store":           {"store = \"a.db\"\n", "", "tier.store: is missing"},
		"store without seat": {`name = "a"` + "\nsecret", `name = "d"` + "\nsecret", `tier.name: "d" is none of`},
		"member twice":       {`name = "c"`, `name = "b"`, `f.toml:24: tier.members[3].name: member "b" is there twice`},
		"address twice":      {`1003`, `1002`, "tier.members[3].address: is 127.0.0.1:1002, as that of the member in line 20"},
		"no address":         {`"127.0.0.1:1003"`, `"nowhere"`, "tier.members[3].address"},
		"short term":         {"[tier]", "[tier]\nterm = \"500ms\"", "tier.term: is 500ms, below ten ticks"},
		"no margin":          {"[tier]", "[tier]\nterm = \"1s\"\nguard = \"900ms\"", "tier.term: of a term of 1s"},
		"no such pool":       {`pool = "farm"`, `pool = "fram"`, `tasks[1].pool: there is no pool "fram"; did you mean "farm"?`},
		"no such class":      {`/delivery-order/sweep`, `/delivery/sweep`, `tasks[1].path: there is no class "delivery"`},
		"another method":     {`every = "1m"`, "every = \"1m\"\nmethod = \"GET\"", "tasks[1].method: is GET"},
		"no such schedule":   {`every = "1m"`, `every = "now and then"`, "tasks[1].every"},
		"no such missed":     {`every = "1m"`, "every = \"1m\"\nmissed = \"twice\"", "tasks[1].missed"},
		"unknown key":        {`every = "1m"`, "every = \"1m\"\ncron = \"*\"", "tasks[1].cron: unknown key"},
		"priority":           {`every = "1m"`, "every = \"1m\"\npriority = 1000", "tasks[1].priority: is 1000, outside -100 to 100"},
		"empty budget":       {`every = "1m"`, "every = \"1m\"\n[tasks.budget]\nper = \"1h\"", "neither requests nor time"},
		"memory, unsaid":     {`store = "a.db"`, `council_in_memory = "yes"`, "f.toml:15: tier.council_in_memory: is to be \"all promises are forgotten"},
		"memory and store":   {"[tier]", "[tier]\ncouncil_in_memory = \"" + votersInMemoryConsent + "\"", "tier.store: can't be together with council_in_memory"},
		"host, not plain":    {`every = "1m"`, "every = \"1m\"\nhost = \"a.example\"", "tasks[1].host: means something to pools of plain HTTP only"},
		"unknown copies key": {"[[tasks]]", "[tier.copies]\ngosip = \"1s\"\n[[tasks]]", "tier.copies.gosip: unknown key"},
		"hasty probe":        {"[[tasks]]", "[tier.copies]\nprobe = \"100ms\"\n[[tasks]]", "tier.copies.probe: is 100ms, below two rounds"},
		"no witness":         {"[[tasks]]", "[tier.copies]\nwitnesses = 0\n[[tasks]]", "tier.copies.witnesses: is 0, outside 1 to 100"},
		"one file for two":   {"[[tasks]]", "[tier.copies]\nstore = \"a.db\"\n[[tasks]]", "tier.copies.store: is that of the council"},
		"zones alone":        {"[[tasks]]", "[tier.zones]\n[[tasks]]", "tier.zones: needs [tier.copies]"},
		"members' zones":     {"[[tasks]]", "[tier.copies]\n[tier.zones]\n[[tasks]]", "the zones of a, b, c are not told"},
		"odd judge":          {"[[tasks]]", "[tier.copies]\n[tier.zones]\nothers = 0.9\n[[tasks]]", "which is not below the 0.6"},
		"odd grey":           {"[[tasks]]", "[tier.copies]\n[tier.zones]\ngrey = \"some\"\n[[tasks]]", "tier.zones.grey"},
		"not automatic":      {"[[tasks]]", "[tier.copies]\n[tier.zones]\nautomatic = \"perhaps\"\n[[tasks]]", "tier.zones.automatic"},
		"tasks alone":        {fleetFile[strings.Index(fleetFile, "[tier]"):strings.Index(fleetFile, "[[tasks]]")], "", "tasks: are done once for a fleet"},
	} {
		text := strings.Replace(fleetFile, c.from, c.to, 1)
		if text == fleetFile {
			t.Fatalf("%s: nothing was changed", name)
		}
		if _, err := Parse("f.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: want %q in\n%v", name, c.want, err)
		}
	}
}

// TestZonesWarm: a zone that the fleet returns to is cold for the longest ramp of the pools.
func TestZonesWarmUp(t *testing.T) {
	text := strings.Replace(fleetFile, "[tier]\n", "[pools.farm.safety]\nramp = \"25s\"\n[tier]\n", 1)
	text = strings.Replace(text, "[[tasks]]", "[tier.copies]\n[tier.zones]\nautomatic = \"off\"\n[[tasks]]", 1)
	f, err := Parse("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if got := f.Fleet.Zones.Rules.WarmUp; got != 25*time.Second {
		t.Errorf("cold for %v", got)
	}
}

// TestTierExamples: what is shipped can be used.
func TestFleetExamples(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "deploy", "tier-*.toml"))
	if err != nil || len(files) != 3 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(file, text); err != nil {
			t.Error(err)
		}
	}
}

// TestPlainTask: on a pool of plain HTTP the class of a task is what the pool's rules say of its request.
func TestHTTPServiceTask(t *testing.T) {
	text := strings.Replace(fleetFile, "[pools.farm]\n", "[pools.farm]\nprotocol = \"http\"\n", 1)
	text = strings.Replace(text, "name = \"delivery-order\"\n", "name = \"delivery-order\"\nmatch = [\"POST /delivery-order/\"]\nrepeats_dropped_for = \"20s\"\n", 1)
	f, err := Parse("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if k := f.Fleet.Tasks[0]; !k.Plain || k.Idempotency != task.IdempotentByKey || k.DedupWindow != 20*time.Second {
		t.Errorf("%+v", k)
	}
	f, err = Parse("f.toml", []byte(strings.Replace(text, `"/delivery-order/sweep"`, `"/else"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if k := f.Fleet.Tasks[0]; k.Idempotency != task.NonIdempotent {
		t.Errorf("what no rule takes: %+v", k)
	}
}
