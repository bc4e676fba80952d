package pool

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/policy"
)

const (
	// mostID bounds what a client may name a request: ids are kept while the request is open, and a little longer.
	mostID = 128
	// mostWait bounds a client's wait where the settings name no class.
	mostWait = time.Minute
)

var errIDInUse = httpmsg.Bad{Status: http.StatusConflict, Text: "a request with this X-Request-ID is open"}

// Ask is what a request says of itself, as the module is told it.
type Ask struct {
	event   policy.Request
	timeout time.Duration // how long the client waits
	name    string
	safe    bool
	foreign bool // another site has handed it over
	bodies  bool // it may have a body though it is safe
}

// Class is that of the request.
func (a *Ask) Class() string { return a.event.Class }

// Legal reads what the head of a request says of itself; path is its path below what led to this pool, and its first part
// is the class. What does not have the protocol's form is turned away here with a httpmsg.Bad, as servers would turn it
// away, or read something else in it.
func (p *Pool) Legal(q *httpmsg.Request, path string) (Ask, error) {
	var ask Ask
	if p.service != nil {
		said, err := p.service.Ask(q, path)
		return Ask{event: said.Event, timeout: min(said.Timeout, p.longest), name: said.Name, safe: said.Safe, bodies: true}, err
	}
	bad := func(status int, text string) (Ask, error) { return Ask{}, httpmsg.Bad{Status: status, Text: text} }
	ask.name = q.Header.Get("X-Request-Id")
	if ask.name == "" || len(ask.name) > mostID {
		return bad(http.StatusBadRequest, "no usable X-Request-ID")
	}
	event := &ask.event
	path = strings.TrimPrefix(path, "/")
	event.Class, _, _ = strings.Cut(path, "/")
	if i := strings.LastIndexByte(path, '/'); i >= 0 {
		event.Key = path[i+1:]
	}
	event.Tenant = q.Header.Get("X-Tenant-Id")
	event.IsRetry = q.Header.Get("X-Retried") == "1"
	if us, err := strconv.ParseInt(q.Header.Get("X-Cost"), 10, 64); err == nil && us > 0 && us < int64(time.Hour/time.Microsecond) {
		event.ExpectedWork = time.Duration(us) * time.Microsecond
	}
	effect, known := p.effects[event.Class]
	key := q.Header.Get("Idempotency-Key") != ""
	switch {
	case len(p.effects) == 0: // the settings name no class: any will do
	case !known:
		return bad(http.StatusNotFound, "no such class")
	case (effect == policy.Idempotent) != (q.Method == http.MethodGet), effect != policy.Idempotent && q.Method != http.MethodPost:
		return bad(http.StatusMethodNotAllowed, "the class has another method")
	case effect == policy.IdempotentByKey && !key: // servers could not tell a repeat, so that it would run twice
		return bad(http.StatusBadRequest, "no Idempotency-Key")
	}
	ask.safe = known && effect == policy.Idempotent
	ms, err := strconv.ParseUint(q.Header.Get("X-Timeout-Ms"), 10, 63)
	if err != nil || ms == 0 {
		return bad(http.StatusBadRequest, "no usable X-Timeout-Ms")
	}
	// A client that would wait longer than any class allows must not make timers last for ever.
	ask.timeout = time.Duration(min(ms, uint64(p.longest.Milliseconds()))) * time.Millisecond
	return ask, nil
}

// Exchange is a request that the pool has taken.
type Exchange struct {
	pool *Pool
	r    *request
}

// Take hands the module a request whose last byte has come. It calls free once the request's body is not needed any more,
// and not at all if it returns an error, which is a httpmsg.Bad.
func (p *Pool) Take(q *httpmsg.Request, ask Ask, free func()) (*Exchange, error) {
	if ask.safe && !ask.bodies && (len(q.Body) > 0 || q.Rest != nil) {
		return nil, httpmsg.Bad{Status: http.StatusBadRequest, Text: "a body where the class has none"}
	}
	r := &request{
		name: ask.name, foreign: ask.foreign, method: q.Method, uri: q.URI, host: q.Host, header: httpmsg.Forwarded(q.Header),
		body: q.Body, rest: q.Rest, free: free, left: q.Left, answer: make(chan httpmsg.Answer, 1),
	}
	if err := p.take(r, ask.event, ask.timeout); err != nil {
		return nil, err
	}
	return &Exchange{p, r}, nil
}

// Answer is where the one final answer comes.
func (e *Exchange) Answer() <-chan httpmsg.Answer { return e.r.answer }

// Withdraw tells that the client has left, and reports whether the request was still open: else its answer is there.
func (e *Exchange) Withdraw() bool { return e.pool.withdraw(e.r) }
