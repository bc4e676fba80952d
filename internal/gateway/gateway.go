// Package gateway is the process: its listeners, its pools, which of them a request goes to, what they share, reloads and
// the drain at the end. The data's way is one way: client connection, route, pool, module, upstream connection, and back.
// The choices are made by packages route, share and policy; this package carries them out. It must not know how a
// configuration is written down.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/admin"
	"sorrelrudder/internal/discovery"
	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/pool"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/quota"
	"sorrelrudder/internal/route"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

const (
	// drainGrace is what the last answers may take beyond the longest deadline.
	drainGrace = 150 * time.Millisecond
	// multiPoolAcceptors is how many accept connections at each listener of several pools: a flood of one keeps them waiting
	// for descriptors. Each holds one.
	multiPoolAcceptors = 4
	// idleHandoverWindow is how long idle connections stay open for one more request where another process takes the new ones: most
	// clients ask again within it, and are told with their answer that it is the last on that connection.
	idleHandoverWindow = time.Second
	// adminCloseTimeout is how long calls of operators may take once all else has ended.
	adminCloseTimeout = 100 * time.Millisecond
	// drainPollInterval is how often a pool that drains is looked at.
	drainPollInterval = 5 * time.Millisecond
	// lagInterval is how often the lateness of the process is measured while several pools share its processor.
	lagInterval = 5 * time.Millisecond
)

// Gateway is one process.
type Gateway struct {
	log           *slog.Logger
	clockStart    time.Time
	descriptors   *process.Descriptors
	server        *downstream.Server
	extension     Extension // nil: none
	protocols     ListenerProtocols
	siteServer    *downstream.Server // of the listeners of other sites; nil without an extension
	table         atomic.Pointer[routingTable]
	counters      metrics.RequestCounters // of all pools, also those that have gone
	listening     atomic.Bool
	draining      atomic.Bool
	adminServer   *admin.Server // nil: none
	multiplePools chan struct{} // closed once there has been more than one pool

	ctx        context.Context // ends with Run
	stop       context.CancelFunc
	drainTasks sync.WaitGroup // pools that are drained and closed

	configMu       sync.Mutex // one configuration at a time
	cfg            Config
	listeners      map[Listener]*openListener
	lastPoolKey    quota.PoolID
	stopped        bool
	exclusions     map[string]exclusionSet // servers that take nothing new, by order, by pool
	onUnresponsive atomic.Pointer[func(pool, server string, is bool)]

	// What the pools share. No method of a pool is called under shares: pools call back.
	quotaMu     sync.Mutex
	admission   *quota.Admission
	pacer       *quota.Pacer
	connections quota.Budget               // connections of clients; those that have brought no request are nobody's
	retired     map[*poolInstance]struct{} // by a reload, and not yet gone
}

// unassignedPool owns the connections that have brought no request yet. No pool has this key.
const unassignedPool quota.PoolID = 0

// routingTable is how requests find their pool. It is replaced whole.
type routingTable struct {
	routes *route.Table // nil: all requests are for only
	only   *poolInstance
	pools  map[string]*poolInstance
}

// poolInstance is a pool of the process.
type poolInstance struct {
	key    quota.PoolID
	policy policy.Config // what its clients may be told
	cfg    Pool          // Gateway.applying
	pool   *pool.Pool
	static *discovery.Static // nil if there is a discovery

	spillover Spillover // nil: its requests go nowhere else
}

// openListener is an open listener.
type openListener struct {
	*drainableListener
	served     net.Listener // what the server knows it as
	acceptDone chan error   // of its accepting
	port       downstream.ListenerOptions
}

// New makes a gateway of cfg. It opens no socket for clients; its pools begin to ask for their lists.
func New(cfg Config, log *slog.Logger) (*Gateway, error) { return NewWithExtension(cfg, log, nil) }

// NewWithExtension makes a gateway with an extension, which may be nil.
func NewWithExtension(cfg Config, log *slog.Logger, x Extension) (*Gateway, error) {
	return NewWithProtocols(cfg, log, x, ListenerProtocols{})
}

