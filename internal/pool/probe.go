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
	// probeTimeout is how long a probe may take: an upstream may vanish without a word.
	probeTimeout = 400 * time.Millisecond
	// mostProbes bounds the probes under way; one beyond it counts as never sent.
	mostProbes = 64
	// mostReport bounds the body of a probe's answer.
	mostReport = 4 << 10
	// mostLoad is the highest figure of a report that is taken for real.
	mostLoad = 1e9
)

// CheckHealth is a method of policy.Actions.
func (p *Pool) CheckHealth(server policy.EndpointID) {
	sent := p.now()
	to, listed := p.peers[server]
	if !listed || p.probing >= mostProbes {
		p.after = append(p.after, func(now policy.Time) {
			p.balancer.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: server, Status: policy.StatusNotSent}, p)
		})
		return
	}
	p.probing++
	p.tally.Add(statslog.Probes, 1)
	p.spawn(func() {
		status, load := p.probe(to)
		p.event(func(now policy.Time) {
			p.probing--
			if status != policy.StatusOK {
				p.tally.Add(statslog.ProbesLost, 1)
			}
			p.balancer.HandleHealthCheck(now, policy.HealthCheckResult{Endpoint: server, Status: status, Delay: now - sent, Load: load}, p)
			p.notice(server, status)
		})
	})
}

// probe asks an upstream for its load.
func (p *Pool) probe(to *upstream.Peer) (policy.Status, *policy.LoadReport) {
	c, err := p.up.Connect(context.Background(), to, time.Now().Add(probeTimeout))
	var noSocket upstream.NoDescriptor
	switch {
	case errors.As(err, &noSocket):
		return policy.StatusNotSent, nil
	case err != nil:
		return policy.StatusConnectFailed, nil
	}
	ask := &upstream.Request{Method: http.MethodGet, Target: "/load", Host: to.Addr()}
	if p.dialect != nil {
		ask.Target = p.dialect.ProbeTarget()
	}
	resp, err := c.Exchange(ask)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, mostReport))
	}
	var notWritten upstream.NotWritten
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
	if resp.Close || len(body) == mostReport {
		c.Close()
	} else {
		p.up.Keep(c)
	}
	if p.dialect != nil {
		status, load := p.dialect.Read(resp.StatusCode, resp.Header)
		if p.service != nil && status == policy.StatusOK && resp.StatusCode >= http.StatusMultipleChoices { // a check that fails
			status = policy.StatusApplicationError
		}
		return status, load
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return policy.StatusOK, parseLoad(string(body), p.settings.Fields)
	case http.StatusServiceUnavailable:
		return policy.StatusOverloaded, nil
	}
	return policy.StatusApplicationError, nil
}

// parseLoad reads a report such as "TEXT queue=2, util=0.61" by the names of its fields. It returns nil if
// there is nothing in it that can be read.
func parseLoad(text string, fields []string) *policy.LoadReport {
	text = strings.TrimSpace(text)
	if format, rest, ok := strings.Cut(text, " "); ok && !strings.ContainsAny(format, "=,") {
		text = rest
	}
	load, found := settings.NoLoad(), false
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if name = strings.TrimSpace(name); !ok || !slices.Contains(fields, name) {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(v >= 0 && v <= mostLoad) { // guards against NaN too
			continue
		}
		settings.Set(&load, name, v)
		found = true
	}
	if !found {
		return nil
	}
	return &load
}
