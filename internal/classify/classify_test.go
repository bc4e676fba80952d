package classify

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "sorrelrudder/internal/fixedseed"
)

func noHeaders(string) bool { return false }

func rule(t interface{ Fatal(...any) }, class string, patterns ...string) Rule {
	r := Rule{Class: class}
	for _, text := range patterns {
		p, err := ParsePattern(text)
		if err != nil {
			t.Fatal(text, err)
		}
		r.Patterns = append(r.Patterns, p)
	}
	return r
}

// TestFind guards against a wrong class or wildcard value, and against matching an ambiguous path with a pattern that names a path.
func TestFind(t *testing.T) {
	rules := []Rule{
		rule(t, "item", "GET /items/{id}", "GET items.example.org/{id}"),
		rule(t, "shop", "/shops/{shop}/orders/"),
		{Class: "urgent", Headers: []string{"X-Urgent"}},
		rule(t, "root", "GET /{$}"),
		rule(t, "put", "PUT /"),
	}
	for _, c := range []struct{ method, host, path, class, value string }{
		{"GET", "h", "/items/7", "item", "7"},
		{"HEAD", "h", "/items/7", "item", "7"},
		{"GET", "h", "/items/a%20b", "item", "a b"},
		{"POST", "h", "/items/7", "", ""},
		{"GET", "h", "/items/", "", ""},
		{"GET", "h", "/items/7/8", "", ""},
		{"GET", "Items.Example.org:8080", "/9", "item", "9"},
		{"POST", "h", "/shops/3/orders/8", "shop", ""},
		{"POST", "h", "/shops/3/orders", "", ""},
		{"GET", "h", "/", "root", ""},
		{"GET", "h", "/items/..", "", ""},
		{"GET", "h", "/x/../items/7", "", ""},
		{"GET", "h", "/items/%2e%2e", "", ""},
		{"GET", "h", "/items/a%2fb", "", ""},
		{"GET", "h", "/items/%zz", "", ""},
		{"GET", "h", "//items/7", "", ""},
		{"PUT", "h", "/a/../b", "put", ""},
		{"GET", "h", "items/7", "", ""},
	} {
		m, ok := Find(rules, Request{Method: c.method, Host: c.host, Path: c.path, HasHeader: noHeaders})
		class := ""
		if ok {
			class = rules[m.RuleIndex].Class
		}
		if class != c.class || m.Value("id") != c.value {
			t.Errorf("%s %s%s: got class %q, id %q, want class %q, id %q", c.method, c.host, c.path, class, m.Value("id"), c.class, c.value)
		}
	}
	m, ok := Find(rules, Request{Method: "POST", Path: "/x", HasHeader: func(f string) bool { return f == "X-Urgent" }})
	if !ok || rules[m.RuleIndex].Class != "urgent" {
		t.Errorf("request with X-Urgent: got match %v, %v, want class urgent", m, ok)
	}
}

// TestParsePattern guards against accepting an invalid pattern.
func TestParsePattern(t *testing.T) {
	for _, text := range []string{"", "GET", "items", "get /a", "GET /a/../b", "/a//b", "/{a}/{a}", "/{a...}/b", "/{1a}", "/a{b}", "*.h/a", "/a%20b", "/a?b=c",
		"/" + strings.Repeat("a/", MaxSegments+1)} {
		if p, err := ParsePattern(text); err == nil {
			t.Errorf("pattern %q: got %+v, want an error", text, p)
		}
	}
}

// TestAsServeMux checks that a pattern matches the same requests as in net/http.ServeMux, for unambiguous paths.
func TestAsServeMux(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "{x}", "items"})
		text := ""
		used := false
		for range rapid.IntRange(0, 3).Draw(t, "segments") {
			s := segment.Draw(t, "segment")
			if s == "{x}" && used {
				s = "c"
			}
			used = used || s == "{x}"
			text += "/" + s
		}
		text += rapid.SampledFrom([]string{"", "/", "/{$}", "/{rest...}"}).Draw(t, "end")
		if text == "" {
			text = "/"
		}
		if method := rapid.SampledFrom([]string{"", "GET", "POST"}).Draw(t, "method"); method != "" {
			text = method + " " + text
		}
		path := ""
		for range rapid.IntRange(0, 4).Draw(t, "path") {
			path += "/" + rapid.SampledFrom([]string{"a", "b", "c", "items"}).Draw(t, "part")
		}
		if path == "" || rapid.Bool().Draw(t, "slash") {
			path += "/"
		}
		method := rapid.SampledFrom([]string{"GET", "HEAD", "POST"}).Draw(t, "asked")
		want := false
		mux := http.NewServeMux()
		mux.HandleFunc(text, func(http.ResponseWriter, *http.Request) { want = true })
		q := httptest.NewRequest(method, path, nil)
		mux.ServeHTTP(httptest.NewRecorder(), q) // redirects from /a to /a/, so the handler does not run
		rules := []Rule{rule(t, "c", text)}
		m, got := Find(rules, Request{Method: method, Host: q.Host, Path: path, HasHeader: noHeaders})
		if got != want {
			t.Fatalf("pattern %q, request %s %s: got match %v, want %v", text, method, path, got, want)
		}
		if got && used && m.Value("x") == "" {
			t.Fatalf("pattern %q, path %s: the match has no value for {x}", text, path)
		}
	})
}

// FuzzFind guards against a panic, and against matching a segment that servers could interpret in different ways.
func FuzzFind(f *testing.F) {
	for _, s := range []string{"/items/7", "/items/%2e%2e", "/items/%", "/items/..%2f", "/items/a\\b", "items", "//", "/items/%00"} {
		f.Add(s)
	}
	rules := []Rule{rule(f, "item", "GET /items/{id}")}
	f.Fuzz(func(t *testing.T, path string) {
		m, ok := Find(rules, Request{Method: "GET", Path: path, HasHeader: noHeaders})
		if !ok {
			return
		}
		if v := m.Value("id"); v == "" || v == "." || v == ".." || strings.ContainsAny(v, "/\\\x00") || !strings.HasPrefix(path, "/") {
			t.Fatalf("path %q matched with id %q, want no match", path, v)
		}
	})
}
