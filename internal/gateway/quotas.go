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
	// unassignedShare is the fraction of the clients' descriptors that is reserved for connections that have brought no
	// request yet.
	unassignedShare = 0.25
	// bodyMemoryShare is the fraction of the process's memory that request bodies may take: they are kept as long as an
	// attempt may need them, beside responses of the same size, buffers and garbage.
	bodyMemoryShare = 1.0 / 8
	// lagInterval is how often the scheduling lag of the process is measured.
	lagInterval = 5 * time.Millisecond
)

// unassignedPool has the connections that have brought no request yet. No pool has this ID.
const unassignedPool quota.PoolID = 0

// processQuotas divides the process among its pools: requests open at once, memory for bodies, clients' connections and
// the attention of the processor. Descriptors are divided by process.Descriptors.
type processQuotas struct {
	clockStart time.Time

	// mu guards the fields below. It comes after the locks of pool.Pool and downstream.Server, which call in here: no
	// method of either is called while it is held. The lock of process.Descriptors comes after it.
	mu          sync.Mutex
	admission   *quota.Admission
	pacer       *quota.Pacer
	connections quota.Budget               // of clients
	retired     map[*poolInstance]struct{} // removed by a reload, and still draining
}

// poolQuotas are the claims of one pool.
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

// now is the time on the clock of admission and pacer.
func (q *processQuotas) now() time.Duration { return time.Since(q.clockStart) }

// setLocked makes claims those of a pool. The caller holds mu.
func (q *processQuotas) setLocked(id quota.PoolID, claims poolQuotas) {
	q.admission.Set(q.now(), id, claims.admission)
	q.connections.Set(id, claims.connections)
	q.pacer.Set(id, claims.weight)
}

// removeLocked ends the claims of a pool. What it still uses returns to the others as it is released. The caller holds mu.
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

// retire ends the claims of an instance that drains from now on.
func (q *processQuotas) retire(p *poolInstance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeLocked(p.id)
	q.retired[p] = struct{}{}
}

// forgetRetired notes that an instance has drained.
func (q *processQuotas) forgetRetired(p *poolInstance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.retired, p)
}

// retiredPools returns the instances that drain.
func (q *processQuotas) retiredPools() []*poolInstance {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Collect(maps.Keys(q.retired))
}

// openRequests returns how many requests of a pool are admitted and not released.
func (q *processQuotas) openRequests(id quota.PoolID) int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.OpenRequests(id)
}

// setReady notes how many ready servers the list of a pool names.
func (q *processQuotas) setReady(id quota.PoolID, servers int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admission.SetReady(id, servers)
}

// mayTakeRequests reports whether requests of a pool are not rejected for want of an endpoint: its list names a ready one, its requests may wait
// for one, or the pool is not known (any more).
func (q *processQuotas) mayTakeRequests(id quota.PoolID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.CanServe(id)
}

// crowded reports whether a pool is so short of something that it should take clients' requests only.
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

// registerQuotas gives a new instance its claims by configuration c. evict closes one of its idle connections, and reports
// whether there was one.
func (g *Gateway) registerQuotas(c Config, p *poolInstance, evict func() bool) {
	claims := g.claims(c, p.cfg)
	g.descriptors.Register(p.id, claims.descriptors, evict)
	g.quotas.set(p.id, claims)
}

// assignQuotas gives all pools of a table their claims by configuration c.
func (g *Gateway) assignQuotas(c Config, t *routingTable) {
	g.descriptors.Resize(c.usableDescriptors())
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

// dropQuotas ends all claims of an instance.
func (g *Gateway) dropQuotas(p *poolInstance) {
	g.descriptors.Unregister(p.id)
	g.quotas.remove(p.id)
}

// claims are those of a pool of configuration c.
func (g *Gateway) claims(c Config, cfg Pool) poolQuotas {
	claims := c.quotasFor(cfg)
	claims.admission.Forwardable = g.hasSpillover(cfg.Name)
	return claims
}

// measureSchedulingLag tells the pacer how late timers fire, once several pools share the process.
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

// usableDescriptors is how many descriptors are left for connections of clients and to servers: each listener and each
// discovery beyond the first takes one, and the admin server some.
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

// quotasFor divides what the process has among the pools by their weights, and returns the claims of p.
func (c *Config) quotasFor(p Pool) poolQuotas {
	totalWeight := 0.0
	for _, other := range c.Pools {
		totalWeight += other.Limits.Weight
	}
	share := p.Limits.Weight / totalWeight * reservedShare
	clients := process.MaxClientDescriptors(c.usableDescriptors())
	upstreams := process.MinUpstreamDescriptors(c.usableDescriptors())
	connections := newClaim(clients, share, 0)
	if len(c.Pools) == 1 { // there is nobody to reserve them against
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

// newClaim reserves a share of a total, up to a limit; 0: no limit.
func newClaim(total int64, share float64, limit int64) quota.Claim {
	if limit == 0 {
		limit = quota.Unlimited
	}
	return quota.Claim{Reserved: min(int64(float64(total)*share), limit), Limit: limit}
}

// unassignedClaim is the claim of connections whose pool is not known yet. The connections of all pools begin as such.
func (c *Config) unassignedClaim() quota.Claim {
	claim := quota.Claim{Limit: quota.Unlimited}
	if len(c.Pools) > 1 {
		claim.Reserved = int64(float64(process.MaxClientDescriptors(c.usableDescriptors())) * unassignedShare)
	}
	return claim
}

// bodyMemory is how many bytes of request bodies the process may hold.
func (c *Config) bodyMemory() int64 {
	return max(httpmsg.MaxBufferedBodyBytes, int64(float64(c.MemoryMB<<20)*bodyMemoryShare))
}
