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
	// readsClass and otherClass are the classes of a pool of ordinary HTTP services that configures none. Requests with a safe method
	// (RFC 9110) are in readsClass, all others in otherClass.
	readsClass = "reads"
	otherClass = "other"
	// keylessSuffix is appended to the name of a keyed class to name the class of its requests without a key.
	keylessSuffix = " without a key"
	// defaultDeadline is the deadline of readsClass and otherClass.
	defaultDeadline = 15 * time.Second
)

// safeMethods are methods that RFC 9110, section 9.2.1, defines as safe.
var safeMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// deadlineFields are the header fields that deadline_from may list as sources of the client's timeout.
var deadlineFields = []string{"X-Timeout-Ms", "X-Envoy-Expected-Rq-Timeout-Ms", "Grpc-Timeout"}

var forwardingModes = map[string]httpservice.Forwarding{
	"replace": httpservice.ForwardingReplace,
	"append":  httpservice.ForwardingAppend,
	"drop":    httpservice.ForwardingDrop,
}

// httpService reads the table http of a pool of ordinary HTTP services, which do not use the platform's protocol.
func (r *reader) httpService(pool *section, p *gateway.Pool) httpservice.Config {
	s := pool.table("http")
	cfg := httpservice.Config{
		Via:                 s.text("via", "sorrelrudder"),
		TimeoutFields:       s.texts("deadline_from"),
		Forwarding:          forwardingModes[s.choice("forwarded", "replace", "replace", "append", "drop")],
		FailureStatuses:     r.statuses(s, "failures", http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout),
		NotExecutedStatuses: r.statuses(s, "not_run"),
		ORCA:                s.choice("load", "none", "none", "orca") == "orca",
		HealthCheckPath:     s.text("check", ""),
	}
	for i, field := range cfg.TimeoutFields {
		cfg.TimeoutFields[i] = http.CanonicalHeaderKey(field)
		if !slices.Contains(deadlineFields, cfg.TimeoutFields[i]) {
			r.fail(s.nodeAt("deadline_from"), "unsupported header field %q; expected one of X-Timeout-Ms, X-Envoy-Expected-Rq-Timeout-Ms, grpc-timeout", field)
		}
	}
	if cfg.HealthCheckPath != "" && (!strings.HasPrefix(cfg.HealthCheckPath, "/") || strings.ContainsAny(cfg.HealthCheckPath, " #")) {
		r.fail(s.nodeAt("check"), "invalid path %q; expected a path such as /healthz, without a space or #", cfg.HealthCheckPath)
	}
	if strings.ContainsAny(cfg.Via, " ,;()\"\\") {
		r.fail(s.nodeAt("via"), "invalid name %q; expected a single word without any of , ; ( ) \" \\", cfg.Via)
	}
	s.finish()
	c := &p.Settings.Config
	c.HealthChecksAllowed = c.HealthChecksAllowed && cfg.HealthCheckPath != ""
	c.InlineLoadReports = cfg.ORCA
	return cfg
}

// statuses reads an array of HTTP status codes from 400 to 599.
func (r *reader) statuses(s *section, key string, defaults ...int) []int {
	n := s.get(key)
	if n == nil {
		s.record(key, statusArray(defaults), true)
		return defaults
	}
	if n.kind != isArray {
		r.fail(n, "got %s, expected an array of HTTP status codes", n.kind)
		return nil
	}
	var statuses []int
	for _, item := range n.items {
		status, err := strconv.Atoi(item.text)
		if item.kind != isInteger || err != nil || status < 400 || status > 599 {
			r.fail(item, "expected an HTTP status code from 400 to 599")
			continue
		}
		statuses = append(statuses, status)
	}
	s.record(key, statusArray(statuses), false)
	return statuses
}

// statusArray returns statuses as a TOML array.
func statusArray(statuses []int) string {
	texts := make([]string, len(statuses))
	for i, status := range statuses {
		texts[i] = strconv.Itoa(status)
	}
	return "[" + strings.Join(texts, ", ") + "]"
}

