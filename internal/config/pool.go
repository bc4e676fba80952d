package config

import (
	"math"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/httpservice"
	"sorrelrudder/policy"
)

const (
	// timerResolution is the minimum time between two timer events of the decision module.
	timerResolution = time.Millisecond
	// responseGrace is the part of a request's timeout that is reserved for sending the response to the client.
	responseGrace = 20 * time.Millisecond
)

// The health states of endpoints in the endpoint lists of discovery.
const (
	healthActive   = "active"
	healthDraining = "leaving"
)

// readPools reads the pools, and returns their names and tables.
func (f *File) readPools(r *reader) (names []string, pools []*section) {
	names, pools = f.root.namedTables("pools")
	if len(pools) == 0 && (!f.root.has("pools") || f.root.nodeAt("pools").kind == isTable) {
		r.fail(f.root.nodeAt("pools"), "at least one pool is required to send requests to")
	}
	for i, s := range pools {
		if names[i] == "" {
			r.fail(s.node, "pool name must not be empty")
		}
		pool := r.pool(names[i], s)
		f.readSpillover(r, s, &pool)
		s.finish()
		f.Gateway.Pools = append(f.Gateway.Pools, pool)
	}
	return names, pools
}

// pool reads the table of one pool, without its spillover.
func (r *reader) pool(name string, s *section) gateway.Pool {
	p := gateway.Pool{Name: name}
	c := &p.Settings.Config
	p.Limits.Weight = s.number("weight", 1, 0.001, 1000)
	r.instances(s, c)
	c.TimerResolution = timerResolution
	c.ResponseGrace = responseGrace
	isHTTP := s.choice("protocol", "platform", "platform", "http") == "http"

	r.endpointList(s, &p)
	r.limits(s.table("limits"), &p.Limits)
	readAttempts(s.table("attempts"), c)
	readRejections(s.table("refusals"), c)
	readHealthChecks(s.table("probes"), c)
	var dialect httpservice.Config
	if isHTTP {
		dialect = r.httpService(s, &p)
	}
	readLoadReports(s.table("reports"), &p)
	readSafety(s.table("safety"), c)
	readCosts(s.table("costs"), c)

	classes := s.tables("classes")
	if isHTTP {
		r.httpServiceClasses(s, &p, dialect, classes)
	} else {
		r.classes(s, c, classes)
	}
	r.tenants(s, c)
	return p
}

// instances reads the zone of this process, and its index among the instances that share the requests of the pool's clients.
func (r *reader) instances(s *section, c *policy.Config) {
	c.Zone = s.text("zone", "")
	c.InstanceCount = int(s.integer("instances", 1, 1, maxCount))
	c.InstanceIndex = int(s.integer("instance", 0, 0, maxCount))
	if c.InstanceIndex >= c.InstanceCount {
		r.fail(s.nodeAt("instance"), "%d is out of range: it is counted from 0 and must be less than instances, which is %d", c.InstanceIndex, c.InstanceCount)
	}
}

// endpointList reads the source of the pool's endpoint list: the address of a discovery service, or the endpoints themselves.
func (r *reader) endpointList(s *section, p *gateway.Pool) {
	p.Discovery = s.text("discovery", "")
	if p.Discovery != "" {
		r.checkAddress(s.nodeAt("discovery"), p.Discovery, dialAddress)
	}
	servers := s.tables("servers")
	switch {
	case s.has("discovery") && s.has("servers"):
		r.fail(s.nodeAt("servers"), "must not be combined with discovery (line %d): a pool has a single endpoint list", s.nodeAt("discovery").line)
	case p.Discovery == "" && len(servers) == 0:
		r.fail(s.node, "pool has no endpoint list: set discovery or servers")
	}
	seen := map[string]bool{}
	for _, server := range servers {
		endpoint := r.endpoint(server)
		if seen[endpoint.ID] {
			r.fail(server.nodeAt("name"), "duplicate server %q", endpoint.ID)
		}
		seen[endpoint.ID] = true
		p.StaticEndpoints = append(p.StaticEndpoints, endpoint)
	}
}

