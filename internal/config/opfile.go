package config

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/fleet"
	"sorrelrudder/internal/gateway"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/httpservice"
	"sorrelrudder/internal/route"
	"sorrelrudder/internal/sitelink"
	"sorrelrudder/policy"
)

// maxFileBytes bounds a file: 1,000 pools take some 1 MiB.
const maxFileBytes = 16 << 20

// File is an operator's file as it was read.
type File struct {
	Gateway gateway.Config
	Cores   int // that may run Go code at once
	// Warnings are what may be meant and is dangerous.
	Warnings  []string
	SiteLinks *sitelink.Config // nil: the process has no peers
	Fleet     *fleet.Config    // nil: the process knows no others
	root      *section
}

// Load reads the file at path. The error is an Errors, or tells why the file cannot be read.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s has %d bytes, over %d", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads text, which stands in file. The error is an Errors with all that is wrong.
func Parse(file string, text []byte) (*File, error) {
	tree, err := parseTree(file, text)
	if err != nil {
		return nil, err
	}
	r := &reader{file: file}
	f := &File{root: r.section(tree)}
	f.read(r)
	if len(r.errs) > 0 {
		return nil, r.errs.sorted()
	}
	if err := f.Gateway.Validate(); err != nil { // what it finds should have been found above, by its line
		return nil, Errors{{file, 1, "", err.Error()}}
	}
	return f, nil
}

// String is the file with all defaults written out. It reads as the same configuration.
func (f *File) String() string {
	var b strings.Builder
	f.root.write(&b, "")
	return strings.TrimLeft(b.String(), "\n")
}

const (
	day      = 24 * time.Hour
	maxCount = 1 << 20
)

func (f *File) read(r *reader) {
	s := f.root
	c := &f.Gateway
	process := s.table("process")
	c.Name = process.text("name", "sorrelrudder")
	c.MemoryMB = int(process.size("memory", 192<<20, gateway.MinMemoryMB<<20, 1<<40) >> 20)
	c.StatsInterval = process.duration("figures_every", 0, 0, time.Hour)
	c.Descriptors = int(process.integer("descriptors", 1024, gateway.MinDescriptors, maxCount))
	f.Cores = int(process.integer("cores", 1, 1, 256))
	process.finish()

	listeners := s.tables("listeners")
	if len(listeners) == 0 {
		r.fail(s.nodeAt("listeners"), "is missing: clients could not connect")
	}
	taken := map[string]*section{}
	for _, l := range listeners {
		name, address := l.requiredText("name"), l.requiredText("address")
		foreign := l.boolean("sites", false)
		tls, plain := r.listenerTLS(f, l)
		l.finish()
		if foreign && (tls != gateway.TLS{} || plain) {
			r.fail(l.nodeAt("sites"), "is for peers, whose TLS [site.tls] says")
		}
		if foreign && !s.has("site") {
			r.fail(l.nodeAt("sites"), "is for peers, and there is no [site]")
		}
		if address != "" {
			r.checkAddress(l.nodeAt("address"), address, true)
		}
		if other := taken[name]; other != nil && name != "" {
			r.fail(l.nodeAt("name"), "is %q, as that of the listener in line %d", name, other.node.line)
		}
		taken[name] = l
		c.Listeners = append(c.Listeners, gateway.Listener{Name: name, Address: address, InterSite: foreign, TLS: tls, H2C: plain})
	}

	f.readSite(r)
	names, pools := s.namedTables("pools")
	if len(pools) == 0 && (!s.has("pools") || s.nodeAt("pools").kind == isTable) {
		r.fail(s.nodeAt("pools"), "is missing: there is nowhere to send requests")
	}
	for i, p := range pools {
		if names[i] == "" {
			r.fail(p.node, "a pool without a name")
		}
		c.Pools = append(c.Pools, r.pool(names[i], p))
		f.readSpillover(r, names[i], p, &c.Pools[i])
	}
	f.readRoutes(r, names, pools)
	f.readFleet(r)
	s.finish()
	if len(r.errs) == 0 {
		if err := c.Validate(); err != nil {
			r.fail(process.node, "%v", err)
		}
	}
}

// checkAddress checks a host and port. The host is an IP address: the name service may not be there when it is wanted.
func (r *reader) checkAddress(n *node, text string, listen bool) {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		r.fail(n, "is %q, not an address and a port such as 127.0.0.1:8080", text)
		return
	}
	if _, err := netip.ParseAddr(host); err != nil && (!listen || host != "") {
		r.fail(n, "has the host %q, which is no IP address", host)
	}
	if p, err := strconv.ParseUint(port, 10, 16); err != nil || p == 0 && !listen {
		r.fail(n, "has the port %q, which is no number from 1 to 65535", port)
	}
}

var idempotencies = map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}

var dedupScopes = map[string]policy.DedupScope{"all": policy.DedupEverywhere, "zone": policy.DedupZone, "cell": policy.DedupCell}

