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

// mostFile bounds a file: 1,000 pools take some 1 MiB.
const mostFile = 16 << 20

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
	if info.Size() > mostFile {
		return nil, fmt.Errorf("%s has %d bytes, over %d", path, info.Size(), mostFile)
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
	day       = 24 * time.Hour
	mostCount = 1 << 20
)

func (f *File) read(r *reader) {
	s := f.root
	c := &f.Gateway
	process := s.table("process")
	c.Name = process.str("name", "sorrelrudder")
	c.MemoryMB = int(process.size("memory", 192<<20, gateway.MinMemoryMB<<20, 1<<40) >> 20)
	c.StatsInterval = process.duration("figures_every", 0, 0, time.Hour)
	c.Descriptors = int(process.whole("descriptors", 1024, gateway.MinDescriptors, mostCount))
	f.Cores = int(process.whole("cores", 1, 1, 256))
	process.done()

	listeners := s.tables("listeners")
	if len(listeners) == 0 {
		r.bad(s.at("listeners"), "is missing: clients could not connect")
	}
	taken := map[string]*section{}
	for _, l := range listeners {
		name, address := l.needed("name"), l.needed("address")
		foreign := l.boolean("sites", false)
		tls, plain := r.listenerTLS(f, l)
		l.done()
		if foreign && (tls != gateway.TLS{} || plain) {
			r.bad(l.at("sites"), "is for peers, whose TLS [site.tls] says")
		}
		if foreign && !s.has("site") {
			r.bad(l.at("sites"), "is for peers, and there is no [site]")
		}
		if address != "" {
			r.address(l.at("address"), address, true)
		}
		if other := taken[name]; other != nil && name != "" {
			r.bad(l.at("name"), "is %q, as that of the listener in line %d", name, other.n.line)
		}
		taken[name] = l
		c.Listeners = append(c.Listeners, gateway.Listener{Name: name, Address: address, InterSite: foreign, TLS: tls, H2C: plain})
	}

	f.site(r)
	names, pools := s.named("pools")
	if len(pools) == 0 && (!s.has("pools") || s.at("pools").kind == isTable) {
		r.bad(s.at("pools"), "is missing: there is nowhere to send requests")
	}
	for i, p := range pools {
		if names[i] == "" {
			r.bad(p.n, "a pool without a name")
		}
		c.Pools = append(c.Pools, r.pool(names[i], p))
		f.spill(r, names[i], p, &c.Pools[i])
	}
	f.routes(r, names, pools)
	f.tier(r)
	s.done()
	if len(r.errs) == 0 {
		if err := c.Validate(); err != nil {
			r.bad(process.n, "%v", err)
		}
	}
}

// address checks a host and port. The host is an IP address: the name service may not be there when it is wanted.
func (r *reader) address(n *node, text string, listen bool) {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		r.bad(n, "is %q, not an address and a port such as 127.0.0.1:8080", text)
		return
	}
	if _, err := netip.ParseAddr(host); err != nil && (!listen || host != "") {
		r.bad(n, "has the host %q, which is no IP address", host)
	}
	if p, err := strconv.ParseUint(port, 10, 16); err != nil || p == 0 && !listen {
		r.bad(n, "has the port %q, which is no number from 1 to 65535", port)
	}
}

var effects = map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}

var groups = map[string]policy.DedupScope{"all": policy.DedupEverywhere, "zone": policy.DedupZone, "cell": policy.DedupCell}

