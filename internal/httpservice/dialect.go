// Package httpservice implements the dialect of pools of ordinary HTTP services, which do not use the platform's protocol. It derives the
// attributes of a request from its method, path and header, builds the header that is forwarded to an endpoint, and classifies responses.
// It does not pick endpoints or schedule attempts.
//
// Any status proves that the endpoint has received the request. A request may therefore have been executed even after a 503, unless the
// operator has configured the status as one for requests that were not executed. A method that is idempotent by RFC 9110 is not considered
// safe to repeat either: a PUT that may have been executed must not be repeated after another request for the same resource.
package httpservice

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"sorrelrudder/internal/classify"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

// ValueSource is the place in a request from which a value is taken. At most one field is set. If none is set there is no value.
type ValueSource struct {
	Header       string // name of a header field
	PathWildcard string // name of a {name} wildcard in the pattern that matches the path
}

// value returns the value of a request, given its match and its header. It returns "" if there is none.
func (s ValueSource) value(m classify.Match, header http.Header) string {
	switch {
	case s.PathWildcard != "":
		return m.Value(s.PathWildcard)
	case s.Header != "":
		return header.Get(s.Header)
	}
	return ""
}

// Class is a class of a pool's requests, and the rule that matches them.
type Class struct {
	Rule        classify.Rule
	Idempotency policy.Idempotency
	// KeylessClass is the name of the class of requests without an idempotency key. It is used only if Idempotency is
	// policy.IdempotentByKey.
	KeylessClass string
	Deadline     time.Duration // used if no trusted header field has the client's timeout
	Tenant       ValueSource
	Key          ValueSource // affinity key for the decision module
}

// attributesOf returns the class name and the idempotency of a request of the class. A request of a class that is idempotent by key is not
// idempotent if it has no key.
func (c *Class) attributesOf(header http.Header) (name string, idempotency policy.Idempotency) {
	if c.Idempotency == policy.IdempotentByKey && header.Get("Idempotency-Key") == "" {
		return c.KeylessClass, policy.NonIdempotent
	}
	return c.Rule.Class, c.Idempotency
}

// Config describes the services of a pool.
type Config struct {
	Classes             []Class  // in the order in which they are tried; the last matches every request
	TimeoutFields       []string // header fields that are trusted for the client's timeout, see clientTimeout
	Forwarding          Forwarding
	FailureStatuses     []int  // statuses that count as failures; the request is retried if that is safe
	NotExecutedStatuses []int  // statuses that prove that the endpoint has not executed the request; they are failures too
	ORCA                bool   // read ORCA load reports from responses
	HealthCheckPath     string // "": no health checks
	Via                 string // name of this process in Via fields
}

// Dialect implements pool.EndToEndProtocol. It is safe for concurrent use.
type Dialect struct {
	cfg   Config
	rules []classify.Rule // rules of cfg.Classes
}

// Package pool detects an EndToEndProtocol by a type assertion at run time. This declaration checks the interface at compile time.
var _ pool.EndToEndProtocol = (*Dialect)(nil)

// New returns the dialect of a pool with configuration cfg.
func New(cfg Config) *Dialect {
	d := &Dialect{cfg: cfg}
	for _, c := range cfg.Classes {
		d.rules = append(d.rules, c.Rule)
	}
	return d
}

// FindClass returns the index of the class of a request in Config.Classes, and the match of its pattern.
func (d *Dialect) FindClass(method, host, path string, header http.Header) (int, classify.Match) {
	hasHeader := func(name string) bool { return header.Get(name) != "" }
	m, ok := classify.Find(d.rules, classify.Request{Method: method, Host: host, Path: path, HasHeader: hasHeader})
	if !ok {
		return len(d.cfg.Classes) - 1, m
	}
	return m.RuleIndex, m
}

// ClassName returns the name of the class that the decision module uses for a request.
func (d *Dialect) ClassName(method, host, path string, header http.Header) string {
	i, _ := d.FindClass(method, host, path, header)
	name, _ := d.cfg.Classes[i].attributesOf(header)
	return name
}

// ParseRequest implements pool.EndToEndProtocol. It changes the header of q to the one that is forwarded. The error is an
// httpmsg.RejectionError.
func (d *Dialect) ParseRequest(q *httpmsg.Request, _ string) (pool.RequestAttributes, error) {
	if err := checkForwardable(q); err != nil {
		return pool.RequestAttributes{}, err
	}
	path, _, _ := strings.Cut(q.URI, "?")
	i, m := d.FindClass(q.Method, q.Host, path, q.Header)
	c := &d.cfg.Classes[i]
	attributes := pool.RequestAttributes{Timeout: c.Deadline, ID: uuid.Must(uuid.NewV7()).String()}
	name, idempotency := c.attributesOf(q.Header)
	attributes.Idempotent = idempotency == policy.Idempotent
	attributes.PolicyRequest.Class = name
	attributes.PolicyRequest.Tenant = c.Tenant.value(m, q.Header)
	attributes.PolicyRequest.Key = c.Key.value(m, q.Header)
	if timeout, ok := d.clientTimeout(q.Header); ok {
		attributes.Timeout = timeout
	}
	d.addForwardingFields(q, attributes.ID)
	return attributes, nil
}

// checkForwardable rejects requests that cannot be forwarded as one request with one response: CONNECT, TRACE and upgrades.
func checkForwardable(q *httpmsg.Request) error {
	reject := func(text string) error {
		return httpmsg.RejectionError{Status: http.StatusNotImplemented, Text: text}
	}
	switch {
	case q.Method == http.MethodConnect || q.Method == http.MethodTrace:
		return reject(q.Method + " is not passed on")
	case q.Header.Get("Upgrade") != "" && hasToken(q.Header, "Connection", "upgrade"):
		return reject("an upgrade to " + strconv.Quote(q.Header.Get("Upgrade")) + " is not passed on")
	}
	return nil
}

// hasToken reports whether a list header field contains a token, which is compared case-insensitively.
func hasToken(header http.Header, field, token string) bool {
	for _, value := range header.Values(field) {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// ExtraFields implements pool.BackendProtocol. If the request has a traceparent, each attempt gets one with a span ID of its own.
func (d *Dialect) ExtraFields(_ *policy.Request, header http.Header, _ time.Duration) []upstream.Field {
	parent := header.Get(traceparentField)
	if !isTraceparent(parent) {
		return nil
	}
	return []upstream.Field{{Name: traceparentField, Value: childSpan(parent)}}
}

// ClassifyResponse implements pool.BackendProtocol.
func (d *Dialect) ClassifyResponse(status int, header http.Header) (policy.Status, *policy.LoadReport) {
	var load *policy.LoadReport
	if d.cfg.ORCA {
		load = parseORCA(header)
	}
	switch {
	case slices.Contains(d.cfg.NotExecutedStatuses, status):
		return policy.StatusOverloaded, load
	case slices.Contains(d.cfg.FailureStatuses, status):
		return policy.StatusApplicationError, load
	}
	return policy.StatusOK, load
}

// HealthCheckTarget implements pool.BackendProtocol.
func (d *Dialect) HealthCheckTarget() string { return d.cfg.HealthCheckPath }

// RewriteResponseHeader implements pool.EndToEndProtocol.
func (d *Dialect) RewriteResponseHeader(header http.Header) { header.Add("Via", d.viaValue()) }
