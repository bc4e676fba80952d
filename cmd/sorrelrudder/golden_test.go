package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/pelletier/go-toml/v2"

	"sorrelrudder/internal/scenario"
)

// The golden files hold what operators and their scripts see. A rename inside the program must not change them.
var update = flag.Bool("update", false, "rewrite the golden files in testdata")

// compareGolden checks that got equals the whole of testdata/NAME.golden. With -update it writes the file instead.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) == got {
		return
	}
	wantLines, gotLines := strings.Split(string(text), "\n"), strings.Split(got, "\n")
	line := 0
	for line < min(len(wantLines), len(gotLines)) && wantLines[line] == gotLines[line] {
		line++
	}
	const after = 3
	t.Errorf("%s:%d: want\n%s\ngot\n%s", path, line+1, strings.Join(wantLines[line:min(line+after, len(wantLines))], "\n"),
		strings.Join(gotLines[line:min(line+after, len(gotLines))], "\n"))
}

// transcript returns a command line, its exit code and what it prints. Lines on standard error begin with "! ".
func transcript(args ...string) string {
	code, out, errs := runCLI(args...)
	var b strings.Builder
	fmt.Fprintf(&b, "$ %s\nexit %d\n%s", strings.Join(args, " "), code, out)
	for line := range strings.Lines(errs) {
		b.WriteString("! " + line)
	}
	return b.String() + "\n"
}

// measuredValues matches the values that differ from run to run. Each is replaced by "*".
var measuredValues = regexp.MustCompile(`("(?:seconds|seeds_a_minute|real_s)":)[0-9.e+-]+|(seeds from \d+ in )\d+ s, \d+ a minute`)

// TestCommandOutput guards against unintended changes of what commands print and of their exit codes.
func TestCommandOutput(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	deploy := func(name string) string { return filepath.Join("..", "..", "deploy", name) }
	data := func(name string) string { return filepath.Join("testdata", name) }
	var checks [][]string
	for _, pattern := range []string{"sorrelrudder.toml", "http.toml", "site-*.toml", "tier-*.toml"} {
		files, err := filepath.Glob(deploy(pattern))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v, %v", pattern, files, err)
		}
		for _, file := range files {
			checks = append(checks, []string{"check", file}, []string{"check", "--print", file})
		}
	}
	for name, commands := range map[string][][]string{
		"usage": {{"fly"}, {"run"}, {"check"}, {"route", "a"}, {"tier"}, {"tier", "status", "127.0.0.1:1"}, {"lab", "--seed", "x"}},
		"lab":   {{"lab", "list"}, {"lab", "none"}, {"lab", "tier-explore", "--plant", "none"}, {"lab", "replica-scale", "--sizes", "1"}},
		"check": append(checks, []string{"check", "--print", data("full.toml")}),
		"check-errors": {
			{"check", data("bad.toml")}, {"check", data("unknown.toml")}, {"check", data("empty.toml")}, {"check", data("syntax.toml")},
			{"check", data("none.toml")}, {"check", deploy("day.toml")},
		},
		"route": {
			{"route", deploy("http.toml"), "GET", "http://shop.example.org/items/7"},
			{"route", deploy("http.toml"), "get", "http://shop.example.org/items/7/parts"},
			{"route", deploy("http.toml"), "POST", "http://shop.example.org/orders"},
			{"route", "-H", "Idempotency-Key: 1", deploy("http.toml"), "POST", "https://shop.example.org/orders?a=b"},
			{"route", deploy("sorrelrudder.toml"), "GET", "http://farm.example.org/channels/channel-status/1"},
			{"route", deploy("sorrelrudder.toml"), "POST", "http://farm.example.org/delivery-order/1"},
			{"route", deploy("sorrelrudder.toml"), "POST", "http://x.meters.example.org/meter-booking"},
			{"route", deploy("sorrelrudder.toml"), "GET", "http://orders.example.org/other"},
			{"route", deploy("sorrelrudder.toml"), "GET", "http://other.example.org/"},
			{"route", deploy("sorrelrudder.toml"), "GET", "other"},
			{"route", "-H", "no field", deploy("sorrelrudder.toml"), "GET", "http://other.example.org/"},
		},
		"fleet": {
			{"fleet", data("fleet")}, {"fleet", "--json", data("fleet")}, {"fleet", "--json", "--pool", "q", "--every", "500ms", data("fleet")},
			{"fleet", "--pool", "none", data("fleet")}, {"fleet", "--every", "0s", data("fleet")},
		},
		"emulate": {
			{"emulate", "--runs", "2", data("day.toml")}, {"emulate", "--runs", "2", "--json", data("day.toml")},
			{"emulate", "--runs", "2", "--share", "dead,room,learn,list,zones", data("day.toml")},
			{"emulate", "--runs", "2", "--share", "dead", "--share", "zones", "--json", data("day.toml")},
			{"emulate", "--runs", "1", "--scale", "0.5", data("day.toml")},
			{"emulate", "--runs", "0", data("day.toml")}, {"emulate", "--share", "all", data("day.toml")}, {"emulate", "--lag", "0s", data("day.toml")},
			{"emulate", data("bad-day.toml")}, {"emulate", data("unknown-day.toml")}, {"emulate", data("none.toml")},
		},
		"explore": { // the hash covers the text of the trace; the counts do not
			{"lab", "tier-explore", "--seeds", "4", "--workers", "1", "--json"},
			{"lab", "tier-explore", "--seeds", "2", "--workers", "1"},
			{"lab", "tier-explore", "--copies", "--seeds", "4", "--workers", "1", "--json"},
			{"lab", "tier-explore", "--zones", "--seeds", "4", "--workers", "1", "--json"},
			{"lab", "replica-scale", "--sizes", "10", "--loss", "0,0.1", "--json"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var all strings.Builder
			for _, args := range commands {
				all.WriteString(transcript(args...))
			}
			compareGolden(t, name, measuredValues.ReplaceAllString(all.String(), "$1$2*"))
		})
	}
}