// pool reads the table of one pool.
func (r *reader) pool(name string, s *section) gateway.Pool {
	p := gateway.Pool{Name: name}
	c := &p.Settings.Config
	p.Limits.Weight = s.number("weight", 1, 0.001, 1000)
	c.Zone = s.text("zone", "")
	c.InstanceCount = int(s.integer("instances", 1, 1, maxCount))
	c.InstanceIndex = int(s.integer("instance", 0, 0, maxCount))
	if c.InstanceIndex >= c.InstanceCount {
		r.fail(s.nodeAt("instance"), "is %d; counted from 0, it must be below instances, which is %d", c.InstanceIndex, c.InstanceCount)
	}
	c.TimerResolution = time.Millisecond
	c.ResponseGrace = 20 * time.Millisecond
	plainHTTP := s.choice("protocol", "platform", "platform", "http") == "http"

	p.Discovery = s.text("discovery", "")
	if p.Discovery != "" {
		r.checkAddress(s.nodeAt("discovery"), p.Discovery, false)
	}
	servers := s.tables("servers")
	switch {
	case s.has("discovery") && s.has("servers"):
		r.fail(s.nodeAt("servers"), "the pool has two lists: this one and that of discovery (line %d)", s.nodeAt("discovery").line)
	case p.Discovery == "" && len(servers) == 0:
		r.fail(s.node, "the pool has no list: give it discovery or servers")
	}
	seen := map[string]bool{}
	for _, e := range servers {
		entry := discovery.Endpoint{
			ID: e.requiredText("name"), Address: e.requiredText("address"), Zone: e.text("zone", ""), Health: "active",
			Cell: int(e.integer("cell", 0, 0, maxCount)), Weight: e.number("weight", 1, 0, 1000),
		}
		if e.choice("state", "ready", "ready", "draining") == "draining" {
			entry.Health = "leaving"
		}
		e.finish()
		if entry.Address != "" {
			r.checkAddress(e.nodeAt("address"), entry.Address, false)
		}
		if seen[entry.ID] {
			r.fail(e.nodeAt("name"), "server %q is there twice", entry.ID)
		}
		seen[entry.ID] = true
		p.StaticEndpoints = append(p.StaticEndpoints, entry)
	}

	limits := s.table("limits")
	p.Limits.Rate = limits.number("rate", 0, 0, 1e9)
	p.Limits.Burst = limits.number("burst", math.Max(1, math.Ceil(p.Limits.Rate/10)), 1, 1e9)
	p.Limits.OpenRequests = limits.integer("open", 0, 0, maxCount)
	p.Limits.BodyBytes = limits.size("bodies", 0, 0, 1<<40)
	if p.Limits.BodyBytes > 0 && p.Limits.BodyBytes < httpmsg.MaxBufferedBodyBytes {
		r.fail(limits.nodeAt("bodies"), "is below %s, the longest body: such a request would always be refused", formatSize(httpmsg.MaxBufferedBodyBytes))
	}
	p.Limits.Descriptors = limits.integer("descriptors", 0, 0, maxCount)
	p.Limits.QueueWithoutEndpoints = limits.boolean("wait_for_servers", false)
	limits.finish()

	attempts := s.table("attempts")
	c.MaxAttempts = int(attempts.integer("max", 3, 1, 10))
	c.HedgingAllowed = attempts.boolean("second_copies", true)
	c.CancellationAllowed = attempts.boolean("cancel", true)
	c.DialTimeout = attempts.duration("dial_timeout", 250*time.Millisecond, time.Millisecond, time.Minute)
	c.ConnIdle = attempts.duration("idle", 5*time.Second, 0, time.Hour)
	attempts.finish()

	refusals := s.table("refusals")
	c.RetryAfterHonored = refusals.boolean("retry_after", true)
	c.MaxRetryAfter = refusals.duration("most_retry_after", 1500*time.Millisecond, 0, time.Hour)
	refusals.finish()

	probes := s.table("probes")
	c.HealthChecksAllowed = probes.boolean("allowed", true)
	c.HealthCheckCost = probes.number("cost", 0.05, 0, 100)
	probes.finish()
	var dialect httpservice.Config
	if plainHTTP {
		dialect = r.httpService(s, &p)
	}

	reports := s.table("reports")
	c.InlineLoadReports = reports.choice("via", "answers", "answers", "probes") == "answers"
	if p.Settings.LoadReportFields = reports.texts("fields"); !reports.has("fields") {
		p.Settings.LoadReportFields = []string{"inflight", "queue", "util"}
		reports.record("fields", `["inflight", "queue", "util"]`, true)
	}
	reports.finish()

	safety := s.table("safety")
	c.PollInterval = safety.duration("ask_every", 10*time.Second, 10*time.Millisecond, time.Hour)
	c.SlowStartMinCapacity = safety.number("cold_from", 0.2, 0, 1)
	c.SlowStartDuration = safety.duration("ramp", 10*time.Second, 0, time.Hour)
	safety.finish()

	costs := s.table("costs")
	c.ConnectionCost = costs.number("connection", 0, 0, 100)
	c.HandshakeCost = costs.number("handshake", 0, 0, 100)
	c.CrossZoneCost = costs.number("cross_zone", 0, 0, 100)
	c.OverQuotaWeight = costs.number("over_share_worth", 0.1, 0, 1)
	costs.finish()

	classes := s.tables("classes")
	if len(classes) == 0 && !plainHTTP {
		r.fail(s.nodeAt("classes"), "is missing: no request could be told safe to repeat")
	}
	named := map[string]bool{}
	if plainHTTP {
		r.httpServiceClasses(s, &p, dialect, classes)
		classes = nil
	}
	for _, t := range classes {
		c.Classes = append(c.Classes, r.class(t))
		if class := &c.Classes[len(c.Classes)-1]; named[class.Name] {
			r.fail(t.nodeAt("name"), "class %q is there twice", class.Name)
		} else {
			named[class.Name] = true
		}
	}
	tenants := map[string]bool{}
	for _, t := range s.tables("tenants") {
		tenant := policy.Tenant{Name: t.requiredText("name"), RateQuota: t.number("rate", 0, 0, 1e9)}
		t.finish()
		if tenants[tenant.Name] {
			r.fail(t.nodeAt("name"), "tenant %q is there twice", tenant.Name)
		}
		tenants[tenant.Name] = true
		c.Tenants = append(c.Tenants, tenant)
	}
	return p
}

