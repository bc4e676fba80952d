package consensus

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"

	"sorrelrudder/internal/lease"
	"sorrelrudder/internal/task"
)

// readBatch is a batch of keepalives and reads that wait for their raft read index. The read index is known once a majority has confirmed
// that this node is still the leader. The batch is answered once this node has applied the log up to the read index.
type readBatch struct {
	id       uint64
	index    uint64 // 0: not confirmed yet
	requests []pendingRequest
}

// queueRead adds a keepalive or read to the next batch.
func (n *Node) queueRead(p pendingRequest) {
	if len(n.queuedReads) >= maxPendingRequests {
		n.redirect(p)
		return
	}
	n.queuedReads = append(n.queuedReads, p)
}

// startReads requests the read index for all queued reads. One batch is in flight at a time.
func (n *Node) startReads() {
	if n.readInFlight != nil || len(n.queuedReads) == 0 {
		return
	}
	n.lastReadID++
	n.readInFlight = &readBatch{id: n.lastReadID, requests: n.queuedReads}
	n.queuedReads = nil
	n.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, n.lastReadID))
}

// confirmReads records the read index of the batch in flight.
func (n *Node) confirmReads(states []raft.ReadState) {
	for _, s := range states {
		if n.readInFlight != nil && len(s.RequestCtx) == 8 && binary.BigEndian.Uint64(s.RequestCtx) == n.readInFlight.id {
			n.readInFlight.index = s.Index
		}
	}
}

// serveReads answers the batch in flight once its read index is known and applied.
func (n *Node) serveReads() {
	batch := n.readInFlight
	if batch == nil || batch.index == 0 || n.appliedIndex < batch.index || n.lessor == nil {
		return
	}
	n.readInFlight = nil
	digest := n.machine.digest()
	for _, p := range batch.requests {
		if p.request.TaskRecords != nil {
			n.reply(p, Response{TaskRecords: n.taskRecords(p.request.TaskRecords)})
			continue
		}
		n.reply(p, Response{Lease: n.keepAlive(p.request.Lease), Digest: digest})
	}
}

// taskRecords returns the records of the named tasks.
func (n *Node) taskRecords(names []string) map[string]task.Record {
	records := map[string]task.Record{}
	for _, name := range names {
		records[name] = n.machine.Tasks.Record(name)
	}
	return records
}

// keepAlive renews a session and returns the response to its keepalive.
func (n *Node) keepAlive(r *lease.Request) *lease.Response {
	answer := &lease.Response{ID: r.ID, LastID: n.machine.Leases.LastID}
	holdings, refusal := n.machine.Leases.HoldingsOf(r.SessionID, r.KnownVersion)
	if refusal == "" && !n.lessor.Renew(n.now, r.SessionID) {
		refusal = lease.RefusedNoSession
	}
	answer.Refusal = refusal
	if refusal == "" && holdings.Version != r.KnownVersion {
		answer.Holdings = &holdings
	}
	return answer
}
