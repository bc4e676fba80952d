package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"sorrelrudder/internal/config"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/httpservice"
	"sorrelrudder/internal/route"
)

// routeCmd prints the route, the pool and the class that a file selects for a request.
type routeCmd struct {
	File   string   `arg:"" help:"Read the configuration from this file."`
	Method string   `arg:"" help:"Match a request with this HTTP method."`
	URL    string   `arg:"" help:"Match a request for this URL, such as http://shop.example.org/items/7."`
	Header []string `short:"H" help:"Add this header field, as 'Name: value', to the request. Repeat the flag for several fields."`
}

// Run implements the command. It needs no running gateway. The error is errScenario if no route or no class matches.
func (c *routeCmd) Run(s *streams) error {
	f, err := config.Load(c.File)
	if err != nil {
		return err
	}
	u, err := url.Parse(c.URL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("invalid URL %q: expected one such as http://shop.example.org/items/7", c.URL)
	}
	h := http.Header{}
	for _, field := range c.Header {
		name, value, ok := strings.Cut(field, ":")
		if !ok || strings.TrimSpace(name) == "" {
			return fmt.Errorf("invalid header field %q: expected 'Name: value'", field)
		}
		h.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	pool, rest, routeName, uri := f.Gateway.Pools[0], u.Path, "", u.RequestURI()
	if len(f.Gateway.Routes) > 0 {
		table, problems := route.New(f.Gateway.Routes)
		if len(problems) > 0 {
			return problems[0]
		}
		m, remainder, err := table.Find(u.Host, u.Path, uri)
		if err != nil {
			fmt.Fprintf(s.out, "no route matches: %v\n", err)
			return errScenario
		}
		routeName, rest, uri = f.Gateway.Routes[m.RouteIndex].Name, remainder, m.RewriteTarget(uri)
		for _, p := range f.Gateway.Pools {
			if p.Name == m.Pool {
				pool = p
			}
		}
	}
	if routeName != "" {
		fmt.Fprintf(s.out, "route     %s\n", routeName)
	}
	fmt.Fprintf(s.out, "pool      %s\n", pool.Name)
	class := classOf(&pool, strings.ToUpper(c.Method), u.Host, rest, uri, h)
	for _, k := range pool.Settings.Config.Classes {
		if k.Name == class {
			fmt.Fprintf(s.out, "class     %s\neffect    %s\naim       %v\ndeadline  %v\n", k.Name, [...]string{"safe", "keyed", "unsafe"}[k.Idempotency], k.LatencyObjective, k.Deadline)
			return nil
		}
	}
	fmt.Fprintf(s.out, "the pool has no class %q; 'check --print' lists the classes of each pool\n", class)
	return errScenario
}

// classOf returns the name of the class that a pool assigns to a request.
func classOf(p *gateway.Pool, method, host, rest, uri string, h http.Header) string {
	d, ok := p.Dialect.(*httpservice.Dialect)
	if !ok {
		class, _, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
		return class
	}
	path, _, _ := strings.Cut(uri, "?")
	return d.ClassName(method, host, path, h)
}
