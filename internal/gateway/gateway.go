// Package gateway assembles one proxy process: its listeners, its pools, the routes from requests to pools, the quotas that the pools
// share, configuration reloads and graceful shutdown. A request arrives on a client's connection (package downstream), is routed to a pool,
// and is sent to the endpoint that the pool's policy picks. The rules are in packages route, quota and policy; this package applies them.
// It is independent of the format of configuration files.
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
	"sorrelrudder/internal/limitedlog"
	"sorrelrudder/internal/metrics"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/quota"
)

// adminCloseTimeout bounds how long Close waits for open requests to the admin server.
const adminCloseTimeout = 100 * time.Millisecond

// ErrStopped is returned by Apply once the process has begun to shut down.
var ErrStopped = errors.New("the process is shutting down")

// Gateway is one proxy process. Its methods are safe for concurrent use.
type Gateway struct {
	log          *slog.Logger
	events       *limitedlog.Logger // what happens to single requests
	descriptors  *process.Descriptors
	bufferMemory *process.BufferMemory // of long bodies
	clientServer *downstream.Server    // serves the connections of clients
	siteServer   *downstream.Server    // serves the connections of other sites; nil without an extension
	extension    Extension             // nil: no extension
	protocols    ListenerProtocols
	table        atomic.Pointer[routingTable]
	quotas       processQuotas
	counters     metrics.RequestCounters // totals of all pools, including removed ones
	listening    atomic.Bool
	draining     atomic.Bool

	onReachabilityChange atomic.Pointer[func(pool, endpoint string, unreachable bool)] // see OnReachabilityChange
	multiplePools        chan struct{}                                                 // closed when a configuration with more than one pool is first applied

	ctx        context.Context // canceled by Close
	stop       context.CancelFunc
	drainTasks sync.WaitGroup // pools and listeners that a reload has removed and that are still draining

	// configMu serializes configuration changes, and guards the fields below. It is acquired before all other locks.
	configMu    sync.Mutex
	cfg         Config
	listeners   map[Listener]*activeListener
	adminServer *admin.Server // nil: not started
	lastPoolID  quota.PoolID
	stopped     bool
	exclusions  map[string]exclusionSet // by pool name
}

// Options are the optional parts of a gateway. The zero value selects none.
type Options struct {
	Extension Extension // nil: no extension
	Protocols ListenerProtocols
}

// New returns a gateway with configuration cfg and without options; see NewWithOptions.
func New(cfg Config, log *slog.Logger) (*Gateway, error) {
	return NewWithOptions(cfg, log, Options{})
}

// NewWithOptions returns a gateway with configuration cfg. Its pools start to fetch their endpoint lists. Sockets for clients are opened by
// Listen. The error says why the configuration is invalid. The caller must end the gateway with Run or Close.
func NewWithOptions(cfg Config, log *slog.Logger, o Options) (*Gateway, error) {
	g := &Gateway{
		log:           log,
		events:        limitedlog.New(log),
		descriptors:   process.NewDescriptors(cfg.Descriptors),
		bufferMemory:  &process.BufferMemory{},
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

// newServers creates the server for connections of clients and, with an extension, the server for connections of other sites. When file
// descriptors run short, connections of clients are evicted first, then those of other sites.
func (g *Gateway) newServers() {
	g.clientServer = downstream.NewServerWithOptions(&clientHandler{g}, g.descriptors, g.log, downstream.Options{
		Multiplexed:  g.protocols.Multiplexed,
		BufferMemory: g.bufferMemory,
	})
	g.descriptors.SetClientEvictor(g.clientServer.Evict)
	if g.extension == nil {
		return
	}
	g.siteServer = downstream.NewServerWithOptions(g.extension.Handler(g), g.descriptors, g.log, downstream.Options{
		PeerName:     g.extension.PeerName,
		LongLived:    true,
		BufferMemory: g.bufferMemory,
	})
	g.descriptors.SetClientEvictor(func() bool { return g.clientServer.Evict() || g.siteServer.Evict() })
}

// StartAdmin starts the admin server if one is configured and not started yet. Listen calls it too. A call before Listen makes the admin
// server available before the process accepts clients.
func (g *Gateway) StartAdmin() (err error) {
	g.configMu.Lock()
	defer g.configMu.Unlock()
	if g.cfg.AdminAddress == "" || g.adminServer != nil {
		return nil
	}
	if g.adminServer, err = admin.Listen(g.cfg.AdminAddress, g, g.log); err != nil {
		return err
	}
	g.log.Info("admin server ready", "listen", g.adminServer.Addr().String())
	return nil
}

// AdminAddr returns the address of the admin server, or nil if it is not started. It must not be called concurrently with StartAdmin or
// Listen.
func (g *Gateway) AdminAddr() net.Addr {
	if g.adminServer == nil {
		return nil
	}
	return g.adminServer.Addr()
}

// Done returns a channel that is closed when Close begins. Run calls Close after it has drained the process.
func (g *Gateway) Done() <-chan struct{} { return g.ctx.Done() }

// Close stops the gateway without draining. It is for a gateway that was never run, and Run calls it at its end.
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
