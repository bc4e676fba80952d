package config

import (
	"slices"

	"sorrelrudder/internal/route"
)

// readRoutes reads the routes. They are optional if there is a single pool, which then gets all requests.
func (f *File) readRoutes(r *reader, poolNames []string, pools []*section) {
	tables := f.root.tables("routes")
	lines := map[string]int{} // lines of routes by name
	routed := map[string]bool{}
	for _, t := range tables {
		rt := route.Route{
			Name:      t.requiredText("name"),
			Hosts:     t.texts("hosts"),
			Path:      t.text("path", "/"),
			Classes:   t.texts("classes"),
			Pool:      t.requiredText("pool"),
			StripPath: t.boolean("strip_path", false),
		}
		t.finish()
		if line, exists := lines[rt.Name]; exists && rt.Name != "" {
			r.fail(t.nodeAt("name"), "%q is already the name of the route in line %d", rt.Name, line)
		}
		lines[rt.Name] = t.node.line
		if rt.Pool != "" {
			r.checkKnown(t.nodeAt("pool"), "pool", rt.Pool, poolNames)
		}
		routed[rt.Pool] = true
		f.Gateway.Routes = append(f.Gateway.Routes, rt)
	}
	if len(tables) == 0 && len(poolNames) > 1 {
		r.fail(f.root.nodeAt("routes"), "at least one route is required: with several pools, routes select the pool of a request")
	}
	if len(tables) > 0 {
		for i, name := range poolNames {
			if !routed[name] {
				r.fail(pools[i].node, "no route sends requests to pool %q", name)
			}
		}
	}
	_, errs := route.New(f.Gateway.Routes)
	for _, e := range errs {
		r.fail(tables[e.RouteIndex].nodeAt(e.Key), "%s", e.Text)
	}
}

// checkKnown reports an error at n if name is not one of the existing names. kind is the type of the named object, for the error.
func (r *reader) checkKnown(n *node, kind, name string, existing []string) {
	if slices.Contains(existing, name) {
		return
	}
	if suggestion := nearest(name, existing); suggestion != "" {
		r.fail(n, "unknown %s %q; did you mean %q?", kind, name, suggestion)
		return
	}
	r.fail(n, "unknown %s %q", kind, name)
}
