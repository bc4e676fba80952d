package pool

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"sorrelrudder/internal/settings"
	"sorrelrudder/internal/statslog"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

const (
	// healthCheckTimeout is how long a probe may take: an upstream may vanish without a word.
	healthCheckTimeout = 400 * time.Millisecond
	// maxHealthChecks bounds the probes under way; one beyond it counts as never sent.
	maxHealthChecks = 64
	// maxLoadReportBytes bounds the body of a probe's answer.
	maxLoadReportBytes = 4 << 10
	// maxLoadFigure is the highest figure of a report that is taken for real.
	maxLoadFigure = 1e9
)

// CheckHealth is a method of policy.Actions.
func (p *Pool) CheckHealth(server policy.EndpointID) {
	sent := p.now()
	to, listed := p.peers[server]
	if !listed || p.healthChecksInFlight >= maxHealthChecks {
		p.deferred = append(p.deferred, func(now policy.Time) {
			p.balancer.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: server, Status: policy.StatusNotSent}, p)
		})
		return
	}
	p.healthChecksInFlight++
	p.stats.Add(statslog.HealthChecks, 1)
	p.spawn(func() {
		status, load := p.healthCheck(to)
		p.runEvent(func(now policy.Time) {
			p.healthChecksInFlight--
			if status != policy.StatusOK {
				p.stats.Add(statslog.HealthChecksUnanswered, 1)
			}
			p.balancer.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: server, Status: status, Delay: now - sent, Load: load}, p)
			p.noteReachability(server, status)
		})
	})
}

// healthCheck asks an upstream for its load.
func (p *Pool) healthCheck(to *upstream.Peer) (policy.Status, *policy.LoadReport) {
	c, err := p.conns.Connect(context.Background(), to, time.Now().Add(healthCheckTimeout))
	var noSocket upstream.NoDescriptorError
	switch {
	case errors.As(err, &noSocket):
		return policy.StatusNotSent, nil
	case err != nil:
		return policy.StatusConnectFailed, nil
	}
	ask := &upstream.Request{Method: http.MethodGet, Target: "/load", Host: to.Addr()}
	if p.protocol != nil {
		ask.Target = p.protocol.HealthCheckTarget()
	}
	resp, err := c.Exchange(ask)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxLoadReportBytes))
	}
	var notWritten upstream.NotWrittenError
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Close()
		return policy.StatusTimeout, nil
	case errors.As(err, &notWritten):
		c.Close()
		return policy.StatusConnectFailed, nil
	default:
		c.Close()
		return policy.StatusReset, nil
	}
	if resp.Close || len(body) == maxLoadReportBytes {
		c.Close()
	} else {
		p.conns.PutIdle(c)
	}
	if p.protocol != nil {
		status, load := p.protocol.ClassifyResponse(resp.StatusCode, resp.Header)
		if p.endToEnd != nil && status == policy.StatusOK && resp.StatusCode >= http.StatusMultipleChoices { // a check that fails
			status = policy.StatusApplicationError
		}
		return status, load
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return policy.StatusOK, parseLoadReport(string(body), p.settings.LoadReportFields)
	case http.StatusServiceUnavailable:
		return policy.StatusOverloaded, nil
	}
	return policy.StatusApplicationError, nil
}

// parseLoadReport reads a report such as "TEXT queue=2, util=0.61" by the names of its fields. It returns nil if
// there is nothing in it that can be read.
func parseLoadReport(text string, fields []string) *policy.LoadReport {
	text = strings.TrimSpace(text)
	if format, rest, ok := strings.Cut(text, " "); ok && !strings.ContainsAny(format, "=,") {
		text = rest
	}
	load, found := settings.EmptyLoadReport(), false
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if name = strings.TrimSpace(name); !ok || !slices.Contains(fields, name) {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(v >= 0 && v <= maxLoadFigure) { // guards against NaN too
			continue
		}
		settings.SetLoadField(&load, name, v)
		found = true
	}
	if !found {
		return nil
	}
	return &load
}
