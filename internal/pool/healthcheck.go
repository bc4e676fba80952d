package pool

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"sorrelrudder/internal/statslog"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

const (
	// healthCheckTimeout bounds a health check, since a failed endpoint may not respond at all.
	healthCheckTimeout = 400 * time.Millisecond
	// maxHealthChecks bounds the health checks in flight, without those of CheckEndpoint. A further check is not sent, and is reported as
	// StatusNotSent.
	maxHealthChecks = 64
	// maxLoadReportBytes bounds the body of a health check's response.
	maxLoadReportBytes = 4 << 10
)

// CheckHealth implements policy.Actions.
func (p *Pool) CheckHealth(endpoint policy.EndpointID) {
	sentAt := p.clock.now()
	peer, listed := p.peers[endpoint]
	if !listed || p.healthChecksInFlight >= maxHealthChecks {
		p.deferred = append(p.deferred, func(now policy.Time) {
			p.balancer.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: endpoint, Status: policy.StatusNotSent}, p)
		})
		return
	}
	p.healthChecksInFlight++
	p.stats.Add(statslog.HealthChecks, 1)
	p.spawn(func() {
		status, load := p.healthCheck(peer)
		p.runEvent(func(now policy.Time) {
			p.healthChecksInFlight--
			if status != policy.StatusOK {
				p.stats.Add(statslog.HealthChecksUnanswered, 1)
			}
			p.balancer.HandleHealthCheck(now, policy.HealthCheckResult{
				Endpoint: endpoint, Status: status, Latency: now - sentAt, Load: load,
			}, p)
			p.reachability.record(endpoint, status)
		})
	})
}

// CheckEndpoint sends a health check to an endpoint, which may be excluded, and reports whether it succeeds. The result is not passed to the
// decision module. CheckEndpoint blocks for up to the health check's timeout.
func (p *Pool) CheckEndpoint(endpoint string) bool {
	p.mu.Lock()
	peer := p.peers[policy.EndpointID(endpoint)]
	closed := p.closed
	p.mu.Unlock()
	if peer == nil || closed {
		return false
	}
	status, _ := p.healthCheck(peer)
	return status == policy.StatusOK
}

// healthCheck sends a health check to an endpoint: a request for its load report, or for the health check target of the BackendProtocol. It
// returns the result of the check and the load report, which is nil if there is none. The caller does not hold mu.
func (p *Pool) healthCheck(peer *upstream.Peer) (policy.Status, *policy.LoadReport) {
	conn, err := p.conns.Connect(context.Background(), peer, upstream.ForHealthCheck, time.Now().Add(healthCheckTimeout))
	var noDescriptor upstream.NoDescriptorError
	switch {
	case errors.As(err, &noDescriptor):
		return policy.StatusNotSent, nil
	case err != nil:
		return policy.StatusConnectFailed, nil
	}
	q := &upstream.Request{Method: http.MethodGet, Target: "/load", Host: peer.Addr()}
	if p.protocol != nil {
		q.Target = p.protocol.HealthCheckTarget()
	}
	response, err := conn.Exchange(q) //nolint:bodyclose // the connection is closed, or reused once the body is read
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(response.Body, maxLoadReportBytes))
	}
	if err != nil {
		conn.Discard()
		return brokenHealthCheck(err), nil
	}
	status, load := p.classifyHealthCheck(response, body)
	p.releaseHealthCheckConn(conn, response, body, load)
	return status, load
}

// releaseHealthCheckConn keeps the connection of a health check for reuse if the response was read completely and the endpoint does not
// close the connection. Otherwise it closes the connection.
func (p *Pool) releaseHealthCheckConn(conn *upstream.Conn, response *http.Response, body []byte, load *policy.LoadReport) {
	switch {
	case response.Close || len(body) == maxLoadReportBytes:
		conn.Discard()
	case p.protocol == nil && load != nil && response.ContentLength == int64(len(body)):
		p.conns.PutIdleAfterHealthCheck(conn, body)
	default:
		p.conns.PutIdle(conn)
	}
}

// brokenHealthCheck returns the result of a health check that ended with err before a complete response.
func brokenHealthCheck(err error) policy.Status {
	var notWritten upstream.NotWrittenError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return policy.StatusTimeout
	case errors.As(err, &notWritten):
		return policy.StatusConnectFailed
	}
	return policy.StatusReset
}

// classifyHealthCheck returns the result that the response to a health check stands for, and its load report, which is nil if there is
// none.
func (p *Pool) classifyHealthCheck(response *http.Response, body []byte) (policy.Status, *policy.LoadReport) {
	if p.protocol != nil {
		status, load := p.protocol.ClassifyResponse(response.StatusCode, response.Header)
		if p.endToEnd != nil && status == policy.StatusOK && response.StatusCode >= http.StatusMultipleChoices {
			status = policy.StatusApplicationError // a response that is passed on to clients, but no successful health check
		}
		return status, load
	}
	switch response.StatusCode {
	case http.StatusOK:
		return policy.StatusOK, parseLoadReport(string(body), p.settings.LoadReportFields)
	case http.StatusServiceUnavailable:
		return policy.StatusOverloaded, nil
	}
	return policy.StatusApplicationError, nil
}
