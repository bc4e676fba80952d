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

// routeCmd says which route and class take a request.
type routeCmd struct {
	File   string   `arg:"" help:"The operator's file."`
	Method string   `arg:"" help:"The request's method."`
	URL    string   `arg:"" help:"Its URL, such as http://shop.example.org/items/7."`
	Header []string `short:"H" help:"A field that it has, as 'Name: value'; may be given several times."`
}

// Run tells which route and which class take a request, without a process that serves.
func (c *routeCmd) Run(s *streams) error {
	f, err := config.Load(c.File)
	if err != nil {
		return err
	}
	u, err := url.Parse(c.URL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("%q is no URL such as http://shop.example.org/items/7", c.URL)
	}
	h := http.Header{}
	for _, text := range c.Header {
		name, value, ok := strings.Cut(text, ":")
		if !ok || strings.TrimSpace(name) == "" {
			return fmt.Errorf("%q is no field such as 'Name: value'", text)
		}
		h.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	pool, rest, through, uri := f.Gateway.Pools[0], u.Path, "", u.RequestURI()
	if len(f.Gateway.Routes) > 0 {
		table, problems := route.New(f.Gateway.Routes)
		if len(problems) > 0 {
			return problems[0]
		}
		m, below, err := table.Find(u.Host, u.Path, uri)
		if err != nil {
			fmt.Fprintf(s.out, "no route takes it: %v\n", err)
			return errScenario
		}
		through, rest, uri = f.Gateway.Routes[m.RouteIndex].Name, below, m.RewriteTarget(uri)
		for _, p := range f.Gateway.Pools {
			if p.Name == m.Pool {
				pool = p
			}
		}
	}
	if through != "" {
		fmt.Fprintf(s.out, "route   %s\n", through)
	}
	fmt.Fprintf(s.out, "pool    %s\n", pool.Name)
	class := classOf(&pool, strings.ToUpper(c.Method), u.Host, rest, uri, h)
	for _, k := range pool.Settings.Config.Classes {
		if k.Name == class {
			fmt.Fprintf(s.out, "class   %s\neffect  %s\naim     %v\nwaits   %v at most\n", k.Name, [...]string{"safe", "keyed", "unsafe"}[k.Idempotency], k.LatencyObjective, k.Deadline)
			return nil
		}
	}
	fmt.Fprintf(s.out, "no class of the pool takes it: %q\n", class)
	return errScenario
}

// classOf is the class that a pool takes a request for.
func classOf(p *gateway.Pool, method, host, rest, uri string, h http.Header) string {
	d, ok := p.Dialect.(*httpservice.Dialect)
	if !ok {
		class, _, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
		return class
	}
	path, _, _ := strings.Cut(uri, "?")
	return d.ClassName(method, host, path, h)
}