// class reads the table of one class.
func (r *reader) class(s *section) policy.Class {
	c := policy.Class{Name: s.requiredText("name")}
	if strings.ContainsAny(c.Name, "/%?# ") {
		r.fail(s.nodeAt("name"), "class %q cannot be the first segment of a path", c.Name)
	}
	r.classAttributes(s, &c, "")
	s.finish()
	return c
}

// classAttributes reads what a class is beside its name; effect is the default.
func (r *reader) classAttributes(s *section, c *policy.Class, effect string) {
	effect = s.choice("effect", effect, "safe", "keyed", "unsafe")
	c.Idempotency = idempotencies[effect]
	c.LatencyObjective = s.duration("aim", 300*time.Millisecond, time.Millisecond, day)
	c.Deadline = s.duration("deadline", max(time.Second, c.LatencyObjective), time.Millisecond, day)
	if c.Deadline < c.LatencyObjective {
		r.fail(s.nodeAt("deadline"), "is %v, below the aim of %v", c.Deadline, c.LatencyObjective)
	}
	c.PriorityWeight = s.number("worth", 1, 0, 1e9)
	c.LateWeightFraction = s.number("late_share", 0.3, 0, 1)
	if effect == "keyed" {
		c.DedupScope = dedupScopes[s.choice("repeats_dropped_by", "all", "all", "zone", "cell")]
		c.DedupWindow = s.duration("repeats_dropped_for", 30*time.Second, 0, day)
		if s.boolean("repeats_dropped_at_both_sites", false) {
			if c.DedupScope != policy.DedupEverywhere {
				r.fail(s.nodeAt("repeats_dropped_at_both_sites"), "needs repeats_dropped_by = \"all\"")
			}
			r.sharedDedupClasses = append(r.sharedDedupClasses, c.Name)
		}
	} else {
		for _, key := range []string{"repeats_dropped_by", "repeats_dropped_for", "repeats_dropped_at_both_sites"} {
			if n := s.get(key); n != nil {
				r.fail(n, "only a class of effect \"keyed\" has repeats dropped")
			}
		}
	}
}

// readRoutes reads the routes. Without any, the only pool gets all requests.
func (f *File) readRoutes(r *reader, pools []string, sections []*section) {
	s := f.root
	tables := s.tables("routes")
	c := &f.Gateway
	named := map[string]int{}
	used := map[string]bool{}
	for _, t := range tables {
		rt := route.Route{
			Name: t.requiredText("name"), Hosts: t.texts("hosts"), Path: t.text("path", "/"), Classes: t.texts("classes"),
			Pool: t.requiredText("pool"), Strip: t.boolean("strip_path", false),
		}
		t.finish()
		if line, had := named[rt.Name]; had && rt.Name != "" {
			r.fail(t.nodeAt("name"), "is %q, as that of the route in line %d", rt.Name, line)
		}
		named[rt.Name] = t.node.line
		if rt.Pool != "" {
			r.checkKnown(t.nodeAt("pool"), "pool", rt.Pool, pools)
		}
		used[rt.Pool] = true
		c.Routes = append(c.Routes, rt)
	}
	if len(tables) == 0 && len(pools) > 1 {
		r.fail(s.nodeAt("routes"), "is missing: with several pools, routes say which requests are for which")
	}
	if len(tables) > 0 {
		for i, name := range pools {
			if !used[name] {
				r.fail(sections[i].node, "no route leads to the pool %q", name)
			}
		}
	}
	_, problems := route.New(c.Routes)
	for _, p := range problems {
		r.fail(tables[p.Route].nodeAt(p.Key), "%s", p.Text)
	}
}

// checkKnown checks that there is a thing of that name.
func (r *reader) checkKnown(n *node, what, name string, all []string) {
	for _, a := range all {
		if a == name {
			return
		}
	}
	if near := nearest(name, all); near != "" {
		r.fail(n, "there is no %s %q; did you mean %q?", what, name, near)
	} else {
		r.fail(n, "there is no %s %q", what, name)
	}
}
