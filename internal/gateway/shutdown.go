package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"
)

// idleHandoverWindow is how long idle connections stay open for one more request when another process accepts new connections. Most clients
// send a request within this time, and learn from its response that the connection closes.
const idleHandoverWindow = time.Second

// Run serves until ctx ends, then shuts down gracefully. It returns once all accepted requests are answered or aborted; see Config.MaxDrain.
// Listen must be called before Run. The error is always nil.
func (g *Gateway) Run(ctx context.Context) error {
	go g.measureSchedulingLag()
	go g.logRunnableWaits()
	defer g.Close()
	<-ctx.Done()
	g.shutDown()
	return nil
}

// shutDown drains the process. New connections are accepted for acceptWindow, except from inherited sockets, and their requests are
// answered.
func (g *Gateway) shutDown() {
	g.draining.Store(true)
	g.log.Info("draining", "load", g.String())
	g.configMu.Lock()
	g.stopped = true
	abortAfter := acceptWindow + g.drainTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), abortAfter+lastResponsesTimeout)
	defer cancel()
	defer time.AfterFunc(abortAfter, g.abortRequests).Stop()
	g.drainConnections()
	g.drainListeners(ctx)
	g.configMu.Unlock()
	err := g.clientServer.Wait(ctx)
	if g.siteServer != nil {
		err = errors.Join(err, g.siteServer.Wait(ctx))
	}
	g.log.Info("drained", "load", g.String(), "err", err)
}

// drainTimeout returns how long open requests may take during shutdown: the longest deadline of all pools, up to Config.MaxDrain. The
// caller holds configMu.
func (g *Gateway) drainTimeout() time.Duration {
	longest := time.Duration(0)
	for _, p := range g.servingPools() {
		longest = max(longest, p.pool.MaxDeadline())
	}
	if g.cfg.MaxDrain > 0 {
		longest = min(longest, g.cfg.MaxDrain)
	}
	return longest
}

// abortRequests aborts all open requests of all pools.
func (g *Gateway) abortRequests() {
	for _, p := range g.servingPools() {
		p.pool.AbortRequests()
	}
}

// servingPools returns the instances that may have open requests: those in force, and those that a reload has retired.
func (g *Gateway) servingPools() []*poolInstance {
	inForce := g.table.Load().pools
	return slices.AppendSeq(g.quotas.retiredPools(), maps.Values(inForce))
}

// drainConnections makes connections close with their next response, and closes idle connections: at once, or after idleHandoverWindow if
// the process has an inherited listener. A client whose request arrives just as its idle connection is closed can retry on a new connection,
// which is still accepted. The caller holds configMu.
func (g *Gateway) drainConnections() {
	if g.inheritsListener() {
		g.clientServer.CloseAfterResponse()
		time.AfterFunc(idleHandoverWindow, g.clientServer.Drain)
	} else {
		g.clientServer.Drain()
	}
	if g.extension != nil {
		g.extension.Drain()
		g.siteServer.Drain()
	}
}

// inheritsListener reports whether this process listens on an inherited socket. Another process then accepts connections from the socket
// too, so that idle connections need not be closed at once. The caller holds configMu.
func (g *Gateway) inheritsListener() bool {
	for l := range g.listeners {
		if l.FD > 0 {
			return true
		}
	}
	return false
}

// drainListeners closes the listeners once their backlogs are empty, or when ctx ends. The caller holds configMu.
func (g *Gateway) drainListeners(ctx context.Context) {
	until := time.Now().Add(acceptWindow)
	for _, ln := range g.listeners {
		ln.drain(until)
	}
	for _, ln := range g.listeners {
		select {
		case <-ln.acceptDone:
		case <-ctx.Done():
		}
		ln.Close()
	}
}
