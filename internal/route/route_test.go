package route

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

// TestHosts guards against a wrong normalized form of a host, and against accepting a malformed one.
func TestHosts(t *testing.T) {
	for in, want := range map[string]string{
		"orders.example.org":                "orders.example.org",
		"Orders.EXAMPLE.org":                "orders.example.org",
		"orders.example.org.":               "orders.example.org",
		"orders.example.org:8080":           "orders.example.org",
		"orders.example.org.:80":            "orders.example.org",
		"orders.example.org:":               "orders.example.org",
		"10.0.0.1:80":                       "10.0.0.1",
		"[::1]":                             "[::1]",
		"[::1]:443":                         "[::1]",
		"[0:0:0:0:0:0:0:1]":                 "[::1]",
		"[2001:DB8::A]:1":                   "[2001:db8::a]",
		"":                                  "",
		".":                                 "",
		"a..b":                              "",
		".a":                                "",
		"a b":                               "",
		"a:b":                               "",
		"a:99999":                           "",
		"a:80:80":                           "",
		"::1":                               "",
		"[::1":                              "",
		"[::1]x":                            "",
		"[fe80::1%25eth0]":                  "",
		"[10.0.0.1]":                        "",
		"a/b":                               "",
		"a@b":                               "",
		"a%2eb":                             "",
		"ä.example.org":                     "",
		strings.Repeat("a", maxHostBytes+1): "",
		"a." + strings.Repeat("b.", 200):    "",
	} {
		var buf hostBuffer
		got, err := parseHost(in, &buf)
		if string(got) != want || (err == nil) != (want != "") {
			t.Errorf("host %q: got %q, error %v, want %q", in, got, err, want)
		}
	}
}

// find returns the pool of a request and the rest of its path, or the text of the error.
func find(t *testing.T, table *Table, host, path string) string {
	t.Helper()
	m, rest, err := table.Find(host, path, path)
	if err != nil {
		return err.Error()
	}
	return m.Pool + " " + rest
}

// TestPrecedence guards against choosing a less specific host, path or class, and against a match for an ambiguous path.
func TestPrecedence(t *testing.T) {
	table, problems := New([]Route{
		{Name: "any", Path: "/", Pool: "any"},
		{Name: "wide", Hosts: []string{"*.example.org"}, Path: "/", Pool: "wide"},
		{Name: "deep", Hosts: []string{"*.farm.example.org"}, Path: "/", Pool: "deep"},
		{Name: "orders", Hosts: []string{"orders.example.org"}, Path: "/v1/", Pool: "orders"},
		{Name: "bulk", Hosts: []string{"orders.example.org"}, Path: "/v1/bulk", Pool: "bulk"},
		{Name: "meter", Hosts: []string{"orders.example.org"}, Path: "/v1", Classes: []string{"meter", "gauge"}, Pool: "meters"},
		{Name: "six", Hosts: []string{"[::1]"}, Path: "/", Pool: "six"},
	})
	if problems != nil {
		t.Fatal(problems)
	}
	for _, c := range [][3]string{
		{"else.org", "/x", "any /x"},
		{"example.org", "/x", "any /x"}, // a pattern does not match the domain itself
		{"a.example.org", "/x", "wide /x"},
		{"a.b.example.org", "/x", "wide /x"},
		{"a.farm.example.org", "/x", "deep /x"},
		{"ORDERS.example.org.:80", "/v1/order/7", "orders /order/7"},
		{"orders.example.org", "/v1", "orders "},
		{"orders.example.org", "/v1/bulk/order", "bulk /order"},
		{"orders.example.org", "/v1/bulky", "orders /bulky"},
		{"orders.example.org", "/v1/meter/7", "meters /meter/7"},
		{"orders.example.org", "/v1/gauge", "meters /gauge"},
		{"orders.example.org", "/v2", ErrUnknownPath.Error()}, // routes of less specific hosts are not considered
		{"orders.example.org", "/v1/../v2", ErrAmbiguousPath.Error()},
		{"orders.example.org", "/v1/.", ErrAmbiguousPath.Error()},
		{"orders.example.org", "/v1/..order", "orders /..order"},
		{"orders.example.org", `/v1\bulk`, ErrAmbiguousPath.Error()},
		{"orders.example.org", "/v1%2Fbulk", ErrAmbiguousPath.Error()},
		{"[0::1]:80", "/x", "six /x"},
		{"[::2]", "/x", "any /x"},
		{"", "/x", ErrInvalidHost.Error()},
	} {
		if got := find(t, table, c[0], c[1]); got != c[2] {
			t.Errorf("host %s, path %s: got %q, want %q", c[0], c[1], got, c[2])
		}
	}
	only, problems := New([]Route{{Name: "o", Hosts: []string{"a.org"}, Path: "/", Pool: "a"}})
	if problems != nil {
		t.Fatal(problems)
	}
	if got := find(t, only, "b.org", "/"); got != ErrUnknownHost.Error() {
		t.Errorf("unknown host: got %q, want the text of ErrUnknownHost", got)
	}
	if got := find(t, only, "a.org", "/a/../b"); got != "a /a/../b" {
		t.Errorf("dot segments in a table without paths: got %q, want them unchanged", got)
	}
}

