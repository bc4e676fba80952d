package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"
)

// idleHandoverWindow is how long idle connections stay open for one more request where another process takes new ones: most
// clients ask again within it, and learn from the response that it is the last on that connection.
const idleHandoverWindow = time.Second

// Run serves until ctx ends, then shuts down gracefully: it returns once all requests that were taken are answered, or
// given up at their deadlines. Listen comes before it. The error is always nil.
func (g *Gateway) Run(ctx context.Context) error {
	go g.measureSchedulingLag()
	defer g.Close()
	<-ctx.Done()
	g.shutDown()
	return nil
}

// shutDown drains the process. Connections go on coming for acceptWindow, and what they bring is answered.
func (g *Gateway) shutDown() {
	g.draining.Store(true)
	g.log.Info("draining", "load", g.String())
	g.configMu.Lock()
	g.stopped = true
	abortAfter := acceptWindow + g.drainTimeout()
	end, cancel := context.WithTimeout(context.Background(), abortAfter+lastResponsesTimeout)
	defer cancel()
	defer time.AfterFunc(abortAfter, g.abortRequests).Stop()
	g.drainConnections()
	g.drainListeners(end)
	g.configMu.Unlock()
	err := g.clientServer.Wait(end)
	if g.siteServer != nil {
		err = errors.Join(err, g.siteServer.Wait(end))
	}
	g.log.Info("drained", "load", g.String(), "err", err)
}

// drainTimeout is how long open requests may take: the longest deadline of a pool, up to Config.MaxDrain. The caller holds
// configMu.
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

// abortRequests gives up all open requests.
func (g *Gateway) abortRequests() {
	for _, p := range g.servingPools() {
		p.pool.AbortRequests()
	}
}

// servingPools are those that may have open requests: those in force, and those that a reload has retired.
func (g *Gateway) servingPools() []*poolInstance {
	inForce := g.table.Load().pools
	return slices.AppendSeq(g.quotas.retiredPools(), maps.Values(inForce))
}

// drainConnections makes connections close with their next response, and closes idle ones. A request that crosses that
// comes again on a new connection, which is still accepted. The caller holds configMu.
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

// inheritsListener reports whether another process accepts connections at a socket of this one, so that idle ones need
// not be closed at once. The caller holds configMu.
func (g *Gateway) inheritsListener() bool {
	for l := range g.listeners {
		if l.FD > 0 {
			return true
		}
	}
	return false
}

// drainListeners closes the listeners once their backlogs are empty, or at end. The caller holds configMu.
func (g *Gateway) drainListeners(end context.Context) {
	until := time.Now().Add(acceptWindow)
	for _, ln := range g.listeners {
		ln.drain(until)
	}
	for _, ln := range g.listeners {
		select {
		case <-ln.acceptDone:
		case <-end.Done():
		}
		ln.Close()
	}
}