// httpServiceClasses reads the classes of a pool of ordinary HTTP services, and creates the pool's dialect. The last class, otherClass,
// matches all requests that no other class matches. It is not idempotent.
func (r *reader) httpServiceClasses(s *section, p *gateway.Pool, cfg httpservice.Config, tables []*section) {
	b := httpClassBuilder{dialect: cfg, names: map[string]bool{}}
	for _, t := range tables {
		r.httpServiceClass(t, &b)
	}
	defaults := policy.Class{LatencyObjective: 300 * time.Millisecond, Deadline: defaultDeadline, PriorityWeight: 1, LateWeightFraction: 0.3}
	if len(tables) == 0 {
		reads := defaults
		reads.Name = readsClass
		b.add(httpservice.Class{Rule: safeMethodsRule()}, reads)
	}
	other := defaults
	other.Name, other.Idempotency = otherClass, policy.NonIdempotent
	if b.names[otherClass] {
		r.fail(s.nodeAt("classes"), "class name %q is reserved for the requests that match no other class", otherClass)
	} else {
		b.add(httpservice.Class{}, other)
		p.Dialect = httpservice.New(b.dialect)
	}
	p.Settings.Config.Classes = b.classes
}

// httpClassBuilder collects the classes of a pool of ordinary HTTP services, for the dialect and for the decision module.
type httpClassBuilder struct {
	dialect httpservice.Config
	classes []policy.Class
	names   map[string]bool
}

// add adds a class. For a class with idempotency keys, it also adds the class of the requests without a key, which are not idempotent.
func (b *httpClassBuilder) add(class httpservice.Class, attributes policy.Class) {
	if attributes.Idempotency == policy.IdempotentByKey {
		keyless := attributes
		keyless.Name, keyless.Idempotency = attributes.Name+keylessSuffix, policy.NonIdempotent
		class.KeylessClass = keyless.Name
		b.classes = append(b.classes, keyless)
	}
	class.Rule.Class, class.Idempotency, class.Deadline = attributes.Name, attributes.Idempotency, attributes.Deadline
	b.dialect.Classes = append(b.dialect.Classes, class)
	b.classes = append(b.classes, attributes)
	b.names[attributes.Name] = true
}

// httpServiceClass reads the table of one class. Its effect is safe by default if it has patterns and all of them are for safe methods;
// otherwise it is unsafe by default.
func (r *reader) httpServiceClass(s *section, b *httpClassBuilder) {
	attributes := policy.Class{Name: s.requiredText("name")}
	if b.names[attributes.Name] {
		r.fail(s.nodeAt("name"), "duplicate class %q", attributes.Name)
	}
	var class httpservice.Class
	safe := true
	for _, text := range s.texts("match") {
		pattern, err := classify.ParsePattern(text)
		if err != nil {
			r.fail(s.nodeAt("match"), "%q: %v", text, err)
			continue
		}
		safe = safe && slices.Contains(safeMethods, pattern.Method)
		class.Rule.Patterns = append(class.Rule.Patterns, pattern)
	}
	for _, field := range s.texts("headers") {
		class.Rule.Headers = append(class.Rule.Headers, http.CanonicalHeaderKey(field))
	}
	if len(class.Rule.Patterns)+len(class.Rule.Headers) == 0 && s.get("match") == nil {
		r.fail(s.nodeAt("match"), "required key is missing: a class needs match or headers to select its requests")
	}
	class.Tenant = r.valueSource(s, "tenant_from")
	class.Key = r.valueSource(s, "key_from")
	effect := effectUnsafe
	if safe && len(class.Rule.Patterns) > 0 {
		effect = effectSafe
	}
	r.classAttributes(s, &attributes, effect)
	s.finish()
	b.add(class, attributes)
}

// safeMethodsRule returns a rule that matches all requests with a safe method.
func safeMethodsRule() classify.Rule {
	var rule classify.Rule
	for _, method := range safeMethods {
		pattern, err := classify.ParsePattern(method + " /")
		if err != nil {
			panic(err) // unreachable: safeMethods are valid methods
		}
		rule.Patterns = append(rule.Patterns, pattern)
	}
	return rule
}

// valueSource reads the source of a value in a request: "header:NAME" or "path:NAME".
func (r *reader) valueSource(s *section, key string) httpservice.ValueSource {
	text := s.text(key, "")
	if text == "" {
		return httpservice.ValueSource{}
	}
	if field, ok := strings.CutPrefix(text, "header:"); ok && field != "" {
		return httpservice.ValueSource{Header: http.CanonicalHeaderKey(field)}
	}
	if name, ok := strings.CutPrefix(text, "path:"); ok && name != "" {
		return httpservice.ValueSource{PathWildcard: name}
	}
	r.fail(s.nodeAt(key), "invalid source %q; expected header:NAME or path:NAME", text)
	return httpservice.ValueSource{}
}