// TestStrip guards against a wrong request target after the path of the route was removed, and against changing the target if the
// route keeps its path.
func TestStrip(t *testing.T) {
	table, problems := New([]Route{{Name: "a", Path: "/farm/v1", Pool: "a", StripPath: true}, {Name: "b", Path: "/keep", Pool: "b"}})
	if problems != nil {
		t.Fatal(problems)
	}
	for uri, want := range map[string]string{
		"/farm/v1/order/7?x=/y": "/order/7?x=/y",
		"/farm/v1":              "/",
		"/farm/v1?x=1":          "/?x=1",
		"/f%61rm/v1/a%20b":      "/a%20b",
		"/keep/order":           "/keep/order",
	} {
		path, _, _ := strings.Cut(uri, "?")
		path = strings.NewReplacer("%61", "a", "%20", " ").Replace(path)
		m, _, err := table.Find("h", path, uri)
		if err != nil {
			t.Fatal(uri, err)
		}
		if got := m.RewriteTarget(uri); got != want {
			t.Errorf("request target %s: rewritten to %s, want %s", uri, got, want)
		}
	}
}

// TestErrors guards against accepting routes that match the same requests or can never match, and against an error for a conflict
// that names only one of the two routes.
func TestErrors(t *testing.T) {
	base := Route{Name: "first", Hosts: []string{"a.org"}, Path: "/x", Pool: "p"}
	for name, c := range map[string]struct {
		route Route
		key   string
		text  string
	}{
		"tie":           {Route{Name: "second", Hosts: []string{"b.org", "A.org."}, Path: "/x/", Pool: "q"}, "name", `"first" and "second" conflict`},
		"host twice":    {Route{Name: "second", Hosts: []string{"b.org", "B.org"}, Path: "/"}, "hosts", "twice"},
		"no slash":      {Route{Name: "second", Path: "x"}, "path", "begin with /"},
		"dots":          {Route{Name: "second", Path: "/a/../b"}, "path", "not normalized"},
		"encoded":       {Route{Name: "second", Path: "/a%2fb"}, "path", "not normalized"},
		"empty segment": {Route{Name: "second", Path: "/a//b"}, "path", "not normalized"},
		"long":          {Route{Name: "second", Path: "/" + strings.Repeat("a", 300)}, "path", "more than the maximum of 256"},
		"port":          {Route{Name: "second", Hosts: []string{"b.org:80"}, Path: "/"}, "hosts", "must not include a port"},
		"bad host":      {Route{Name: "second", Hosts: []string{"b c"}, Path: "/"}, "hosts", "cannot be read"},
		"wild address":  {Route{Name: "second", Hosts: []string{"*.[::1]"}, Path: "/"}, "hosts", "cannot be read"},
		"bad class":     {Route{Name: "second", Path: "/", Classes: []string{"a/b"}}, "classes", "segment"},
	} {
		_, problems := New([]Route{base, c.route})
		if len(problems) != 1 || problems[0].RouteIndex != 1 || problems[0].Key != c.key || !strings.Contains(problems[0].Text, c.text) {
			t.Errorf("%s: got errors %+v, want one at key %s with %q", name, problems, c.key, c.text)
		}
	}
	both := base
	both.Name, both.Classes = "second", []string{"a", "b"}
	third := base
	third.Name, third.Classes = "third", []string{"b"}
	if _, problems := New([]Route{base, both}); problems != nil {
		t.Errorf("a route for a class and a route for any class: got errors %v, want none", problems)
	}
	if _, problems := New([]Route{base, both, third}); len(problems) != 1 || !strings.Contains(problems[0].Text, `class "b"`) {
		t.Errorf("two routes for a class: got errors %v, want one that names the class", problems)
	}
}

