package config

import (
	"slices"

	"sorrelrudder/internal/route"
)

// readRoutes reads the routes. Without any, the only pool gets all requests.
func (f *File) readRoutes(r *reader, poolNames []string, pools []*section) {
	tables := f.root.tables("routes")
	lines := map[string]int{} // of routes, by name
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
		if line, had := lines[rt.Name]; had && rt.Name != "" {
			r.fail(t.nodeAt("name"), "is %q, as that of the route in line %d", rt.Name, line)
		}
		lines[rt.Name] = t.node.line
		if rt.Pool != "" {
			r.checkKnown(t.nodeAt("pool"), "pool", rt.Pool, poolNames)
		}
		routed[rt.Pool] = true
		f.Gateway.Routes = append(f.Gateway.Routes, rt)
	}
	if len(tables) == 0 && len(poolNames) > 1 {
		r.fail(f.root.nodeAt("routes"), "is missing: with several pools, routes say which requests are for which")
	}
	if len(tables) > 0 {
		for i, name := range poolNames {
			if !routed[name] {
				r.fail(pools[i].node, "no route leads to the pool %q", name)
			}
		}
	}
	_, errs := route.New(f.Gateway.Routes)
	for _, e := range errs {
		r.fail(tables[e.RouteIndex].nodeAt(e.Key), "%s", e.Text)
	}
}

// checkKnown checks that name is one of those that exist. kind says what it names.
func (r *reader) checkKnown(n *node, kind, name string, existing []string) {
	if slices.Contains(existing, name) {
		return
	}
	if near := nearest(name, existing); near != "" {
		r.fail(n, "there is no %s %q; did you mean %q?", kind, name, near)
		return
	}
	r.fail(n, "there is no %s %q", kind, name)
}