func (r *reader) endpoint(s *section) discovery.Endpoint {
	e := discovery.Endpoint{
		ID:      s.requiredText("name"),
		Address: s.requiredText("address"),
		Zone:    s.text("zone", ""),
		Health:  healthActive,
		Cell:    int(s.integer("cell", 0, 0, maxCount)),
		Weight:  s.number("weight", 1, 0, 1000),
	}
	if s.choice("state", "ready", "ready", "draining") == "draining" {
		e.Health = healthDraining
	}
	s.finish()
	if e.Address != "" {
		r.checkAddress(s.nodeAt("address"), e.Address, dialAddress)
	}
	return e
}

func (r *reader) limits(s *section, l *gateway.Limits) {
	l.Rate = s.number("rate", 0, 0, 1e9)
	l.Burst = s.number("burst", math.Max(1, math.Ceil(l.Rate/10)), 1, 1e9)
	l.OpenRequests = s.integer("open", 0, 0, maxCount)
	l.BodyBytes = s.size("bodies", 0, 0, 1<<40)
	if l.BodyBytes > 0 && l.BodyBytes < httpmsg.MaxBufferedBodyBytes {
		r.fail(s.nodeAt("bodies"), "must be 0 or at least %s, the maximum size of a buffered body: a request with a body of that size would always be rejected", formatSize(httpmsg.MaxBufferedBodyBytes))
	}
	l.Descriptors = s.integer("descriptors", 0, 0, maxCount)
	l.QueueWithoutEndpoints = s.boolean("wait_for_servers", false)
	s.finish()
}

func readAttempts(s *section, c *policy.Config) {
	c.MaxAttempts = int(s.integer("max", 3, 1, 10))
	c.HedgingAllowed = s.boolean("second_copies", true)
	c.CancellationAllowed = s.boolean("cancel", true)
	c.DialTimeout = s.duration("dial_timeout", 250*time.Millisecond, time.Millisecond, time.Minute)
	c.ConnIdle = s.duration("idle", 5*time.Second, 0, time.Hour)
	s.finish()
}

func readRejections(s *section, c *policy.Config) {
	c.RetryAfterHonored = s.boolean("retry_after", true)
	c.MaxRetryAfter = s.duration("most_retry_after", 1500*time.Millisecond, 0, time.Hour)
	s.finish()
}

func readHealthChecks(s *section, c *policy.Config) {
	c.HealthChecksAllowed = s.boolean("allowed", true)
	c.HealthCheckCost = s.number("cost", 0.05, 0, 100)
	s.finish()
}

func readLoadReports(s *section, p *gateway.Pool) {
	p.Settings.Config.InlineLoadReports = s.choice("via", "answers", "answers", "probes") == "answers"
	p.Settings.LoadReportFields = s.texts("fields")
	if !s.has("fields") {
		p.Settings.LoadReportFields = []string{"inflight", "queue", "util"}
		s.record("fields", textArray(p.Settings.LoadReportFields), true)
	}
	s.finish()
}

func readSafety(s *section, c *policy.Config) {
	c.PollInterval = s.duration("ask_every", 10*time.Second, 10*time.Millisecond, time.Hour)
	c.SlowStartMinCapacity = s.number("cold_from", 0.2, 0, 1)
	c.SlowStartDuration = s.duration("ramp", 10*time.Second, 0, time.Hour)
	s.finish()
}

func readCosts(s *section, c *policy.Config) {
	c.ConnectionCost = s.number("connection", 0, 0, 100)
	c.HandshakeCost = s.number("handshake", 0, 0, 100)
	c.CrossZoneCost = s.number("cross_zone", 0, 0, 100)
	c.OverQuotaWeight = s.number("over_share_worth", 0.1, 0, 1)
	s.finish()
}

func (r *reader) tenants(s *section, c *policy.Config) {
	seen := map[string]bool{}
	for _, t := range s.tables("tenants") {
		tenant := policy.Tenant{Name: t.requiredText("name"), RateQuota: t.number("rate", 0, 0, 1e9)}
		t.finish()
		if seen[tenant.Name] {
			r.fail(t.nodeAt("name"), "duplicate tenant %q", tenant.Name)
		}
		seen[tenant.Name] = true
		c.Tenants = append(c.Tenants, tenant)
	}
}