// pool reads the table of one pool.
func (r *reader) pool(name string, s *section) gateway.Pool {
	p := gateway.Pool{Name: name}
	c := &p.Settings.Config
	p.Limits.Weight = s.number("weight", 1, 0.001, 1000)
	c.Zone = s.str("zone", "")
	c.InstanceCount = int(s.whole("instances", 1, 1, mostCount))
	c.InstanceIndex = int(s.whole("instance", 0, 0, mostCount))
	if c.InstanceIndex >= c.InstanceCount {
		r.bad(s.at("instance"), "is %d; counted from 0, it must be below instances, which is %d", c.InstanceIndex, c.InstanceCount)
	}
	c.TimerResolution = time.Millisecond
	c.ResponseGrace = 20 * time.Millisecond
	plainHTTP := s.word("protocol", "platform", "platform", "http") == "http"

	p.Discovery = s.str("discovery", "")
	if p.Discovery != "" {
		r.address(s.at("discovery"), p.Discovery, false)
	}
	servers := s.tables("servers")
	switch {
	case s.has("discovery") && s.has("servers"):
		r.bad(s.at("servers"), "the pool has two lists: this one and that of discovery (line %d)", s.at("discovery").line)
	case p.Discovery == "" && len(servers) == 0:
		r.bad(s.n, "the pool has no list: give it discovery or servers")
	}
	seen := map[string]bool{}
	for _, e := range servers {
		entry := discovery.Endpoint{
			ID: e.needed("name"), Address: e.needed("address"), Zone: e.str("zone", ""), Health: "active",
			Cell: int(e.whole("cell", 0, 0, mostCount)), Weight: e.number("weight", 1, 0, 1000),
		}
		if e.word("state", "ready", "ready", "draining") == "draining" {
			entry.Health = "leaving"
		}
		e.done()
		if entry.Address != "" {
			r.address(e.at("address"), entry.Address, false)
		}
		if seen[entry.ID] {
			r.bad(e.at("name"), "server %q is there twice", entry.ID)
		}
		seen[entry.ID] = true
		p.StaticEndpoints = append(p.StaticEndpoints, entry)
	}

	limits := s.table("limits")
	p.Limits.Rate = limits.number("rate", 0, 0, 1e9)
	p.Limits.Burst = limits.number("burst", math.Max(1, math.Ceil(p.Limits.Rate/10)), 1, 1e9)
	p.Limits.OpenRequests = limits.whole("open", 0, 0, mostCount)
	p.Limits.BodyBytes = limits.size("bodies", 0, 0, 1<<40)
	if p.Limits.BodyBytes > 0 && p.Limits.BodyBytes < httpmsg.MaxBufferedBodyBytes {
		r.bad(limits.at("bodies"), "is below %s, the longest body: such a request would always be refused", formatSize(httpmsg.MaxBufferedBodyBytes))
	}
	p.Limits.Descriptors = limits.whole("descriptors", 0, 0, mostCount)
	p.Limits.QueueWithoutEndpoints = limits.boolean("wait_for_servers", false)
	limits.done()

	attempts := s.table("attempts")
	c.MaxAttempts = int(attempts.whole("max", 3, 1, 10))
	c.HedgingAllowed = attempts.boolean("second_copies", true)
	c.CancellationAllowed = attempts.boolean("cancel", true)
	c.DialTimeout = attempts.duration("dial_timeout", 250*time.Millisecond, time.Millisecond, time.Minute)
	c.ConnIdle = attempts.duration("idle", 5*time.Second, 0, time.Hour)
	attempts.done()

	refusals := s.table("refusals")
	c.RetryAfterHonored = refusals.boolean("retry_after", true)
	c.MaxRetryAfter = refusals.duration("most_retry_after", 1500*time.Millisecond, 0, time.Hour)
	refusals.done()

	probes := s.table("probes")
	c.HealthChecksAllowed = probes.boolean("allowed", true)
	c.HealthCheckCost = probes.number("cost", 0.05, 0, 100)
	probes.done()
	var dialect httpservice.Config
	if plainHTTP {
		dialect = r.plain(s, &p)
	}

	reports := s.table("reports")
	c.InlineLoadReports = reports.word("via", "answers", "answers", "probes") == "answers"
	if p.Settings.LoadReportFields = reports.strs("fields"); !reports.has("fields") {
		p.Settings.LoadReportFields = []string{"inflight", "queue", "util"}
		reports.print("fields", `["inflight", "queue", "util"]`, true)
	}
	reports.done()

	safety := s.table("safety")
	c.PollInterval = safety.duration("ask_every", 10*time.Second, 10*time.Millisecond, time.Hour)
	c.SlowStartMinCapacity = safety.number("cold_from", 0.2, 0, 1)
	c.SlowStartDuration = safety.duration("ramp", 10*time.Second, 0, time.Hour)
	safety.done()

	costs := s.table("costs")
	c.ConnectionCost = costs.number("connection", 0, 0, 100)
	c.HandshakeCost = costs.number("handshake", 0, 0, 100)
	c.CrossZoneCost = costs.number("cross_zone", 0, 0, 100)
	c.OverQuotaWeight = costs.number("over_share_worth", 0.1, 0, 1)
	costs.done()

	classes := s.tables("classes")
	if len(classes) == 0 && !plainHTTP {
		r.bad(s.at("classes"), "is missing: no request could be told safe to repeat")
	}
	named := map[string]bool{}
	if plainHTTP {
		r.plainClasses(s, &p, dialect, classes)
		classes = nil
	}
	for _, t := range classes {
		c.Classes = append(c.Classes, r.class(t))
		if class := &c.Classes[len(c.Classes)-1]; named[class.Name] {
			r.bad(t.at("name"), "class %q is there twice", class.Name)
		} else {
			named[class.Name] = true
		}
	}
	tenants := map[string]bool{}
	for _, t := range s.tables("tenants") {
		tenant := policy.Tenant{Name: t.needed("name"), RateQuota: t.number("rate", 0, 0, 1e9)}
		t.done()
		if tenants[tenant.Name] {
			r.bad(t.at("name"), "tenant %q is there twice", tenant.Name)
		}
		tenants[tenant.Name] = true
		c.Tenants = append(c.Tenants, tenant)
	}
	return p
}

