package config

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"sorrelrudder/internal/classify"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/httpservice"
	"sorrelrudder/policy"
)

const (
	// readsClass and otherClass are the classes of a plain pool without any: what RFC 9110 calls safe, and the rest.
	readsClass = "reads"
	otherClass = "other"
	// keylessSuffix is added to the name of a keyed class for its requests without a key.
	keylessSuffix = " without a key"
)

// safeMethods are those that RFC 9110, 9.2.1, calls safe.
var safeMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

var forwardingModes = map[string]httpservice.Forwarding{"replace": httpservice.Replace, "append": httpservice.Append, "drop": httpservice.Drop}

// httpService reads what a pool of ordinary HTTP services has in place of the platform's protocol.
func (r *reader) httpService(s *section, p *gateway.Pool) httpservice.Config {
	t := s.table("http")
	cfg := httpservice.Config{
		Via: t.text("via", "sorrelrudder"), Deadlines: t.texts("deadline_from"),
		Forwarding: forwardingModes[t.choice("forwarded", "replace", "replace", "append", "drop")],
		Failures:   r.statuses(t, "failures", http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout),
		NotRun:     r.statuses(t, "not_run"),
		ORCA:       t.choice("load", "none", "none", "orca") == "orca",
		Check:      t.text("check", ""),
	}
	for i, field := range cfg.Deadlines {
		cfg.Deadlines[i] = http.CanonicalHeaderKey(field)
		if !slices.Contains([]string{"X-Timeout-Ms", "X-Envoy-Expected-Rq-Timeout-Ms", "Grpc-Timeout"}, cfg.Deadlines[i]) {
			r.fail(t.nodeAt("deadline_from"), "has %q, not one of X-Timeout-Ms, X-Envoy-Expected-Rq-Timeout-Ms, grpc-timeout", field)
		}
	}
	if cfg.Check != "" && (!strings.HasPrefix(cfg.Check, "/") || strings.ContainsAny(cfg.Check, " #")) {
		r.fail(t.nodeAt("check"), "is %q, not a path such as /healthz", cfg.Check)
	}
	if strings.ContainsAny(cfg.Via, " ,;()\"\\") {
		r.fail(t.nodeAt("via"), "is %q, not a name of one word", cfg.Via)
	}
	t.finish()
	c := &p.Settings.Config
	c.HealthChecksAllowed = c.HealthChecksAllowed && cfg.Check != ""
	c.InlineLoadReports = cfg.ORCA
	return cfg
}

// statuses reads an array of HTTP statuses.
func (r *reader) statuses(s *section, key string, deflt ...int) []int {
	n := s.get(key)
	if n == nil {
		s.record(key, statusText(deflt), true)
		return deflt
	}
	if n.kind != isArray {
		r.fail(n, "is %s, not an array of statuses", n.kind)
		return nil
	}
	var all []int
	for _, item := range n.items {
		v, err := strconv.Atoi(item.text)
		if item.kind != isInteger || err != nil || v < 400 || v > 599 {
			r.fail(item, "is no status from 400 to 599")
			continue
		}
		all = append(all, v)
	}
	s.record(key, statusText(all), false)
	return all
}

func statusText(all []int) string {
	texts := make([]string, len(all))
	for i, v := range all {
		texts[i] = strconv.Itoa(v)
	}
	return "[" + strings.Join(texts, ", ") + "]"
}

// httpServiceClasses reads the classes of such a pool, and makes its dialect. The last, which takes all that no other does, is unsafe.
func (r *reader) httpServiceClasses(s *section, p *gateway.Pool, cfg httpservice.Config, tables []*section) {
	c := &p.Settings.Config
	names := map[string]bool{}
	add := func(pc httpservice.Class, m policy.Class) {
		if m.Idempotency == policy.IdempotentByKey {
			bare := m
			bare.Name, bare.Idempotency = m.Name+keylessSuffix, policy.NonIdempotent
			pc.Bare = bare.Name
			c.Classes = append(c.Classes, bare)
		}
		pc.Rule.Class, pc.Effect, pc.Deadline = m.Name, m.Idempotency, m.Deadline
		cfg.Classes = append(cfg.Classes, pc)
		c.Classes = append(c.Classes, m)
		names[m.Name] = true
	}
	for _, t := range tables {
		m := policy.Class{Name: t.requiredText("name")}
		if names[m.Name] {
			r.fail(t.nodeAt("name"), "class %q is there twice", m.Name)
		}
		var pc httpservice.Class
		safe := true
		for _, text := range t.texts("match") {
			pattern, err := classify.ParsePattern(text)
			if err != nil {
				r.fail(t.nodeAt("match"), "%q: %v", text, err)
				continue
			}
			safe = safe && slices.Contains(safeMethods, pattern.Method)
			pc.Rule.Patterns = append(pc.Rule.Patterns, pattern)
		}
		for _, field := range t.texts("headers") {
			pc.Rule.Fields = append(pc.Rule.Fields, http.CanonicalHeaderKey(field))
		}
		if len(pc.Rule.Patterns)+len(pc.Rule.Fields) == 0 && t.get("match") == nil {
			r.fail(t.nodeAt("match"), "is missing: which requests are of the class")
		}
		pc.Tenant, pc.Key = r.valueSource(t, "tenant_from"), r.valueSource(t, "key_from")
		effect := "unsafe"
		if safe && len(pc.Rule.Patterns) > 0 {
			effect = "safe"
		}
		r.classAttributes(t, &m, effect)
		t.finish()
		add(pc, m)
	}
	usual := policy.Class{LatencyObjective: 300 * time.Millisecond, Deadline: 15 * time.Second, PriorityWeight: 1, LateWeightFraction: 0.3}
	if len(tables) == 0 {
		reads := usual
		reads.Name = readsClass
		var rule classify.Rule
		for _, method := range safeMethods {
			pattern, err := classify.ParsePattern(method + " /")
			if err != nil {
				panic(err) // it is written above
			}
			rule.Patterns = append(rule.Patterns, pattern)
		}
		add(httpservice.Class{Rule: rule}, reads)
	}
	other := usual
	other.Name, other.Idempotency = otherClass, policy.NonIdempotent
	if names[otherClass] {
		r.fail(s.nodeAt("classes"), "a class is named %q, which is that of all other requests", otherClass)
		return
	}
	add(httpservice.Class{}, other)
	p.Dialect = httpservice.New(cfg)
}

// valueSource reads where a value is taken from: "header:NAME" or "path:NAME".
func (r *reader) valueSource(s *section, key string) httpservice.Source {
	text := s.text(key, "")
	if text == "" {
		return httpservice.Source{}
	}
	if field, ok := strings.CutPrefix(text, "header:"); ok && field != "" {
		return httpservice.Source{Field: http.CanonicalHeaderKey(field)}
	}
	if name, ok := strings.CutPrefix(text, "path:"); ok && name != "" {
		return httpservice.Source{Name: name}
	}
	r.fail(s.nodeAt(key), "is %q, not header:NAME or path:NAME", text)
	return httpservice.Source{}
}
