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
	// drainSlack is what the last answers may take beyond the longest deadline.
	drainSlack = 150 * time.Millisecond
	// severalAcceptors is how many accept connections at each listener of several pools: a flood of one keeps them waiting
	// for descriptors. Each holds one.
	severalAcceptors = 4
	// yieldWindow is how long idle connections stay open for one more request where another process takes the new ones: most
	// clients ask again within it, and are told with their answer that it is the last on that connection.
	yieldWindow = time.Second
	// doorTime is how long calls of operators may take once all else has ended.
	doorTime = 100 * time.Millisecond
	// drainLook is how often a pool that drains is looked at.
	drainLook = 5 * time.Millisecond
	// lagEvery is how often the lateness of the process is measured while several pools share its processor.
	lagEvery = 5 * time.Millisecond
)

// Gateway is one process.
type Gateway struct {
	log         *slog.Logger
	origin      time.Time
	descriptors *process.Descriptors
	server      *downstream.Server
	extension   Extension // nil: none
	speech      Speech
	foreign     *downstream.Server // of the listeners of other sites; nil without an extension
	table       atomic.Pointer[table]
	counts      metrics.Counts // of all pools, also those that have gone
	listens     atomic.Bool
	draining    atomic.Bool
	door        *admin.Door   // nil: none
	several     chan struct{} // closed once there has been more than one pool

	ctx     context.Context // ends with Run
	stop    context.CancelFunc
	leaving sync.WaitGroup // pools that are drained and closed

	applying  sync.Mutex // one configuration at a time
	cfg       Config
	listeners map[Listener]*listening
	lastKey   quota.PoolID
	stopped   bool
	avoided   map[string]orders // servers that take nothing new, by order, by pool
	silent    atomic.Pointer[func(pool, server string, is bool)]

	// What the pools share. No method of a pool is called under shares: pools call back.
	shares    sync.Mutex
	admission *quota.Admission
	pacer     *quota.Pacer
	conns     quota.Budget         // connections of clients; those that have brought no request are nobody's
	retired   map[*member]struct{} // by a reload, and not yet gone
}

// nobody owns the connections that have brought no request yet. No pool has this key.
const nobody quota.PoolID = 0

// table is how requests find their pool. It is replaced whole.
type table struct {
	routes *route.Table // nil: all requests are for only
	only   *member
	pools  map[string]*member
}

// member is a pool of the process.
type member struct {
	key    quota.PoolID
	module policy.Config // what its clients may be told
	cfg    Pool          // Gateway.applying
	pool   *pool.Pool
	static *discovery.Static // nil if there is a discovery

	crossing Crossing // nil: its requests go nowhere else
}

// listening is an open listener.
type listening struct {
	*backlog
	served net.Listener // what the server knows it as
	ended  chan error   // of its accepting
	port   downstream.Port
}

// New makes a gateway of cfg. It opens no socket for clients; its pools begin to ask for their lists.
func New(cfg Config, log *slog.Logger) (*Gateway, error) { return NewWith(cfg, log, nil) }

// NewWith makes a gateway with an extension, which may be nil.
func NewWith(cfg Config, log *slog.Logger, x Extension) (*Gateway, error) {
	return NewSpeaking(cfg, log, x, Speech{})
}