// class reads the table of one class.
func (r *reader) class(s *section) policy.Class {
	c := policy.Class{Name: s.needed("name")}
	if strings.ContainsAny(c.Name, "/%?# ") {
		r.bad(s.at("name"), "class %q cannot be the first segment of a path", c.Name)
	}
	r.classOf(s, &c, "")
	s.done()
	return c
}

// classOf reads what a class is beside its name; effect is the default.
func (r *reader) classOf(s *section, c *policy.Class, effect string) {
	effect = s.word("effect", effect, "safe", "keyed", "unsafe")
	c.Idempotency = effects[effect]
	c.LatencyObjective = s.duration("aim", 300*time.Millisecond, time.Millisecond, day)
	c.Deadline = s.duration("deadline", max(time.Second, c.LatencyObjective), time.Millisecond, day)
	if c.Deadline < c.LatencyObjective {
		r.bad(s.at("deadline"), "is %v, below the aim of %v", c.Deadline, c.LatencyObjective)
	}
	c.PriorityWeight = s.number("worth", 1, 0, 1e9)
	c.LateWeightFraction = s.number("late_share", 0.3, 0, 1)
	if effect == "keyed" {
		c.DedupScope = groups[s.word("repeats_dropped_by", "all", "all", "zone", "cell")]
		c.DedupWindow = s.duration("repeats_dropped_for", 30*time.Second, 0, day)
		if s.boolean("repeats_dropped_at_both_sites", false) {
			if c.DedupScope != policy.DedupEverywhere {
				r.bad(s.at("repeats_dropped_at_both_sites"), "needs repeats_dropped_by = \"all\"")
			}
			r.reaches = append(r.reaches, c.Name)
		}
	} else {
		for _, key := range []string{"repeats_dropped_by", "repeats_dropped_for", "repeats_dropped_at_both_sites"} {
			if n := s.get(key); n != nil {
				r.bad(n, "only a class of effect \"keyed\" has repeats dropped")
			}
		}
	}
}

// routes reads the routes. Without any, the only pool gets all requests.
func (f *File) routes(r *reader, pools []string, sections []*section) {
	s := f.root
	tables := s.tables("routes")
	c := &f.Gateway
	named := map[string]int{}
	used := map[string]bool{}
	for _, t := range tables {
		rt := route.Route{
			Name: t.needed("name"), Hosts: t.strs("hosts"), Path: t.str("path", "/"), Classes: t.strs("classes"),
			Pool: t.needed("pool"), Strip: t.boolean("strip_path", false),
		}
		t.done()
		if line, had := named[rt.Name]; had && rt.Name != "" {
			r.bad(t.at("name"), "is %q, as that of the route in line %d", rt.Name, line)
		}
		named[rt.Name] = t.n.line
		if rt.Pool != "" {
			r.known(t.at("pool"), "pool", rt.Pool, pools)
		}
		used[rt.Pool] = true
		c.Routes = append(c.Routes, rt)
	}
	if len(tables) == 0 && len(pools) > 1 {
		r.bad(s.at("routes"), "is missing: with several pools, routes say which requests are for which")
	}
	if len(tables) > 0 {
		for i, name := range pools {
			if !used[name] {
				r.bad(sections[i].n, "no route leads to the pool %q", name)
			}
		}
	}
	_, problems := route.New(c.Routes)
	for _, p := range problems {
		r.bad(tables[p.Route].at(p.Key), "%s", p.Text)
	}
}

// known checks that there is a thing of that name.
func (r *reader) known(n *node, what, name string, all []string) {
	for _, a := range all {
		if a == name {
			return
		}
	}
	if near := nearest(name, all); near != "" {
		r.bad(n, "there is no %s %q; did you mean %q?", what, name, near)
	} else {
		r.bad(n, "there is no %s %q", what, name)
	}
}