// NewWithProtocols makes one that speaks more at its listeners.
func NewWithProtocols(cfg Config, log *slog.Logger, x Extension, sp ListenerProtocols) (*Gateway, error) {
	g := &Gateway{
		log: log, clockStart: time.Now().Add(-time.Hour), descriptors: process.NewDescriptors(cfg.Descriptors),
		multiplePools: make(chan struct{}), listeners: map[Listener]*openListener{}, retired: map[*poolInstance]struct{}{},
		admission: quota.NewAdmission(0, 0), pacer: quota.NewPacer(), connections: quota.NewBudget(0),
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.protocols = sp
	g.server = downstream.NewServerWithOptions((*handler)(g), g.descriptors, log, downstream.Options{Multiplexed: sp.Multiplexed})
	g.descriptors.SetClientEvictor(g.server.Evict)
	if x != nil {
		g.extension = x
		g.siteServer = downstream.NewServerWithOptions(x.Handler(g), g.descriptors, log, downstream.Options{PeerName: x.PeerName, LongLived: true})
		g.descriptors.SetClientEvictor(func() bool { return g.server.Evict() || g.siteServer.Evict() })
	}
	g.table.Store(&routingTable{})
	if err := g.apply(cfg, false); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// StartAdmin opens the operators' door, if there is to be one, before the process takes clients.
func (g *Gateway) StartAdmin() (err error) {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	if g.cfg.AdminAddress != "" && g.adminServer == nil {
		g.adminServer, err = admin.Listen(g.cfg.AdminAddress, g, g.log)
	}
	return err
}

// AdminAddr is where the operators' door is, or nil.
func (g *Gateway) AdminAddr() net.Addr {
	if g.adminServer == nil {
		return nil
	}
	return g.adminServer.Addr()
}

// Listen opens the listeners, and the door if it is not open yet.
func (g *Gateway) Listen() error {
	if err := g.StartAdmin(); err != nil {
		return err
	}
	g.configMu.Lock()
	defer g.configMu.Unlock()
	opened, err := g.openListeners(g.cfg.Listeners)
	if err != nil {
		return err
	}
	g.startAccepting(opened)
	g.listening.Store(true)
	return nil
}

// ListenerAddr is where the listener of that name listens, or nil.
func (g *Gateway) ListenerAddr(name string) net.Addr {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	for l, ln := range g.listeners {
		if l.Name == name {
			return ln.Addr()
		}
	}
	return nil
}

// Apply takes over a configuration that has replaced the one in force, under load. Pools that are in it no more drain: what
// they took is answered, and nothing new comes to them. One whose settings have changed is replaced by a new instance that
// knows its list; where only its limits, its list or the source of that have changed, the instance stays. With an error all
// that ran before runs on unchanged.
func (g *Gateway) Apply(next Config) error {
	return g.apply(next, g.listening.Load())
}

func (g *Gateway) apply(next Config, listen bool) error {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	if g.stopped {
		return errors.New("the process is ending")
	}
	if err := next.Validate(); err != nil {
		return err
	}
	if g.extension == nil && slices.ContainsFunc(next.Listeners, func(l Listener) bool { return l.InterSite }) {
		return errors.New("a listener for other sites, which this process was not started with")
	}
	routes, problems := route.New(next.Routes)
	if len(problems) > 0 {
		return problems[0]
	}
	var opened map[Listener]*openListener
	if listen {
		var err error
		if opened, err = g.openListeners(next.Listeners); err != nil {
			return err
		}
	}
	before := g.table.Load()
	now := &routingTable{pools: map[string]*poolInstance{}}
	if len(next.Routes) > 0 {
		now.routes = routes
	}
	var fresh []*poolInstance
	for _, p := range next.Pools {
		m := before.pools[p.Name]
		if m == nil || !reflect.DeepEqual(m.cfg.Settings, p.Settings) || !reflect.DeepEqual(m.cfg.Dialect, p.Dialect) {
			var err error
			if m, err = g.startPool(next, p, m); err != nil {
				for _, m := range fresh {
					g.dropQuotas(m)
					m.pool.Close()
				}
				for _, ln := range opened {
					ln.Close()
				}
				return fmt.Errorf("pool %q: %w", p.Name, err)
			}
			fresh = append(fresh, m)
		}
		now.pools[p.Name] = m
		now.only = m
	}
	// Nothing fails from here on.
	g.assignQuotas(next, now)
	for _, p := range next.Pools {
		if m := now.pools[p.Name]; !slices.Contains(fresh, m) {
			m.setSource(p)
			m.cfg = p
		}
	}
	g.table.Store(now)
	for name, m := range before.pools {
		if now.pools[name] != m {
			g.retirePool(m)
		}
	}
	if len(now.pools) > 1 {
		select {
		case <-g.multiplePools:
		default:
			close(g.multiplePools)
		}
	}
	if listen {
		for l, ln := range g.listeners {
			if !slices.Contains(next.Listeners, l) {
				delete(g.listeners, l)
				g.closeListener(l, ln)
			}
		}
		g.startAccepting(opened)
	}
	g.cfg = next
	return nil
}

// startPool starts a pool, which takes the place of old if there is one.
func (g *Gateway) startPool(c Config, p Pool, old *poolInstance) (*poolInstance, error) {
	g.lastPoolKey++
	m := &poolInstance{key: g.lastPoolKey, policy: p.Settings.Config, cfg: p}
	up := upstream.New(p.Settings.Config, g.descriptors.Pool(m.key))
	cl := c.quotasFor(p)
	cl.admission.Forwardable = g.hasSpillover(p.Name)
	// Its parts are set before it starts, as it may probe at once; of what is taken by others it may find little left
	// until resize.
	g.descriptors.Register(m.key, cl.descriptors, up.EvictIdle)
	g.quotaMu.Lock()
	g.admission.Set(g.now(), m.key, cl.admission)
	g.connections.Set(m.key, cl.connections)
	g.pacer.Set(m.key, p.Limits.Weight)
	g.quotaMu.Unlock()
	known := p.CachedList
	if old != nil {
		known = old.pool.EndpointList()
	}
	cfg := pool.Config{
		Name: p.Name, Settings: p.Settings, Protocol: p.Dialect, CachedList: known, Seed: p.Seed, OnReadyCount: func(n int) {
			g.quotaMu.Lock()
			defer g.quotaMu.Unlock()
			g.admission.SetReady(m.key, n)
		},
		StatsInterval: c.StatsInterval, Metrics: &g.counters, AcceptsRequests: func() bool {
			g.quotaMu.Lock()
			defer g.quotaMu.Unlock()
			return g.admission.CanServe(m.key)
		},
	}
	if g.extension != nil {
		if m.spillover = g.extension.Spillover(p.Name); m.spillover != nil {
			cfg.ForwardRejected = m.spillover.Forward
		}
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	cfg.OnUnreachable = func(server string, is bool) {
		if f := g.onUnresponsive.Load(); f != nil {
			(*f)(p.Name, server, is)
		}
	}
	if p.Discovery != "" {
		cfg.Source = p.discoverySource()
	} else {
		m.static = discovery.NewStatic(p.StaticEndpoints)
		cfg.Source, cfg.CachedList = m.static, m.static.List()
	}
	log := g.log
	if len(c.Pools) > 1 {
		log = log.With("pool", p.Name)
	}
	var err error
	if m.pool, err = pool.New(cfg, up, log); err != nil {
		g.dropQuotas(m)
		return nil, err
	}
	if o := g.exclusions[p.Name]; len(o.excluded) > 0 {
		m.pool.SetExcluded(o.excluded, o.returning, o.soft)
	}
	return m, nil
}

// discoverySource is where the list of p comes from.
func (p *Pool) discoverySource() discovery.Source {
	return discovery.Client{Address: p.Discovery, Staleness: p.Settings.ListStaleness()}
}

// setSource takes over where the list of a pool that stays comes from.
func (m *poolInstance) setSource(p Pool) {
	switch {
	case p.Discovery != "":
		if p.Discovery != m.cfg.Discovery {
			m.static = nil
			m.pool.SetSource(p.discoverySource())
		}
	case m.static == nil:
		m.static = discovery.NewStatic(p.StaticEndpoints)
		m.pool.SetSource(m.static)
	case !reflect.DeepEqual(p.StaticEndpoints, m.cfg.StaticEndpoints):
		m.static.Set(p.StaticEndpoints)
	}
}

// assignQuotas gives all pools of t their parts of what the process has.
func (g *Gateway) assignQuotas(c Config, t *routingTable) {
	g.descriptors.Resize(c.usableDescriptors())
	g.quotaMu.Lock()
	defer g.quotaMu.Unlock()
	clients := process.MaxClientDescriptors(c.usableDescriptors())
	g.admission.Resize(clients, c.bodyMemory())
	g.connections.Resize(clients)
	g.connections.Set(unassignedPool, c.unassignedClaim())
	for _, p := range c.Pools {
		m, cl := t.pools[p.Name], c.quotasFor(p)
		cl.admission.Forwardable = g.hasSpillover(p.Name)
		g.descriptors.SetClaim(m.key, cl.descriptors)
		g.admission.Set(g.now(), m.key, cl.admission)
		g.connections.Set(m.key, cl.connections)
		g.pacer.Set(m.key, p.Limits.Weight)
	}
}

// dropQuotas ends all claims of a pool. What it still holds is given back as it ends.
func (g *Gateway) dropQuotas(m *poolInstance) {
	g.descriptors.Unregister(m.key)
	g.quotaMu.Lock()
	defer g.quotaMu.Unlock()
	g.admission.Remove(m.key)
	g.connections.Remove(m.key)
	g.pacer.Remove(m.key)
}

// retirePool ends a pool once what it took is answered. Its requests may go on to open connections, within what is left over.
func (g *Gateway) retirePool(m *poolInstance) {
	g.quotaMu.Lock()
	g.admission.Remove(m.key)
	g.connections.Remove(m.key)
	g.pacer.Remove(m.key)
	g.retired[m] = struct{}{}
	g.quotaMu.Unlock()
	g.descriptors.SetClaim(m.key, quota.Claim{Limit: quota.Unlimited})
	g.log.Info("pool drains", "pool", m.cfg.Name, "load", m.pool.String())
	g.drainTasks.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, m.pool.MaxDeadline()+drainGrace)
		defer cancel()
		err := g.awaitDrained(ctx, m)
		m.pool.Close()
		g.descriptors.Unregister(m.key)
		g.log.Info("pool removed", "pool", m.cfg.Name, "err", err)
		g.quotaMu.Lock()
		defer g.quotaMu.Unlock()
		delete(g.retired, m)
	})
}

