// Package gateway assembles one proxy process: its listeners, its pools, the routes that lead requests to them, the quotas
// they share, configuration reloads and the graceful shutdown. A request passes from a client's connection (package
// downstream) by a route to a pool, whose policy picks the endpoint. The rules are in packages route, quota and policy; this
// package carries them out. It does not know how a configuration is written down.
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sorrelrudder/internal/admin"
	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/quota"
)

// adminCloseTimeout bounds how long Close waits for calls to the admin server that are being answered.
const adminCloseTimeout = 100 * time.Millisecond

// ErrStopped is returned for a configuration that comes once the process has begun to shut down.
var ErrStopped = errors.New("the process is ending")

// Gateway is one proxy process. Its methods are safe for concurrent use.
type Gateway struct {
	log          *slog.Logger
	descriptors  *process.Descriptors
	clientServer *downstream.Server // connections of clients
	siteServer   *downstream.Server // connections of other sites; nil without an extension
	extension    Extension          // nil: none
	protocols    ListenerProtocols
	table        atomic.Pointer[routingTable]
	quotas       processQuotas
	counters     metrics.RequestCounters // of all pools, removed ones included
	listening    atomic.Bool
	draining     atomic.Bool

	onReachabilityChange atomic.Pointer[func(pool, server string, is bool)] // see OnUnresponsive
	multiplePools        chan struct{}                                      // closed once there has been more than one pool

	ctx        context.Context // ends with Run or Close
	stop       context.CancelFunc
	drainTasks sync.WaitGroup // pools and listeners that a reload has removed and that still drain

	// configMu admits one change of the configuration at a time, and guards the fields below. It comes before all other
	// locks.
	configMu    sync.Mutex
	cfg         Config
	listeners   map[Listener]*activeListener
	adminServer *admin.Server // nil: none
	lastPoolID  quota.PoolID
	stopped     bool
	exclusions  map[string]exclusionSet // by pool
}

// Options are what a program may add to a gateway. The zero value adds nothing.
type Options struct {
	Extension Extension // nil: none
	Protocols ListenerProtocols
}

// New returns a gateway of cfg without options, see NewWithOptions.
func New(cfg Config, log *slog.Logger) (*Gateway, error) {
	return NewWithOptions(cfg, log, Options{})
}

// NewWithOptions returns a gateway of cfg. Its pools begin to fetch their endpoint lists; no socket for clients is open
// before Listen. It returns an error if the configuration is invalid. Run or Close ends the gateway.
func NewWithOptions(cfg Config, log *slog.Logger, o Options) (*Gateway, error) {
	g := &Gateway{
		log:           log,
		descriptors:   process.NewDescriptors(cfg.Descriptors),
		extension:     o.Extension,
		protocols:     o.Protocols,
		multiplePools: make(chan struct{}),
		listeners:     map[Listener]*activeListener{},
	}
	g.quotas.init()
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.table.Store(&routingTable{})
	g.newServers()
	if err := g.apply(cfg, false); err != nil {
		g.Close()
		return nil, err
	}
	return g, nil
}

// newServers makes the servers for the connections of clients and, with an extension, of other sites. Both give up
// connections where descriptors are short, clients' first.
func (g *Gateway) newServers() {
	g.clientServer = downstream.NewServerWithOptions(&clientHandler{g}, g.descriptors, g.log, downstream.Options{
		Multiplexed: g.protocols.Multiplexed,
	})
	g.descriptors.SetClientEvictor(g.clientServer.Evict)
	if g.extension == nil {
		return
	}
	g.siteServer = downstream.NewServerWithOptions(g.extension.Handler(g), g.descriptors, g.log, downstream.Options{
		PeerName:  g.extension.PeerName,
		LongLived: true,
	})
	g.descriptors.SetClientEvictor(func() bool { return g.clientServer.Evict() || g.siteServer.Evict() })
}

// StartAdmin opens the admin server, if one is configured and not open yet. Listen does so too; called earlier, it
// answers operators before the process takes clients.
func (g *Gateway) StartAdmin() (err error) {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	if g.cfg.AdminAddress != "" && g.adminServer == nil {
		g.adminServer, err = admin.Listen(g.cfg.AdminAddress, g, g.log)
	}
	return err
}

// AdminAddr returns the address of the admin server, or nil if none is open. It must not be called concurrently with
// StartAdmin or Listen.
func (g *Gateway) AdminAddr() net.Addr {
	if g.adminServer == nil {
		return nil
	}
	return g.adminServer.Addr()
}

// Done returns a channel that is closed as Close begins, after Run has drained the process.
func (g *Gateway) Done() <-chan struct{} { return g.ctx.Done() }

// Close ends everything at once. It is for a gateway that does not run, or has run.
func (g *Gateway) Close() {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	g.stopped = true
	g.stop()
	for l, ln := range g.listeners {
		ln.Close()
		delete(g.listeners, l)
	}
	for _, p := range g.table.Load().pools {
		p.pool.Close()
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
