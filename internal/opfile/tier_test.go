package opfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const tierFile = `[[listeners]]
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

func TestTier(t *testing.T) {
	f, err := Parse("f.toml", []byte(tierFile))
	if err != nil {
		t.Fatal(err)
	}
	if f.Tier == nil || len(f.Tier.Members) != 3 || len(f.Tier.Tasks) != 1 || f.Tier.Tasks[0].Window <= 0 {
		t.Fatalf("%+v", f.Tier)
	}
	if again, err := Parse("f.toml", []byte(f.String())); err != nil || len(again.Tier.Tasks) != 1 {
		t.Errorf("what is printed reads as another: %v", err)
	}
}

// TestBadTier: each error has its line and key.
func TestBadTier(t *testing.T) {
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
		"tasks alone":        {tierFile[strings.Index(tierFile, "[tier]"):strings.Index(tierFile, "[[tasks]]")], "", "tasks: are done once for a fleet"},
	} {
		text := strings.Replace(tierFile, c.from, c.to, 1)
		if text == tierFile {
			t.Fatalf("%s: nothing was changed", name)
		}
		if _, err := Parse("f.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: want %q in\n%v", name, c.want, err)
		}
	}
}

// TestTierExamples: what is shipped can be used.
func TestTierExamples(t *testing.T) {
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
