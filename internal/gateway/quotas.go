package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/quota"
)

const (
	// reservedShare is the fraction of each resource that is reserved for the pools by their weights.
	reservedShare = 0.5
	// unassignedShare is the fraction of the client descriptors that is reserved for connections without a request so far.
	unassignedShare = 0.25
	// bodyMemoryShare is the fraction of the process's memory that request bodies may use. Bodies are kept as long as an attempt may need
	// them. The rest of the memory holds responses of the same size, buffers and garbage.
	bodyMemoryShare = 1.0 / 8
	// streamMemoryShare is the fraction of the process's memory that long bodies may occupy beyond what each needs to make progress.
	streamMemoryShare = 1.0 / 8
	// lagInterval is the interval at which the scheduling lag of the process is measured.
	lagInterval = 5 * time.Millisecond
)

// unassignedPool is the pool ID of connections without a request so far. It is not the ID of any pool.
const unassignedPool quota.PoolID = 0

// processQuotas divides the resources of the process among its pools: open requests, body memory, connections of clients and CPU time. File
// descriptors are divided by process.Descriptors.
type processQuotas struct {
	clockStart time.Time

	// mu guards the fields below. Lock order: pool.Pool and downstream.Server call processQuotas with their own locks held, so no method of
	// either may be called while mu is held. The lock of process.Descriptors is acquired after mu.
	mu          sync.Mutex
	admission   *quota.Admission
	pacer       *quota.Pacer
	connections quota.Budget               // connections of clients
	retired     map[*poolInstance]struct{} // instances that a reload has removed and that are still draining
}

// poolQuotas are the claims of one pool on the resources of the process.
type poolQuotas struct {
	admission   quota.Limits
	descriptors quota.Claim
	connections quota.Claim
	weight      float64
}

func (q *processQuotas) init() {
	q.clockStart = time.Now().Add(-time.Hour)
	q.admission = quota.NewAdmission(0, 0)
	q.pacer = quota.NewPacer()
	q.connections = quota.NewBudget(0)
	q.retired = map[*poolInstance]struct{}{}
}

// now returns the current time on the clock of admission and pacer.
func (q *processQuotas) now() time.Duration { return time.Since(q.clockStart) }

// setLocked sets the claims of a pool. The caller holds mu.
func (q *processQuotas) setLocked(id quota.PoolID, claims poolQuotas) {
	q.admission.Set(q.now(), id, claims.admission)
	q.connections.Set(id, claims.connections)
	q.pacer.Set(id, claims.weight)
}

// removeLocked removes the claims of a pool. Resources that the pool still uses become available to other pools when they are released. The
// caller holds mu.
func (q *processQuotas) removeLocked(id quota.PoolID) {
	q.admission.Remove(id)
	q.connections.Remove(id)
	q.pacer.Remove(id)
}

func (q *processQuotas) set(id quota.PoolID, claims poolQuotas) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setLocked(id, claims)
}

func (q *processQuotas) remove(id quota.PoolID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeLocked(id)
}

// retire removes the claims of an instance that starts to drain, and adds it to the retired instances.
func (q *processQuotas) retire(p *poolInstance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeLocked(p.id)
	q.retired[p] = struct{}{}
}

// forgetRetired removes an instance that has drained from the retired instances.
func (q *processQuotas) forgetRetired(p *poolInstance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.retired, p)
}

// retiredPools returns the instances that are draining.
func (q *processQuotas) retiredPools() []*poolInstance {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.retired))
}

// openRequests returns the number of requests of a pool that are admitted and not yet released.
func (q *processQuotas) openRequests(id quota.PoolID) int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.OpenRequests(id)
}

// setReady records the number of ready endpoints in a pool's endpoint list.
func (q *processQuotas) setReady(id quota.PoolID, endpoints int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admission.SetReady(id, endpoints)
}

// acceptsRequests reports whether a pool accepts requests. It returns true if the pool's list has a ready endpoint, if its requests may
// wait for one, or if the pool is unknown, for example because it was removed.
func (q *processQuotas) acceptsRequests(id quota.PoolID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.CanServe(id)
}

// crowded reports whether clients use so much of a pool's quota that the pool should accept requests of clients only.
func (q *processQuotas) crowded(id quota.PoolID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.Crowded(id)
}

func (q *processQuotas) recordLag(lag time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pacer.RecordLag(lag)
}

// registerQuotas sets the claims of a new instance according to configuration c. evict closes one of the instance's idle connections, and
// reports whether there was one.
func (g *Gateway) registerQuotas(c Config, p *poolInstance, evict func() bool) {
	claims := g.claims(c, p.cfg)
	g.descriptors.Register(p.id, claims.descriptors, evict)
	g.quotas.set(p.id, claims)
}

