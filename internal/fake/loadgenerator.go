package fake

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ClassLoad describes a request class and its part of the load.
type ClassLoad struct {
	Name             string
	Idempotency      Idempotency
	Weight           float64 // share of the operations, relative to the weights of the other classes
	LatencyObjective time.Duration
	Deadline         time.Duration // of an operation, across all attempts
	PriorityWeight   float64
	BodyBytes        int // size of request bodies; ignored if the class is Idempotent
}

// ClientConfig configures a group of clients and their load.
type ClientConfig struct {
	Name               string // prefix of the request IDs and idempotency keys
	Addr               string // address of the program
	Host               string // Host header field
	Prefix             string // of all paths, without a trailing slash
	Tenant             string // X-Tenant-Id header field; empty: no field
	Classes            []ClassLoad
	Rate               float64       // operations per second, independent of the responses
	MaxAttempts        int           // per operation; values below 1 mean 1
	Backoff            time.Duration // mean pause before a retry
	HonorRetryAfter    bool          // before a retry, wait at least for the Retry-After of the response, if the deadline allows
	NewConnections     bool          // use a new connection for each attempt
	AbandonConnections bool          // use a new connection for each attempt, and leave it open and unused until the program closes it
	MaxConnections     int           // limit of open connections; an attempt that would exceed it is not sent; 0: no limit
	MaxInFlight        int           // concurrent operations; excess ones are not started and count as OutcomeUnsent; 0: defaultMaxInFlight
	Recorder           *EffectRecorder
	Seed               uint64
}

const (
	defaultMaxInFlight = 10000
	minAttemptTimeout  = 5 * time.Millisecond // no further attempt is made with less time left
	lateResponseWait   = time.Second          // time to wait after the timeout of an attempt, to detect late responses
	statusNoResponse   = 0                    // no response was received
	statusUnsent       = -1                   // the attempt was not sent because of the connection limit
)

// loadGenerator starts operations at a given rate and makes their attempts.
type loadGenerator struct {
	cfg       ClientConfig
	weightSum float64 // of the classes
	lastID    atomic.Int64
	conns     *connPool
	results   *ClientResults
}

// RunClients starts operations until ctx ends. It returns the results once the last operation has ended.
func RunClients(ctx context.Context, cfg ClientConfig) *ClientResults {
	if cfg.MaxAttempts < 1 {
		cfg.MaxAttempts = 1
	}
	if cfg.MaxInFlight < 1 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	results := newClientResults()
	conns := &connPool{
		addr: cfg.Addr, limit: cfg.MaxConnections, abandon: cfg.AbandonConnections, recorder: cfg.Recorder, results: results,
		abandoned: map[*clientConn]struct{}{},
	}
	g := &loadGenerator{cfg: cfg, conns: conns, results: results}
	for _, class := range cfg.Classes {
		g.weightSum += class.Weight
	}
	g.run(ctx)
	conns.closeAll()
	return results
}

// run starts operations as a Poisson process until ctx ends, then waits for them.
func (g *loadGenerator) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(g.cfg.Seed, 2))
	var operations sync.WaitGroup
	defer operations.Wait()
	var inFlight atomic.Int64
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / g.cfg.Rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		class, seed := g.pickClass(rng), rng.Uint64()
		if int(inFlight.Load()) >= g.cfg.MaxInFlight {
			g.results.recordOperation(class, OutcomeUnsent, 0)
			continue
		}
		inFlight.Add(1)
		operations.Go(func() {
			defer inFlight.Add(-1)
			g.runOperation(class, rand.New(rand.NewPCG(seed, 3)))
		})
	}
}

// pickClass draws a class in proportion to the class weights.
func (g *loadGenerator) pickClass(rng *rand.Rand) *ClassLoad {
	remaining := rng.Float64() * g.weightSum
	for i := range g.cfg.Classes {
		if remaining -= g.cfg.Classes[i].Weight; remaining < 0 {
			return &g.cfg.Classes[i]
		}
	}
	return &g.cfg.Classes[len(g.cfg.Classes)-1]
}

// runOperation makes the attempts of an operation. A NonIdempotent operation is not retried after a failure. A pause that would
// exceed the deadline is skipped: the retry is made at once.
func (g *loadGenerator) runOperation(class *ClassLoad, rng *rand.Rand) {
	start := time.Now()
	request := &clientRequest{class: class, operation: g.cfg.Recorder.BeginOperation(class.Idempotency)}
	if class.Idempotency == IdempotentByKey {
		request.key = fmt.Sprintf("%s-k%d", g.cfg.Name, g.lastID.Add(1))
	}
	outcome := OutcomeFailed
	for n := range g.cfg.MaxAttempts {
		remaining := class.Deadline - time.Since(start)
		if remaining < minAttemptTimeout {
			break
		}
		isLast := n == g.cfg.MaxAttempts-1
		request.timeout, request.retry = remaining, n > 0
		if !isLast {
			request.timeout = remaining / 2 // leaves time for a retry
		}
		sent := time.Now()
		status, retryAfter := g.attempt(request)
		outcome = attemptOutcome(status)
		switch {
		case outcome == OutcomeServed:
			latency := time.Since(start)
			if latency > class.LatencyObjective {
				outcome = OutcomeLate
			}
			g.results.recordOperation(class, outcome, latency)
			return
		case outcome == OutcomeRejected:
			g.results.recordRejection(time.Since(sent))
		case outcome == OutcomeFailed && class.Idempotency == NonIdempotent: // the failed attempt may have had its effect
			g.results.recordOperation(class, OutcomeFailed, 0)
			return
		}
		pause := g.retryPause(rng, retryAfter)
		if !isLast && pause < class.Deadline-time.Since(start) {
			time.Sleep(pause)
		}
	}
	g.results.recordOperation(class, outcome, 0)
}

