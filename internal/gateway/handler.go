package gateway

import (
	"time"

	"sorrelrudder/internal/downstream"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/quota"
)

// clientHandler implements downstream.Handler for the connections of clients.
type clientHandler struct{ gateway *Gateway }

// Admit implements downstream.Handler. It finds the request's pool by its route and reserves quota of the pool.
func (h *clientHandler) Admit(r *httpmsg.Request) (downstream.AdmittedRequest, downstream.PoolID, error) {
	g := h.gateway
	p, path, err := g.table.Load().find(r)
	if err != nil {
		return nil, downstream.PoolID(unassignedPool), err
	}
	parsed, err := p.pool.ParseRequest(r, path)
	return asAdmitted(g.admit(p, r, parsed, err))
}

// ReadDelay implements downstream.Handler.
func (h *clientHandler) ReadDelay(id downstream.PoolID, rejections int) time.Duration {
	q := &h.gateway.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pacer.ReadDelay(q.now(), quota.PoolID(id), rejections)
}

// AcquireConnection implements downstream.Handler.
func (h *clientHandler) AcquireConnection(id downstream.PoolID) bool {
	q := &h.gateway.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.connections.Acquire(quota.PoolID(id), 1)
}

// ReleaseConnection implements downstream.Handler.
func (h *clientHandler) ReleaseConnection(id downstream.PoolID) {
	q := &h.gateway.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.connections.Release(quota.PoolID(id), 1)
}

// ConnectionExcess implements downstream.Handler.
func (h *clientHandler) ConnectionExcess(id downstream.PoolID) int64 {
	q := &h.gateway.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.connections.Excess(quota.PoolID(id))
}