// awaitDrained returns once pool m, to which nothing new is led, has neither a request nor one whose body is still to come.
func (g *Gateway) awaitDrained(ctx context.Context, m *poolInstance) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		requests, _, _ := m.pool.Counts()
		g.quotaMu.Lock()
		admitted := g.admission.OpenRequests(m.key)
		g.quotaMu.Unlock()
		if requests == 0 && admitted == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// configureTLS makes what listener l is to speak.
func (g *Gateway) configureTLS(l Listener, at *openListener) error {
	at.port.H2C = l.H2C
	if l.TLS == (TLS{}) {
		return nil
	}
	if g.protocols.TLSConfig == nil {
		return errors.New("this process speaks no TLS")
	}
	var err error
	at.port.TLS, err = g.protocols.TLSConfig(g.ctx, l.TLS)
	return err
}

// open opens the listener, or takes over an inherited one.
func (l Listener) open() (*net.TCPListener, error) {
	var ln net.Listener
	var err error
	if l.FD > 0 {
		file := os.NewFile(uintptr(l.FD), l.Name)
		if file == nil {
			return nil, fmt.Errorf("descriptor %d is none", l.FD)
		}
		ln, err = net.FileListener(file) // a copy of the descriptor, so that the inherited one need not stay open
		file.Close()
	} else {
		ln, err = net.Listen("tcp", l.Address)
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d is no TCP socket", l.FD)
	}
	return tcp, nil
}

