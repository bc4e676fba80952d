// Package httpservice is how a pool speaks with ordinary HTTP services, which know nothing of the platform's protocol: what a request
// says of itself by its method, path and fields, what goes on to a server, and what a server's answer proves. It decides
// nothing about servers or attempts: that is the module's, by what this package can tell it truly.
//
// What plain HTTP tells, and what not: a status proves that the server has had the request, whatever it is; so a 503 may have
// run, unless the operator says that this service answers it only to what it has not begun. Idempotent is not harmless: a PUT that
// may have run is sent again only if nothing could have come between, which nobody here knows.
package httpservice

import (
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
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

// ValueSource is where a value is taken from: a field, a {name} of the pattern, or neither.
type ValueSource struct{ Header, PathName string }

// Class is one of the pool's classes and how its requests are known.
type Class struct {
	Rule        classify.Rule
	Idempotency policy.Idempotency
	// KeylessClass is the class of requests of a keyed one that have no key: nobody could tell a repeat of them.
	KeylessClass string
	Deadline     time.Duration // where the client names none that is trusted
	Tenant       ValueSource
	Key          ValueSource // what the request is about, for servers that do less work for a key they met lately
}

// Forwarding is what becomes of the fields that tell where a request came from.
type Forwarding int

// The ways.
const (
	ForwardingReplace Forwarding = iota // what a client says of it is dropped, and what is seen here set
	ForwardingAppend                    // what is seen here is added to what a trusted proxy said
	ForwardingDrop                      // nothing is told
)

// Config is what the operator says of a pool's services.
type Config struct {
	Classes             []Class  // in the order in which they are tried; the last takes all
	TimeoutFields       []string // fields that are trusted with the client's patience: see patience
	Forwarding          Forwarding
	FailureStatuses     []int // statuses that are tried again where that is harmless
	NotExecutedStatuses []int // statuses by which a server proves that it has not begun; they are failures too
	ORCA                bool  // answers carry endpoint-load-metrics
	HealthCheckPath     string
	Via                 string // by which name this process is known
}

// Dialect is a pool.EndToEndProtocol.
type Dialect struct {
	cfg   Config
	rules []classify.Rule // of the classes
}

// A pool finds out by a type assertion at run time that its protocol is an EndToEndProtocol.
var _ pool.EndToEndProtocol = (*Dialect)(nil)

// New returns the dialect of a pool.
func New(cfg Config) *Dialect {
	d := &Dialect{cfg: cfg}
	for _, c := range cfg.Classes {
		d.rules = append(d.rules, c.Rule)
	}
	return d
}

// maxTimeout bounds what a client may ask for.
const maxTimeout = time.Hour

// FindClass is the class of a request, by its place, and what its pattern's names stand for.
func (d *Dialect) FindClass(method, host, path string, h http.Header) (int, classify.Match) {
	m, ok := classify.Find(d.rules, classify.Request{Method: method, Host: host, Path: path, HasHeader: func(f string) bool { return h.Get(f) != "" }})
	if !ok {
		return len(d.cfg.Classes) - 1, m
	}
	return m.RuleIndex, m
}

// ClassName is the name of the class that the module is told of a request.
func (d *Dialect) ClassName(method, host, path string, h http.Header) string {
	i, _ := d.FindClass(method, host, path, h)
	name, _ := d.cfg.Classes[i].attributesOf(h)
	return name
}

// attributesOf is the class as the module knows it, and what repeating may do: a keyed one without a key has none that would drop repeats.
func (c *Class) attributesOf(h http.Header) (name string, e policy.Idempotency) {
	if c.Idempotency == policy.IdempotentByKey && h.Get("Idempotency-Key") == "" {
		return c.KeylessClass, policy.NonIdempotent
	}
	return c.Rule.Class, c.Idempotency
}

// ParseRequest is the method of pool.EndToEndProtocol. It also makes the head of q what goes on to servers.
func (d *Dialect) ParseRequest(q *httpmsg.Request, _ string) (pool.RequestAttributes, error) {
	bad := func(status int, text string) (pool.RequestAttributes, error) {
		return pool.RequestAttributes{}, httpmsg.RejectionError{Status: status, Text: text}
	}
	switch {
	case q.Method == http.MethodConnect || q.Method == http.MethodTrace:
		return bad(http.StatusNotImplemented, q.Method+" is not passed on")
	case q.Header.Get("Upgrade") != "" && hasToken(q.Header, "Connection", "upgrade"):
		return bad(http.StatusNotImplemented, "an upgrade to "+strconv.Quote(q.Header.Get("Upgrade"))+" is not passed on")
	}
	path, _, _ := strings.Cut(q.URI, "?")
	i, m := d.FindClass(q.Method, q.Host, path, q.Header)
	c := &d.cfg.Classes[i]
	said := pool.RequestAttributes{Timeout: c.Deadline, ID: uuid.Must(uuid.NewV7()).String()}
	name, effect := c.attributesOf(q.Header)
	said.PolicyRequest.Class = name
	said.Idempotent = effect == policy.Idempotent
	value := func(s ValueSource) string {
		if s.PathName != "" {
			return m.Value(s.PathName)
		}
		if s.Header != "" {
			return q.Header.Get(s.Header)
		}
		return ""
	}
	said.PolicyRequest.Tenant, said.PolicyRequest.Key = value(c.Tenant), value(c.Key)
	if p, ok := d.clientTimeout(q.Header); ok {
		said.Timeout = p
	}
	d.addForwardingFields(q, said.ID)
	return said, nil
}

// clientTimeout is how long the client says that it waits, by the first of the trusted fields that tells.
func (d *Dialect) clientTimeout(h http.Header) (time.Duration, bool) {
	for _, field := range d.cfg.TimeoutFields {
		text := h.Get(field)
		if text == "" {
			continue
		}
		unit := time.Millisecond
		if strings.EqualFold(field, "grpc-timeout") { // digits and a unit
			units := map[byte]time.Duration{'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond, 'u': time.Microsecond, 'n': 1}
			last := text[len(text)-1]
			if unit = units[last]; unit == 0 || len(text) > 9 {
				continue
			}
			text = text[:len(text)-1]
		}
		n, err := strconv.ParseUint(text, 10, 40)
		if err == nil && n > 0 && n < uint64(maxTimeout/unit) {
			return time.Duration(n) * unit, true
		}
	}
	return 0, false
}

// addForwardingFields makes the head of q tell servers where it came from, and gives it an id if it has none. The id is for people: whether two
// requests are one is never decided by it.
func (d *Dialect) addForwardingFields(q *httpmsg.Request, id string) {
	h := q.Header
	if h.Get("X-Request-Id") == "" {
		h.Set("X-Request-Id", id)
	}
	h.Add("Via", "1.1 "+d.cfg.Via)
	scheme := "http"
	if q.Secure {
		scheme = "https"
	}
	client := ""
	if tcp, ok := q.RemoteAddr.(*net.TCPAddr); ok {
		addr := tcp.AddrPort().Addr().Unmap()
		client = addr.String()
	}
	fields := []string{"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "Forwarded"}
	if d.cfg.Forwarding != ForwardingAppend {
		for _, f := range fields {
			h.Del(f)
		}
	}
	if d.cfg.Forwarding == ForwardingDrop || client == "" {
		return
	}
	joined := func(field, value string) {
		if old := h.Values(field); len(old) > 0 {
			value = strings.Join(old, ", ") + ", " + value
		}
		h.Set(field, value)
	}
	joined("X-Forwarded-For", client)
	if h.Get("X-Forwarded-Host") == "" {
		h.Set("X-Forwarded-Host", q.Host)
	}
	if h.Get("X-Forwarded-Proto") == "" {
		h.Set("X-Forwarded-Proto", scheme)
	}
	joined("Forwarded", "for="+forwardedNode(client)+";host="+forwardedValue(q.Host)+";proto="+scheme)
}

// forwardedNode is an address as RFC 7239 has it.
func forwardedNode(client string) string {
	if addr, err := netip.ParseAddr(client); err == nil && addr.Is6() {
		return `"[` + client + `]"`
	}
	return client
}

// forwardedValue is a value as a token, or as a quoted string where it is none.
func forwardedValue(s string) string {
	for _, r := range s {
		if r != '-' && r != '.' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
		}
	}
	return s
}

func hasToken(h http.Header, field, token string) bool {
	for _, v := range h.Values(field) {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// ExtraFields is the method of pool.BackendProtocol: a trace that came goes on with a span of its own for each attempt.
func (d *Dialect) ExtraFields(_ *policy.Request, h http.Header, _ time.Duration) []upstream.Field {
	parent := h.Get("Traceparent")
	if !isTraceparent(parent) {
		return nil
	}
	var span [8]byte
	for i, v := 0, rand.Uint64()|1; i < len(span); i++ { // never all zero, which means none
		span[i] = byte(v >> (8 * i))
	}
	return []upstream.Field{{Name: "Traceparent", Value: parent[:36] + hex.EncodeToString(span[:]) + parent[52:]}}
}

// isTraceparent reports whether text is a traceparent of version 00: 00-TRACE-PARENT-FLAGS.
func isTraceparent(text string) bool {
	if len(text) != 55 || text[:3] != "00-" || text[35] != '-' || text[52] != '-' {
		return false
	}
	for i := 3; i < len(text); i++ {
		c := text[i]
		if i != 35 && i != 52 && (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// ClassifyResponse is the method of pool.BackendProtocol.
func (d *Dialect) ClassifyResponse(status int, h http.Header) (policy.Status, *policy.LoadReport) {
	var load *policy.LoadReport
	if d.cfg.ORCA {
		load = parseORCA(h)
	}
	switch {
	case slices.Contains(d.cfg.NotExecutedStatuses, status):
		return policy.StatusOverloaded, load
	case slices.Contains(d.cfg.FailureStatuses, status):
		return policy.StatusApplicationError, load
	}
	return policy.StatusOK, load
}

// HealthCheckTarget is the method of pool.BackendProtocol.
func (d *Dialect) HealthCheckTarget() string { return d.cfg.HealthCheckPath }

// RewriteResponseHeader is the method of pool.EndToEndProtocol: the fields of an answer as its client has them.
func (d *Dialect) RewriteResponseHeader(h http.Header) { h.Add("Via", "1.1 "+d.cfg.Via) }