// attemptOutcome returns the outcome of an operation whose last attempt ended with status.
func attemptOutcome(status int) Outcome {
	switch status {
	case statusUnsent:
		return OutcomeUnsent
	case http.StatusOK:
		return OutcomeServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return OutcomeRejected
	default:
		return OutcomeFailed
	}
}

// retryPause returns the pause before a retry: a random value from 0.5 to 1.5 times the backoff. Retry-After replaces the pause
// if it is longer and HonorRetryAfter is set.
func (g *loadGenerator) retryPause(rng *rand.Rand, retryAfter time.Duration) time.Duration {
	pause := time.Duration((0.5 + rng.Float64()) * float64(g.cfg.Backoff))
	if g.cfg.HonorRetryAfter {
		pause = max(pause, retryAfter)
	}
	return pause
}

// clientRequest holds the parameters of an attempt.
type clientRequest struct {
	class     *ClassLoad
	operation *Operation
	key       string // idempotency key; empty: none
	timeout   time.Duration
	retry     bool
}

// attempt sends a request and waits for its response. status is statusUnsent if the connection limit was reached, and
// statusNoResponse if there was no response for another reason.
func (g *loadGenerator) attempt(request *clientRequest) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("%s-%d", g.cfg.Name, g.lastID.Add(1))
	conn, err := g.conns.acquire(request.timeout)
	switch {
	case errors.Is(err, errConnectionLimit):
		g.results.recordConnectionLimited()
		return statusUnsent, 0
	case err != nil:
		return statusNoResponse, 0
	}
	text := g.requestText(request, id)
	g.cfg.Recorder.RecordSent(request.operation, id, request.timeout)
	g.results.recordAttempt(conn.reused)
	response, body, err := exchange(conn, text, request.timeout)
	if conn.reused && errors.Is(err, errClosedUnanswered) {
		// The program closed the idle connection before reading the request, so the request may be sent again.
		conn.Close()
		g.results.recordClosedBeforeReuse()
		if conn, err = g.conns.dial(request.timeout); err != nil {
			g.cfg.Recorder.RecordUnsent(id)
			return statusNoResponse, 0
		}
		response, body, err = exchange(conn, text, request.timeout)
	}
	if err != nil {
		if errors.Is(err, errClosedUnanswered) && !conn.reused {
			g.cfg.Recorder.RecordUnsent(id) // the program may close a new connection unread to make room for another connection
		}
		conn.Close()
		return statusNoResponse, 0
	}
	bodyMatches := strings.HasPrefix(string(body), ResponseBody(request.class.Name, id, request.key))
	g.cfg.Recorder.RecordResponse(id, response.StatusCode, bodyMatches)
	g.results.recordStatus(response.StatusCode)
	if response.Close || g.cfg.NewConnections {
		conn.Close()
	} else {
		g.conns.release(conn)
	}
	return response.StatusCode, parseRetryAfter(response)
}

// exchange sends a request and reads its response. It stops reading lateResponseWait after the timeout.
func exchange(conn *clientConn, text string, timeout time.Duration) (*http.Response, []byte, error) {
	conn.SetDeadline(time.Now().Add(timeout + lateResponseWait))
	return conn.roundTrip(text)
}

// parseRetryAfter returns the Retry-After of a response. It returns 0 if the field is missing or not a number of seconds.
func parseRetryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// requestText returns the text of a request with its body.
func (g *loadGenerator) requestText(request *clientRequest, id string) string {
	class, hasBody := request.class, request.class.Idempotency != Idempotent
	method := http.MethodGet
	if hasBody {
		method = http.MethodPost
	}
	timeoutMs := max(1, request.timeout.Milliseconds())
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s/%s/%s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n",
		method, g.cfg.Prefix, class.Name, id, g.cfg.Host, id, timeoutMs)
	if g.cfg.Tenant != "" {
		text.WriteString("X-Tenant-Id: " + g.cfg.Tenant + "\r\n")
	}
	if request.key != "" {
		text.WriteString("Idempotency-Key: " + request.key + "\r\n")
	}
	if request.retry {
		text.WriteString("X-Retried: 1\r\n")
	}
	if !hasBody {
		text.WriteString("\r\n")
		return text.String()
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", class.BodyBytes)
	text.WriteString(strings.Repeat("b", class.BodyBytes))
	return text.String()
}