// openListeners opens those of want that are not open yet.
func (g *Gateway) openListeners(want []Listener) (map[Listener]*openListener, error) {
	opened := map[Listener]*openListener{}
	for _, l := range want {
		if g.listeners[l] != nil {
			continue
		}
		ln, err := l.open()
		if err != nil {
			for _, ln := range opened {
				ln.Close()
			}
			return nil, fmt.Errorf("listener %q: %w", l.Name, err)
		}
		at := &openListener{drainableListener: &drainableListener{TCPListener: ln, inherited: l.FD > 0}, acceptDone: make(chan error, 1)}
		at.served = at
		if err := g.configureTLS(l, at); err != nil {
			ln.Close()
			for _, ln := range opened {
				ln.Close()
			}
			return nil, fmt.Errorf("listener %q: %w", l.Name, err)
		}
		if l.InterSite {
			at.served = g.extension.WrapListener(at)
		}
		opened[l] = at
	}
	return opened, nil
}

// startAccepting accepts connections at listeners.
func (g *Gateway) startAccepting(opened map[Listener]*openListener) {
	acceptors := 1
	if len(g.cfg.Pools) > 1 {
		acceptors = multiPoolAcceptors
	}
	for l, ln := range opened {
		g.listeners[l] = ln
		g.log.Info("ready", "name", g.cfg.Name, "listen", ln.Addr().String(), "listener", l.Name, "load", g.String())
		server := g.serverFor(l)
		go func() { ln.acceptDone <- server.ServeWithOptions(g.ctx, ln.served, acceptors, ln.port) }()
	}
}