// TestHelp guards against unintended changes of the help of the program and of every command, hidden ones included.
func TestHelp(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	grammar, err := kong.New(&cli{}, kong.Vars{"cores": "1"})
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	var walk func(path []string, node *kong.Node)
	walk = func(path []string, node *kong.Node) {
		all.WriteString(transcript(append(slices.Clone(path), "--help")...))
		for _, child := range node.Children {
			walk(append(slices.Clone(path), child.Name), child)
		}
	}
	walk(nil, grammar.Model.Node)
	cores := regexp.MustCompile(`--workers=\d+ +`) // the default depends on the machine
	compareGolden(t, "help", cores.ReplaceAllString(all.String(), "--workers=* "))
}

// TestOperatorFileKeys guards against unintended changes of the keys that each section of an operator's file may have. testdata/unknown.toml
// has all sections with an unknown key in each: the errors list the known keys.
func TestOperatorFileKeys(t *testing.T) {
	_, _, errs := runCLI("check", filepath.Join("testdata", "unknown.toml"))
	index := regexp.MustCompile(`\[\d+\]`)
	var keys []string
	for _, m := range regexp.MustCompile(`(?m)^\S+:\d+: (\S*)zzzzzzzzzz: unknown key; known here: (.*)$`).FindAllStringSubmatch(errs, -1) {
		for key := range strings.SplitSeq(m[2], ", ") {
			keys = append(keys, index.ReplaceAllString(m[1], "[]")+key)
		}
	}
	slices.Sort(keys)
	compareGolden(t, "operator-keys", strings.Join(slices.Compact(keys), "\n")+"\n")
}

// TestDayFileKeys guards against unintended changes of the keys of a scenario file and of their default values.
func TestDayFileKeys(t *testing.T) {
	var keys []string
	var walk func(path string, of reflect.Type)
	walk = func(path string, of reflect.Type) {
		for i := range of.NumField() {
			field := of.Field(i)
			key, inner := path+field.Tag.Get("toml"), field.Type
			if inner.Kind() == reflect.Slice {
				key, inner = key+"[]", inner.Elem()
			}
			if inner.Kind() == reflect.Struct {
				walk(key+".", inner)
				continue
			}
			keys = append(keys, key)
		}
	}
	walk("", reflect.TypeFor[scenario.File]())
	slices.Sort(keys)
	defaults, err := toml.Marshal(scenario.Default())
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "day-keys", strings.Join(keys, "\n")+"\n\n"+string(defaults))
}

// TestQuickstartReport guards against unintended changes of the keys of a scenario's report. Its values are measured and not compared.
func TestQuickstartReport(t *testing.T) {
	_, out, errs := runCLI("lab", "quickstart", "--duration", "2s", "--json")
	var report struct{ Measures map[string]float64 }
	var whole map[string]json.RawMessage
	for _, into := range []any{&report, &whole} {
		if err := json.Unmarshal([]byte(out), into); err != nil {
			t.Fatalf("%v: %s%s", err, out, errs)
		}
	}
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(whole)) {
		fmt.Fprintln(&b, key)
	}
	for _, key := range slices.Sorted(maps.Keys(report.Measures)) {
		fmt.Fprintln(&b, "measures."+key)
	}
	compareGolden(t, "quickstart", b.String())
}

// TestMeasureNames guards against unintended changes of the names of scenario measures. It takes them from the sources, since running all
// scenarios takes too long; what is not a literal is shown as "*". Where the sources come to
// build a name in another way, the name itself must stay the same.
func TestMeasureNames(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "internal", "e2e", "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	var names []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(tree, func(n ast.Node) bool {
			if c, ok := n.(*ast.CallExpr); ok && len(c.Args) > 0 {
				if f, ok := c.Fun.(*ast.SelectorExpr); ok && slices.Contains([]string{"Measure", "AtLeast", "AtMost"}, f.Sel.Name) {
					names = append(names, literalText(c.Args[0]))
				}
			}
			return true
		})
	}
	slices.Sort(names)
	compareGolden(t, "measures", strings.Join(slices.Compact(names), "\n")+"\n")
}

// literalText returns the literal parts of an expression, with "*" for the others.
func literalText(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.BasicLit:
		return strings.Trim(e.Value, "\"`")
	case *ast.BinaryExpr:
		return literalText(e.X) + literalText(e.Y)
	case *ast.CallExpr: // the format of fmt.Sprintf
		if f, ok := e.Fun.(*ast.SelectorExpr); ok && f.Sel.Name == "Sprintf" {
			return literalText(e.Args[0])
		}
	}
	return "*"
}