// referenceFind is a reference implementation of the precedence of routes, without a table: the most specific host, then the longest
// path, then a named class.
func referenceFind(routes []Route, host, path string) string {
	hostRank := func(pattern string) int {
		suffix, wild := strings.CutPrefix(pattern, "*")
		switch {
		case pattern == "*":
			return 1
		case wild && strings.HasSuffix(host, suffix) && len(host) > len(suffix):
			return 1 + len(suffix)
		case pattern == host:
			return 1000
		}
		return 0
	}
	best := 0
	for _, r := range routes {
		for _, h := range r.Hosts {
			best = max(best, hostRank(h))
		}
	}
	if best == 0 {
		return ErrUnknownHost.Error()
	}
	found, rank := ErrUnknownPath.Error(), -1
	for _, r := range routes {
		at := strings.TrimSuffix(r.Path, "/")
		rest, ok := strings.CutPrefix(path, at)
		if !ok || rest != "" && rest[0] != '/' {
			continue
		}
		class, _, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
		named := false
		for _, c := range r.Classes {
			named = named || c == class
		}
		if len(r.Classes) > 0 && !named {
			continue
		}
		for _, h := range r.Hosts {
			if k := 2 * len(at); hostRank(h) == best {
				if named {
					k++
				}
				if k > rank {
					found, rank = r.Pool+" "+rest, k
				}
			}
		}
	}
	return found
}

// TestFind compares tables of random routes with referenceFind.
func TestFind(t *testing.T) {
	host := rapid.SampledFrom([]string{"a.org", "b.a.org", "c.b.a.org", "d.org", "*", "*.a.org", "*.b.a.org"})
	path := rapid.SampledFrom([]string{"/", "/x", "/x/y", "/x/y/z", "/w"})
	class := rapid.SampledFrom([]string{"x", "y", "z", "k"})
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		var table *Table
		for i := range rapid.IntRange(1, 12).Draw(t, "n") {
			r := Route{
				Name: fmt.Sprint("r", i), Pool: fmt.Sprint("p", i), Path: path.Draw(t, "path"),
				Hosts:   rapid.SliceOfNDistinct(host, 1, 3, rapid.ID).Draw(t, "hosts"),
				Classes: rapid.SliceOfNDistinct(class, 0, 2, rapid.ID).Draw(t, "classes"),
			}
			if with, problems := New(append(routes[:len(routes):len(routes)], r)); problems == nil {
				routes, table = append(routes, r), with
			}
		}
		if table == nil {
			t.Skip()
		}
		for range 20 {
			h := rapid.SampledFrom([]string{"a.org", "b.a.org", "c.b.a.org", "e.c.b.a.org", "d.org", "z.org"}).Draw(t, "host")
			p := path.Draw(t, "of") + rapid.SampledFrom([]string{"", "/x", "/y", "/k/1", "x"}).Draw(t, "more")
			p = strings.Replace(p, "//", "/", 1)
			var got string
			if m, rest, err := table.Find(h, p, p); err != nil {
				got = err.Error()
			} else {
				got = m.Pool + " " + rest
			}
			if want := referenceFind(routes, h, p); got != want {
				t.Fatalf("host %s, path %s: got %q, want %q", h, p, got, want)
			}
		}
	})
}