// serverFor is who has the connections of a listener.
func (g *Gateway) serverFor(l Listener) *downstream.Server {
	if l.InterSite {
		return g.siteServer
	}
	return g.server
}

// closeListener drains a listener and the connections that came in there.
func (g *Gateway) closeListener(l Listener, ln *openListener) {
	ln.drain(time.Now().Add(acceptWindow))
	g.drainTasks.Go(func() {
		<-ln.acceptDone
		ln.Close()
		g.serverFor(l).DrainListener(ln.served)
		g.log.Info("listener closed", "listener", l.Name)
	})
}

// Run serves until ctx ends, and then drains. It returns once all that was taken is answered. Listen comes before it.
func (g *Gateway) Run(ctx context.Context) error {
	go g.measureSchedulingLag()
	defer g.Close()
	<-ctx.Done()
	g.draining.Store(true)
	g.log.Info("draining", "load", g.String())
	g.configMu.Lock()
	g.stopped = true
	longest := time.Duration(0)
	for _, m := range g.servingPools() {
		longest = max(longest, m.pool.MaxDeadline())
	}
	if g.cfg.MaxDrain > 0 {
		longest = min(longest, g.cfg.MaxDrain)
	}
	end, cancel := context.WithTimeout(context.Background(), acceptWindow+longest+drainGrace)
	defer cancel()
	defer time.AfterFunc(acceptWindow+longest, func() {
		for _, m := range g.servingPools() {
			m.pool.AbortRequests()
		}
	}).Stop()
	// Answers close their connections from here on, and idle ones are closed: a request that crosses that
	// comes again on a new connection, which is still accepted.
	if g.inheritsListener() {
		g.server.CloseAfterResponse()
		time.AfterFunc(idleHandoverWindow, g.server.Drain)
	} else {
		g.server.Drain()
	}
	if g.extension != nil {
		g.extension.Drain()
		g.siteServer.Drain()
	}
	until := time.Now().Add(acceptWindow)
	for _, ln := range g.listeners {
		ln.drain(until)
	}
	for _, ln := range g.listeners {
		select {
		case <-ln.acceptDone: // the backlog is empty
		case <-end.Done():
		}
		ln.Close()
	}
	g.configMu.Unlock()
	err := g.server.Wait(end)
	if g.siteServer != nil {
		err = errors.Join(err, g.siteServer.Wait(end))
	}
	g.log.Info("drained", "load", g.String(), "err", err)
	return nil
}

// servingPools is the pools that may have requests open: those in force, and those that a reload has retired.
func (g *Gateway) servingPools() []*poolInstance {
	g.quotaMu.Lock()
	defer g.quotaMu.Unlock()
	return slices.AppendSeq(slices.Collect(maps.Keys(g.retired)), maps.Values(g.table.Load().pools))
}