// NewSpeaking makes one that speaks more at its listeners.
func NewSpeaking(cfg Config, log *slog.Logger, x Extension, sp Speech) (*Gateway, error) {
	g := &Gateway{
		log: log, origin: time.Now().Add(-time.Hour), descriptors: process.NewDescriptors(cfg.Descriptors),
		several: make(chan struct{}), listeners: map[Listener]*listening{}, retired: map[*member]struct{}{},
		admission: quota.NewAdmission(0, 0), pacer: quota.NewPacer(), conns: quota.NewBudget(0),
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.speech = sp
	g.server = downstream.NewWith((*handler)(g), g.descriptors, log, downstream.Options{Streams: sp.Streams})
	g.descriptors.SetClientEvictor(g.server.Evict)
	if x != nil {
		g.extension = x
		g.foreign = downstream.NewWith(x.Handler(g), g.descriptors, log, downstream.Options{Identify: x.Identify, Steady: true})
		g.descriptors.SetClientEvictor(func() bool { return g.server.Evict() || g.foreign.Evict() })
	}
	g.table.Store(&table{})
	if err := g.apply(cfg, false); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// OpenDoor opens the operators' door, if there is to be one, before the process takes clients.
func (g *Gateway) OpenDoor() (err error) {
	g.applying.Lock()
	defer g.applying.Unlock()
	if g.cfg.Admin != "" && g.door == nil {
		g.door, err = admin.Open(g.cfg.Admin, g, g.log)
	}
	return err
}

// Door is where the operators' door is, or nil.
func (g *Gateway) Door() net.Addr {
	if g.door == nil {
		return nil
	}
	return g.door.Addr()
}

// Listen opens the listeners, and the door if it is not open yet.
func (g *Gateway) Listen() error {
	if err := g.OpenDoor(); err != nil {
		return err
	}
	g.applying.Lock()
	defer g.applying.Unlock()
	opened, err := g.openListeners(g.cfg.Listeners)
	if err != nil {
		return err
	}
	g.serve(opened)
	g.listens.Store(true)
	return nil
}

// Addr is where the listener of that name listens, or nil.
func (g *Gateway) Addr(name string) net.Addr {
	g.applying.Lock()
	defer g.applying.Unlock()
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
	return g.apply(next, g.listens.Load())
}

func (g *Gateway) apply(next Config, listen bool) error {
	g.applying.Lock()
	defer g.applying.Unlock()
	if g.stopped {
		return errors.New("the process is ending")
	}
	if err := next.Check(); err != nil {
		return err
	}
	if g.extension == nil && slices.ContainsFunc(next.Listeners, func(l Listener) bool { return l.Foreign }) {
		return errors.New("a listener for other sites, which this process was not started with")
	}
	routes, problems := route.New(next.Routes)
	if len(problems) > 0 {
		return problems[0]
	}
	var opened map[Listener]*listening
	if listen {
		var err error
		if opened, err = g.openListeners(next.Listeners); err != nil {
			return err
		}
	}
	before := g.table.Load()
	now := &table{pools: map[string]*member{}}
	if len(next.Routes) > 0 {
		now.routes = routes
	}
	var fresh []*member
	for _, p := range next.Pools {
		m := before.pools[p.Name]
		if m == nil || !reflect.DeepEqual(m.cfg.Settings, p.Settings) || !reflect.DeepEqual(m.cfg.Dialect, p.Dialect) {
			var err error
			if m, err = g.newMember(next, p, m); err != nil {
				for _, m := range fresh {
					g.drop(m)
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
	g.resize(next, now)
	for _, p := range next.Pools {
		if m := now.pools[p.Name]; !slices.Contains(fresh, m) {
			m.setSource(p)
			m.cfg = p
		}
	}
	g.table.Store(now)
	for name, m := range before.pools {
		if now.pools[name] != m {
			g.retire(m)
		}
	}
	if len(now.pools) > 1 {
		select {
		case <-g.several:
		default:
			close(g.several)
		}
	}
	if listen {
		for l, ln := range g.listeners {
			if !slices.Contains(next.Listeners, l) {
				delete(g.listeners, l)
				g.closeListener(l, ln)
			}
		}
		g.serve(opened)
	}
	g.cfg = next
	return nil
}

// newMember starts a pool, which takes the place of old if there is one.
func (g *Gateway) newMember(c Config, p Pool, old *member) (*member, error) {
	g.lastKey++
	m := &member{key: g.lastKey, module: p.Settings.Config, cfg: p}
	up := upstream.New(p.Settings.Config, g.descriptors.Pool(m.key))
	cl := c.claims(p)
	cl.admission.Forwardable = g.crosses(p.Name)
	// Its parts are set before it starts, as it may probe at once; of what is taken by others it may find little left
	// until resize.
	g.descriptors.Register(m.key, cl.descriptors, up.EvictIdle)
	g.shares.Lock()
	g.admission.Set(g.now(), m.key, cl.admission)
	g.conns.Set(m.key, cl.conns)
	g.pacer.Set(m.key, p.Limits.Weight)
	g.shares.Unlock()
	known := p.Known
	if old != nil {
		known = old.pool.EndpointList()
	}
	cfg := pool.Config{
		Name: p.Name, Settings: p.Settings, Protocol: p.Dialect, CachedList: known, Seed: p.Seed, OnReadyCount: func(n int) {
			g.shares.Lock()
			defer g.shares.Unlock()
			g.admission.SetReady(m.key, n)
		},
		StatsInterval: c.FiguresEvery, Metrics: &g.counts, AcceptsRequests: func() bool {
			g.shares.Lock()
			defer g.shares.Unlock()
			return g.admission.CanServe(m.key)
		},
	}
	if g.extension != nil {
		if m.crossing = g.extension.Crossing(p.Name); m.crossing != nil {
			cfg.ForwardRejected = m.crossing.Cross
		}
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	cfg.OnUnreachable = func(server string, is bool) {
		if f := g.silent.Load(); f != nil {
			(*f)(p.Name, server, is)
		}
	}
	if p.Discovery != "" {
		cfg.Source = p.discovery()
	} else {
		m.static = discovery.NewStatic(p.Servers)
		cfg.Source, cfg.CachedList = m.static, m.static.List()
	}
	log := g.log
	if len(c.Pools) > 1 {
		log = log.With("pool", p.Name)
	}
	var err error
	if m.pool, err = pool.New(cfg, up, log); err != nil {
		g.drop(m)
		return nil, err
	}
	if o := g.avoided[p.Name]; len(o.servers) > 0 {
		m.pool.SetExcluded(o.servers, o.returning, o.soft)
	}
	return m, nil
}

// discovery is where the list of p comes from.
func (p *Pool) discovery() discovery.Source {
	return discovery.Client{Address: p.Discovery, Staleness: p.Settings.ListStaleness()}
}

// setSource takes over where the list of a pool that stays comes from.
func (m *member) setSource(p Pool) {
	switch {
	case p.Discovery != "":
		if p.Discovery != m.cfg.Discovery {
			m.static = nil
			m.pool.SetSource(p.discovery())
		}
	case m.static == nil:
		m.static = discovery.NewStatic(p.Servers)
		m.pool.SetSource(m.static)
	case !reflect.DeepEqual(p.Servers, m.cfg.Servers):
		m.static.Set(p.Servers)
	}
}

// resize gives all pools of t their parts of what the process has.
func (g *Gateway) resize(c Config, t *table) {
	g.descriptors.Resize(c.usable())
	g.shares.Lock()
	defer g.shares.Unlock()
	clients := process.MaxClientDescriptors(c.usable())
	g.admission.Resize(clients, c.bodies())
	g.conns.Resize(clients)
	g.conns.Set(nobody, c.freshClaim())
	for _, p := range c.Pools {
		m, cl := t.pools[p.Name], c.claims(p)
		cl.admission.Forwardable = g.crosses(p.Name)
		g.descriptors.SetClaim(m.key, cl.descriptors)
		g.admission.Set(g.now(), m.key, cl.admission)
		g.conns.Set(m.key, cl.conns)
		g.pacer.Set(m.key, p.Limits.Weight)
	}
}

// drop ends all claims of a pool. What it still holds is given back as it ends.
func (g *Gateway) drop(m *member) {
	g.descriptors.Unregister(m.key)
	g.shares.Lock()
	defer g.shares.Unlock()
	g.admission.Remove(m.key)
	g.conns.Remove(m.key)
	g.pacer.Remove(m.key)
}

// retire ends a pool once what it took is answered. Its requests may go on to open connections, within what is left over.
func (g *Gateway) retire(m *member) {
	g.shares.Lock()
	g.admission.Remove(m.key)
	g.conns.Remove(m.key)
	g.pacer.Remove(m.key)
	g.retired[m] = struct{}{}
	g.shares.Unlock()
	g.descriptors.SetClaim(m.key, quota.Claim{Limit: quota.Unlimited})
	g.log.Info("pool drains", "pool", m.cfg.Name, "load", m.pool.String())
	g.leaving.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, m.pool.MaxDeadline()+drainSlack)
		defer cancel()
		err := g.awaitEmpty(ctx, m)
		m.pool.Close()
		g.descriptors.Unregister(m.key)
		g.log.Info("pool removed", "pool", m.cfg.Name, "err", err)
		g.shares.Lock()
		defer g.shares.Unlock()
		delete(g.retired, m)
	})
}

// awaitEmpty returns once pool m, to which nothing new is led, has neither a request nor one whose body is still to come.
func (g *Gateway) awaitEmpty(ctx context.Context, m *member) error {
	tick := time.NewTicker(drainLook)
	defer tick.Stop()
	for {
		requests, _, _ := m.pool.Counts()
		g.shares.Lock()
		admitted := g.admission.OpenRequests(m.key)
		g.shares.Unlock()
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

// secure makes what listener l is to speak.
func (g *Gateway) secure(l Listener, at *listening) error {
	at.port.Plain = l.Plain
	if l.TLS == (TLS{}) {
		return nil
	}
	if g.speech.Secure == nil {
		return errors.New("this process speaks no TLS")
	}
	var err error
	at.port.TLS, err = g.speech.Secure(g.ctx, l.TLS)
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
func (g *Gateway) openListeners(want []Listener) (map[Listener]*listening, error) {
	opened := map[Listener]*listening{}
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
		at := &listening{backlog: &backlog{TCPListener: ln, inherited: l.FD > 0}, ended: make(chan error, 1)}
		at.served = at
		if err := g.secure(l, at); err != nil {
			ln.Close()
			for _, ln := range opened {
				ln.Close()
			}
			return nil, fmt.Errorf("listener %q: %w", l.Name, err)
		}
		if l.Foreign {
			at.served = g.extension.Wrap(at)
		}
		opened[l] = at
	}
	return opened, nil
}

// serve accepts connections at listeners.
func (g *Gateway) serve(opened map[Listener]*listening) {
	acceptors := 1
	if len(g.cfg.Pools) > 1 {
		acceptors = severalAcceptors
	}
	for l, ln := range opened {
		g.listeners[l] = ln
		g.log.Info("ready", "name", g.cfg.Name, "listen", ln.Addr().String(), "listener", l.Name, "load", g.String())
		server := g.serverOf(l)
		go func() { ln.ended <- server.ServeAt(g.ctx, ln.served, acceptors, ln.port) }()
	}
}

// serverOf is who has the connections of a listener.
func (g *Gateway) serverOf(l Listener) *downstream.Server {
	if l.Foreign {
		return g.foreign
	}
	return g.server
}

// closeListener drains a listener and the connections that came in there.
func (g *Gateway) closeListener(l Listener, ln *listening) {
	ln.drain(time.Now().Add(drainWindow))
	g.leaving.Go(func() {
		<-ln.ended
		ln.Close()
		g.serverOf(l).DrainListener(ln.served)
		g.log.Info("listener closed", "listener", l.Name)
	})
}

// Run serves until ctx ends, and then drains. It returns once all that was taken is answered. Listen comes before it.
func (g *Gateway) Run(ctx context.Context) error {
	go g.measureLag()
	defer g.Close()
	<-ctx.Done()
	g.draining.Store(true)
	g.log.Info("draining", "load", g.String())
	g.applying.Lock()
	g.stopped = true
	longest := time.Duration(0)
	for _, m := range g.owing() {
		longest = max(longest, m.pool.MaxDeadline())
	}
	if g.cfg.DrainMost > 0 {
		longest = min(longest, g.cfg.DrainMost)
	}
	end, cancel := context.WithTimeout(context.Background(), drainWindow+longest+drainSlack)
	defer cancel()
	defer time.AfterFunc(drainWindow+longest, func() {
		for _, m := range g.owing() {
			m.pool.AbortRequests()
		}
	}).Stop()
	// Answers close their connections from here on, and idle ones are closed: a request that crosses that
	// comes again on a new connection, which is still accepted.
	if g.yields() {
		g.server.Yield()
		time.AfterFunc(yieldWindow, g.server.Drain)
	} else {
		g.server.Drain()
	}
	if g.extension != nil {
		g.extension.Drain()
		g.foreign.Drain()
	}
	until := time.Now().Add(drainWindow)
	for _, ln := range g.listeners {
		ln.drain(until)
	}
	for _, ln := range g.listeners {
		select {
		case <-ln.ended: // the backlog is empty
		case <-end.Done():
		}
		ln.Close()
	}
	g.applying.Unlock()
	err := g.server.Wait(end)
	if g.foreign != nil {
		err = errors.Join(err, g.foreign.Wait(end))
	}
	g.log.Info("drained", "load", g.String(), "err", err)
	return nil
}

// owing is the pools that may have requests open: those in force, and those that a reload has retired.
func (g *Gateway) owing() []*member {
	g.shares.Lock()
	defer g.shares.Unlock()
	return slices.AppendSeq(slices.Collect(maps.Keys(g.retired)), maps.Values(g.table.Load().pools))
}

// yields reports whether clients reach another process where they reached this one, so that no connection need be closed on
// them at once. The caller holds applying.
func (g *Gateway) yields() bool {
	for l := range g.listeners {
		if l.FD > 0 {
			return true
		}
	}
	return false
}

// Ended is closed once the process has ended what it had.
func (g *Gateway) Ended() <-chan struct{} { return g.ctx.Done() }

// Close ends all at once. It is for a gateway that does not run, or has run.
func (g *Gateway) Close() {
	g.applying.Lock()
	defer g.applying.Unlock()
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
	g.leaving.Wait()
	if g.door != nil {
		ctx, cancel := context.WithTimeout(context.Background(), doorTime)
		defer cancel()
		g.door.Close(ctx)
	}
	if g.extension != nil {
		g.extension.Close()
	}
}

// measureLag tells the pacer how late the process is, while several pools share it.
func (g *Gateway) measureLag() {
	select {
	case <-g.several:
	case <-g.ctx.Done():
		return
	}
	tick := time.NewTimer(lagEvery)
	defer tick.Stop()
	for {
		due := time.Now().Add(lagEvery)
		tick.Reset(lagEvery)
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		}
		lag := time.Since(due)
		g.shares.Lock()
		g.pacer.RecordLag(lag)
		g.shares.Unlock()
	}
}

// now is the clock of what the pools share.
func (g *Gateway) now() time.Duration { return time.Since(g.origin) }

// Load is what the process holds.
type Load struct {
	Pools, Draining           int // the latter: old ones on their way out
	Requests, Timers, Servers int
	Clients                   int // their connections
	Goroutines                int
}

// Load tells what the process holds.
func (g *Gateway) Load() Load {
	g.shares.Lock()
	draining := len(g.retired)
	g.shares.Unlock()
	l := Load{Draining: draining, Clients: g.server.Connections(), Goroutines: runtime.NumGoroutine()}
	for _, m := range g.table.Load().pools {
		r, t, s := m.pool.Counts()
		l.Pools, l.Requests, l.Timers, l.Servers = l.Pools+1, l.Requests+r, l.Timers+t, l.Servers+s
	}
	return l
}

// Ready reports whether every pool can serve, and if not, why.
func (g *Gateway) Ready() error {
	switch {
	case g.draining.Load():
		return errors.New("the process is draining")
	case !g.listens.Load():
		return errors.New("the process takes no clients yet")
	}
	for name, m := range g.table.Load().pools {
		if serves, _ := m.pool.Readiness(); !serves {
			return fmt.Errorf("pool %q has no ready server", name)
		}
	}
	return nil
}

// Hurry has all pools ask for their lists at once.
func (g *Gateway) Hurry() {
	for _, m := range g.table.Load().pools {
		m.pool.PollNow()
	}
}

// Told reports whether the sources of all pools have told their lists.
func (g *Gateway) Told() bool {
	for _, m := range g.table.Load().pools {
		if _, told := m.pool.Readiness(); !told {
			return false
		}
	}
	return true
}

// Figures is what operators are told.
func (g *Gateway) Figures() admin.Figures {
	f := admin.Figures{Results: g.counts.Classes(), Forwards: g.counts.Forwards()}
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
		l.Pools, l.Draining, l.Requests, l.Timers, l.Servers, l.Clients, l.Goroutines)
}