// FuzzFind guards against a panic, against a match for a path with dot segments, and against a host whose normalized form changes when it
// is parsed again.
func FuzzFind(f *testing.F) {
	for _, host := range []string{"a.org", "A.org.:80", "[::1]:80", "", "..", "[", "b.a.org"} {
		for _, path := range []string{"/x/y", "/x/../y", "/", "", "/x//", "/x/y/z?q"} {
			f.Add(host, path)
		}
	}
	table, problems := New([]Route{
		{Name: "a", Hosts: []string{"a.org"}, Path: "/x", Pool: "a", StripPath: true}, {Name: "b", Hosts: []string{"*.a.org"}, Path: "/", Pool: "b"},
		{Name: "c", Hosts: []string{"[::1]"}, Path: "/x/y", Pool: "c"},
	})
	if problems != nil {
		f.Fatal(problems)
	}
	f.Fuzz(func(t *testing.T, host, path string) {
		if !strings.HasPrefix(path, "/") {
			path = "/" + path
		}
		m, rest, err := table.Find(host, path, path)
		if err != nil {
			for _, known := range []error{ErrInvalidHost, ErrAmbiguousPath, ErrUnknownHost, ErrUnknownPath} {
				if errors.Is(err, known) {
					return
				}
			}
			t.Fatalf("unexpected error: %v", err)
		}
		if !strings.HasSuffix(path, rest) || hasDotSegments(path) {
			t.Fatalf("path %q matched with rest %q, want a suffix of a path without dot segments", path, rest)
		}
		if below := m.RewriteTarget(path); !strings.HasPrefix(below, "/") {
			t.Fatalf("request target %q was rewritten to %q, want a leading slash", path, below)
		}
		var a, b hostBuffer
		once, err := parseHost(host, &a)
		if err != nil {
			t.Fatalf("the invalid host %q matched a route: %v", host, err)
		}
		twice, err := parseHost(string(once), &b)
		if err != nil || string(once) != string(twice) {
			t.Fatalf("host %q is normalized to %q, and that to %q", host, once, twice)
		}
	})
}

// manyRoutes returns a table of n routes over n/2 hosts.
func manyRoutes(tb testing.TB, n int) *Table {
	var routes []Route
	for i := range n {
		host := fmt.Sprintf("service-%d.example.org", i/2)
		if i%10 == 9 {
			host = fmt.Sprintf("*.group-%d.example.org", i/2)
		}
		routes = append(routes, Route{Name: strconv.Itoa(i), Hosts: []string{host}, Path: []string{"/", "/v1/deep"}[i%2], Pool: strconv.Itoa(i)})
	}
	table, problems := New(routes)
	if problems != nil {
		tb.Fatal(problems)
	}
	return table
}

// TestFindAllocatesNothing guards against allocations in Find, which is called for every request.
func TestFindAllocatesNothing(t *testing.T) {
	table := manyRoutes(t, 1000)
	n := testing.AllocsPerRun(100, func() {
		if _, _, err := table.Find("Service-250.example.org:8080", "/v1/deep/order/7", "/v1/deep/order/7"); err != nil {
			t.Fatal(err)
		}
	})
	if n != 0 {
		t.Errorf("%v allocations per lookup", n)
	}
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		table := manyRoutes(b, n)
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _, _ = table.Find("service-0.example.org:8080", "/v1/deep/order/7", "/v1/deep/order/7")
			}
		})
		b.Run(fmt.Sprintf("routes=%d/pattern", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _, _ = table.Find("some.farm.group-4.example.org", "/order/7", "/order/7")
			}
		})
	}
}