// inheritsListener reports whether clients reach another process where they reached this one, so that no connection need be closed on
// them at once. The caller holds applying.
func (g *Gateway) inheritsListener() bool {
	for l := range g.listeners {
		if l.FD > 0 {
			return true
		}
	}
	return false
}

// Done is closed once the process has ended what it had.
func (g *Gateway) Done() <-chan struct{} { return g.ctx.Done() }

// Close ends all at once. It is for a gateway that does not run, or has run.
func (g *Gateway) Close() {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	g.stopped = true
	g.stop()
	for l, ln := range g.listeners {
		ln.Close()
		delete(g.listeners, l)
	}
	t := g.table.Load()
	for _, m := range t.pools {
		m.pool.Close()
	}
	g.drainTasks.Wait()
	if g.adminServer != nil {
		ctx, cancel := context.WithTimeout(context.Background(), adminCloseTimeout)
		defer cancel()
		g.adminServer.Close(ctx)
	}
	if g.extension != nil {
		g.extension.Close()
	}
}

// measureSchedulingLag tells the pacer how late the process is, while several pools share it.
func (g *Gateway) measureSchedulingLag() {
	select {
	case <-g.multiplePools:
	case <-g.ctx.Done():
		return
	}
	tick := time.NewTimer(lagInterval)
	defer tick.Stop()
	for {
		due := time.Now().Add(lagInterval)
		tick.Reset(lagInterval)
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		}
		lag := time.Since(due)
		g.quotaMu.Lock()
		g.pacer.RecordLag(lag)
		g.quotaMu.Unlock()
	}
}

// now is the clock of what the pools share.
func (g *Gateway) now() time.Duration { return time.Since(g.clockStart) }

// Load is what the process holds.
type Load struct {
	Pools, Draining             int // the latter: old ones on their way out
	Requests, Timers, Endpoints int
	Clients                     int // their connections
	Goroutines                  int
}

// Load tells what the process holds.
func (g *Gateway) Load() Load {
	g.quotaMu.Lock()
	draining := len(g.retired)
	g.quotaMu.Unlock()
	l := Load{Draining: draining, Clients: g.server.ConnectionCount(), Goroutines: runtime.NumGoroutine()}
	for _, m := range g.table.Load().pools {
		r, t, s := m.pool.Counts()
		l.Pools, l.Requests, l.Timers, l.Endpoints = l.Pools+1, l.Requests+r, l.Timers+t, l.Endpoints+s
	}
	return l
}

// Ready reports whether every pool can serve, and if not, why.
func (g *Gateway) Ready() error {
	switch {
	case g.draining.Load():
		return errors.New("the process is draining")
	case !g.listening.Load():
		return errors.New("the process takes no clients yet")
	}
	for name, m := range g.table.Load().pools {
		if serves, _ := m.pool.Readiness(); !serves {
			return fmt.Errorf("pool %q has no ready server", name)
		}
	}
	return nil
}

// RefreshEndpoints has all pools ask for their lists at once.
func (g *Gateway) RefreshEndpoints() {
	for _, m := range g.table.Load().pools {
		m.pool.PollNow()
	}
}

// EndpointsKnown reports whether the sources of all pools have told their lists.
func (g *Gateway) EndpointsKnown() bool {
	for _, m := range g.table.Load().pools {
		if _, told := m.pool.Readiness(); !told {
			return false
		}
	}
	return true
}

// Vars is what operators are told.
func (g *Gateway) Vars() admin.Vars {
	f := admin.Vars{Results: g.counters.Snapshot(), Forwards: g.counters.ForwardedAttempts()}
	for _, m := range g.table.Load().pools {
		p := m.pool.Stats()
		f.Outstanding, f.Discovered, f.Ejected = f.Outstanding+p.Outstanding, f.Discovered+p.Endpoints, f.Ejected+p.Ejected
	}
	return f
}

// String describes the load for logs.
func (g *Gateway) String() string {
	l := g.Load()
	return fmt.Sprintf("%d pools, %d draining, %d requests, %d timers, %d upstreams, %d clients, %d goroutines",
		l.Pools, l.Draining, l.Requests, l.Timers, l.Endpoints, l.Clients, l.Goroutines)
}