// assignQuotas sets the claims of all pools of a table according to configuration c.
func (g *Gateway) assignQuotas(c Config, t *routingTable) {
	g.descriptors.Resize(c.usableDescriptors())
	g.bufferMemory.Resize(c.streamMemory())
	q := &g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	clients := process.MaxClientDescriptors(c.usableDescriptors())
	q.admission.Resize(clients, c.bodyMemory())
	q.connections.Resize(clients)
	q.connections.Set(unassignedPool, c.unassignedClaim())
	for _, cfg := range c.Pools {
		id, claims := t.pools[cfg.Name].id, g.claims(c, cfg)
		g.descriptors.SetClaim(id, claims.descriptors)
		q.setLocked(id, claims)
	}
}

// removeQuotas removes all claims of an instance.
func (g *Gateway) removeQuotas(p *poolInstance) {
	g.descriptors.Unregister(p.id)
	g.quotas.remove(p.id)
}

// claims returns the claims of a pool of configuration c.
func (g *Gateway) claims(c Config, cfg Pool) poolQuotas {
	claims := c.quotasFor(cfg)
	claims.admission.Forwardable = g.hasSpillover(cfg.Name)
	return claims
}

// measureSchedulingLag reports to the pacer how late timers fire. It starts to measure once the process has several pools, and returns when
// the gateway is closed.
func (g *Gateway) measureSchedulingLag() {
	select {
	case <-g.multiplePools:
	case <-g.ctx.Done():
		return
	}
	timer := time.NewTimer(lagInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(lagInterval)
		timer.Reset(lagInterval)
		select {
		case <-g.ctx.Done():
			return
		case <-timer.C:
		}
		g.quotas.recordLag(time.Since(due))
	}
}

// usableDescriptors returns the number of file descriptors for connections of clients and to endpoints. Each listener and each discovery
// connection beyond the first uses one of the process's descriptors. The admin server uses adminDescriptors.
func (c *Config) usableDescriptors() int {
	n := c.Descriptors - max(0, len(c.Listeners)-1)
	if c.AdminAddress != "" {
		n -= adminDescriptors
	}
	watched := 0
	for _, p := range c.Pools {
		if p.Discovery != "" {
			watched++
		}
	}
	return n - max(0, watched-1)
}

// quotasFor divides the resources of the process among the pools by their weights, and returns the claims of p.
func (c *Config) quotasFor(p Pool) poolQuotas {
	totalWeight := 0.0
	for _, other := range c.Pools {
		totalWeight += other.Limits.Weight
	}
	share := p.Limits.Weight / totalWeight * reservedShare
	clients := process.MaxClientDescriptors(c.usableDescriptors())
	upstreams := process.MinUpstreamDescriptors(c.usableDescriptors())
	connections := newClaim(clients, share, 0)
	if len(c.Pools) == 1 { // there is no other pool to reserve them against
		connections.Reserved = 0
	}
	return poolQuotas{
		admission: quota.Limits{
			OpenRequests:   newClaim(clients, share, p.Limits.OpenRequests),
			BodyBytes:      newClaim(c.bodyMemory(), share, p.Limits.BodyBytes),
			Rate:           p.Limits.Rate,
			Burst:          p.Limits.Burst,
			WaitForServers: p.Limits.QueueWithoutEndpoints,
		},
		descriptors: newClaim(upstreams, share, p.Limits.Descriptors),
		connections: connections,
		weight:      p.Limits.Weight,
	}
}

// newClaim returns a claim that reserves a share of total, up to limit. A limit of 0 means no limit.
func newClaim(total int64, share float64, limit int64) quota.Claim {
	if limit == 0 {
		limit = quota.Unlimited
	}
	return quota.Claim{Reserved: min(int64(float64(total)*share), limit), Limit: limit}
}

// unassignedClaim returns the claim of connections whose pool is not known yet. Every connection starts without a pool.
func (c *Config) unassignedClaim() quota.Claim {
	claim := quota.Claim{Limit: quota.Unlimited}
	if len(c.Pools) > 1 {
		claim.Reserved = int64(float64(process.MaxClientDescriptors(c.usableDescriptors())) * unassignedShare)
	}
	return claim
}

// bodyMemory returns the memory for request bodies, in bytes.
func (c *Config) bodyMemory() int64 {
	return max(httpmsg.MaxBufferedBodyBytes, int64(float64(c.MemoryMB<<20)*bodyMemoryShare))
}

// streamMemory returns the memory for long bodies, in bytes.
func (c *Config) streamMemory() int64 { return int64(float64(c.MemoryMB<<20) * streamMemoryShare) }
