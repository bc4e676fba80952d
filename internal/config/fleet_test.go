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
		t.Fatalf("the fleet is %+v, want three members and one task with a dedup window", f.Fleet)
	}
	if again, err := Parse("f.toml", []byte(f.String())); err != nil || len(again.Fleet.Tasks) != 1 {
		t.Errorf("the printed file is another configuration: %v", err)
	}
}

// TestInvalidFleet checks that each error is reported for its key; some cases also check the line.
func TestInvalidFleet(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"even council":           {`["a", "b", "c"]`, `["a", "b"]`, "f.toml:16: tier.council: has 2 members"},
		"empty council":          {`["a", "b", "c"]`, `[]`, "f.toml:16: tier.council: at least one voter is required"},
		"duplicate voter":        {`["a", "b", "c"]`, `["a", "b", "b"]`, `tier.council: duplicate voter "b"`},
		"unknown voter":          {`["a", "b", "c"]`, `["a", "b", "d"]`, `tier.council: voter "d" is not listed in [[tier.members]]`},
		"no store":               {"store = \"a.db\"\n", "", "tier.store: required key is missing"},
		"store of a non-member":  {`name = "a"` + "\nsecret", `name = "d"` + "\nsecret", `tier.name: "d" is not listed in [[tier.members]]`},
		"member twice":           {`name = "c"`, `name = "b"`, `f.toml:24: tier.members[3].name: duplicate member "b"`},
		"address twice":          {`1003`, `1002`, "tier.members[3].address: 127.0.0.1:1002 is already the address of the member in line 20"},
		"no address":             {`"127.0.0.1:1003"`, `"nowhere"`, "tier.members[3].address"},
		"short term":             {"[tier]", "[tier]\nterm = \"500ms\"", "tier.term: 500ms is less than ten ticks"},
		"no margin":              {"[tier]", "[tier]\nterm = \"1s\"\nguard = \"900ms\"", "tier.term: of a term of 1s"},
		"no such pool":           {`pool = "farm"`, `pool = "fram"`, `tasks[1].pool: unknown pool "fram"; did you mean "farm"?`},
		"no such class":          {`/delivery-order/sweep`, `/delivery/sweep`, `tasks[1].path: unknown class "delivery"`},
		"another method":         {`every = "1m"`, "every = \"1m\"\nmethod = \"GET\"", "tasks[1].method: GET is not allowed"},
		"no such schedule":       {`every = "1m"`, `every = "now and then"`, "tasks[1].every"},
		"no such missed":         {`every = "1m"`, "every = \"1m\"\nmissed = \"twice\"", "tasks[1].missed"},
		"unknown key":            {`every = "1m"`, "every = \"1m\"\ncron = \"*\"", "tasks[1].cron: unknown key"},
		"priority":               {`every = "1m"`, "every = \"1m\"\npriority = 1000", "tasks[1].priority: 1000 is out of range; expected -100 to 100"},
		"empty budget":           {`every = "1m"`, "every = \"1m\"\n[tasks.budget]\nper = \"1h\"", "neither requests nor time"},
		"memory without consent": {`store = "a.db"`, `council_in_memory = "yes"`, "f.toml:15: tier.council_in_memory: must be \"all promises are forgotten"},
		"memory and store":       {"[tier]", "[tier]\ncouncil_in_memory = \"" + votersInMemoryConsent + "\"", "tier.store: must not be set together with council_in_memory"},
		"host without HTTP":      {`every = "1m"`, "every = \"1m\"\nhost = \"a.example\"", "tasks[1].host: allowed only for pools with protocol = \"http\""},
		"unknown copies key":     {"[[tasks]]", "[tier.copies]\ngosip = \"1s\"\n[[tasks]]", "tier.copies.gosip: unknown key"},
		"short probe interval":   {"[[tasks]]", "[tier.copies]\nprobe = \"100ms\"\n[[tasks]]", "tier.copies.probe: 100ms is less than twice the gossip interval"},
		"zero witnesses":         {"[[tasks]]", "[tier.copies]\nwitnesses = 0\n[[tasks]]", "tier.copies.witnesses: 0 is out of range; expected 1 to 100"},
		"shared store file":      {"[[tasks]]", "[tier.copies]\nstore = \"a.db\"\n[[tasks]]", "tier.copies.store: must differ from the store in [tier]"},
		"zones without copies":   {"[[tasks]]", "[tier.zones]\n[[tasks]]", "tier.zones: requires the table [tier.copies]"},
		"members without zones":  {"[[tasks]]", "[tier.copies]\n[tier.zones]\n[[tasks]]", "tier.zones: no zone is configured for members a, b, c"},
		"invalid threshold":      {"[[tasks]]", "[tier.copies]\n[tier.zones]\nothers = 0.9\n[[tasks]]", "maximum fraction of unreachable endpoints in other zones is 0.9, want at least 0 and below the threshold 0.6"},
		"invalid grey":           {"[[tasks]]", "[tier.copies]\n[tier.zones]\ngrey = \"some\"\n[[tasks]]", "tier.zones.grey"},
		"invalid automatic":      {"[[tasks]]", "[tier.copies]\n[tier.zones]\nautomatic = \"perhaps\"\n[[tasks]]", "tier.zones.automatic"},
		"tasks without fleet":    {fleetFile[strings.Index(fleetFile, "[tier]"):strings.Index(fleetFile, "[[tasks]]")], "", "tasks: requires the table [tier]"},
	} {
		text := strings.Replace(fleetFile, c.from, c.to, 1)
		if text == fleetFile {
			t.Fatalf("%s: the replaced text is not in the file", name)
		}
		if _, err := Parse("f.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: want %q in\n%v", name, c.want, err)
		}
	}
}

// TestZonesWarmUp checks that the endpoints of a zone warm up after failback for the longest ramp of the pools.
func TestZonesWarmUp(t *testing.T) {
	text := strings.Replace(fleetFile, "[tier]\n", "[pools.farm.safety]\nramp = \"25s\"\n[tier]\n", 1)
	text = strings.Replace(text, "[[tasks]]", "[tier.copies]\n[tier.zones]\nautomatic = \"off\"\n[[tasks]]", 1)
	f, err := Parse("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if got := f.Fleet.Zones.Rules.WarmUp; got != 25*time.Second {
		t.Errorf("the warm-up of zones is %v, want 25s", got)
	}
}

// TestFleetExamples checks that the shipped example files of a fleet are valid.
func TestFleetExamples(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "deploy", "tier-*.toml"))
	if err != nil || len(files) != 3 {
		t.Fatalf("found example files %v with error %v, want three files", files, err)
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

// TestTaskDedupScope guards against running a slot again at any server although only the servers of a cell or zone drop its repeats.
func TestTaskDedupScope(t *testing.T) {
	for scope, everywhere := range map[string]bool{"all": true, "zone": false, "cell": false} {
		text := strings.Replace(fleetFile, "effect = \"keyed\"\n", "effect = \"keyed\"\nrepeats_dropped_by = \""+scope+"\"\n", 1)
		f, err := Parse("f.toml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if k := f.Fleet.Tasks[0]; k.DedupEverywhere != everywhere {
			t.Errorf("repeats dropped by %s: DedupEverywhere is %t, want %t", scope, k.DedupEverywhere, everywhere)
		}
	}
}

// TestHTTPServiceTask checks that the rules of a pool of ordinary HTTP services select the class of a task's request.
func TestHTTPServiceTask(t *testing.T) {
	text := strings.Replace(fleetFile, "[pools.farm]\n", "[pools.farm]\nprotocol = \"http\"\n", 1)
	text = strings.Replace(text, "name = \"delivery-order\"\n", "name = \"delivery-order\"\nmatch = [\"POST /delivery-order/\"]\nrepeats_dropped_for = \"20s\"\n", 1)
	f, err := Parse("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if k := f.Fleet.Tasks[0]; !k.Plain || k.Idempotency != task.IdempotentByKey || k.DedupWindow != 20*time.Second {
		t.Errorf("the task is %+v, want a plain one with an idempotency key and a dedup window of 20s", k)
	}
	f, err = Parse("f.toml", []byte(strings.Replace(text, `"/delivery-order/sweep"`, `"/else"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if k := f.Fleet.Tasks[0]; k.Idempotency != task.NonIdempotent {
		t.Errorf("the task whose request matches no rule is %+v, want it not idempotent", k)
	}
}
