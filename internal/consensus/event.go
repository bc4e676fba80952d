package consensus

import "sorrelrudder/internal/lease"

// EventKind is what an [Event] tells of.
type EventKind int

// Kinds of events.
const (
	EventLeaderElected EventKind = iota
	EventLeaderUnknown
	EventConfigurationChanged
	EventSnapshotRestored
	EventVoterChanged
	EventDecision
	EventSessionOpened
	EventSessionExpired
	EventLeaseGranted
	EventLeaseTransferred
	EventLeaseRevoked
	EventLeaseReclaimed
)

var eventMessages = [...]string{
	EventLeaderElected:        "consensus leader elected",
	EventLeaderUnknown:        "no consensus leader known",
	EventConfigurationChanged: "consensus configuration changed",
	EventSnapshotRestored:     "replicated state restored from a snapshot",
	EventVoterChanged:         "voter changed",
	EventDecision:             "fleet-wide decision applied",
	EventSessionOpened:        "session opened",
	EventSessionExpired:       "session expired",
	EventLeaseGranted:         "lease granted",
	EventLeaseTransferred:     "lease transferred",
	EventLeaseRevoked:         "lease revoked",
	EventLeaseReclaimed:       "revoked lease reclaimed",
}

// String is the message of the kind in the log.
func (k EventKind) String() string { return eventMessages[k] }

// Event is something that the log is to tell of. Each voter emits it as it applies an entry, and again when the log is replayed at a start.
type Event struct {
	Kind    EventKind
	Message string // Kind's
	Args    []any  // keys and values
}

func (n *Node) event(kind EventKind, args ...any) {
	n.output.Events = append(n.output.Events, Event{kind, kind.String(), args})
}

// leaseEvent tells of the changes of sessions and leases.
func (n *Node) leaseEvent(c lease.Command, r lease.Result) {
	if r.Refusal != "" {
		return
	}
	switch c.Op {
	case lease.OpOpen:
		n.event(EventSessionOpened, "member", c.Member, "session", r.SessionID)
	case lease.OpExpire:
		n.event(EventSessionExpired, "session", c.SessionID)
	case lease.OpAcquire:
		if r.Token != 0 {
			n.event(EventLeaseGranted, "name", c.Name, "member", c.Member, "token", r.Token)
		}
	case lease.OpTransfer:
		n.leaseOperationEvent(EventLeaseTransferred, c)
	case lease.OpRevoke:
		n.leaseOperationEvent(EventLeaseRevoked, c)
	case lease.OpReclaim:
		n.leaseOperationEvent(EventLeaseReclaimed, c)
	}
}

func (n *Node) leaseOperationEvent(kind EventKind, c lease.Command) {
	n.event(kind, "name", c.Name, "member", c.Member, "to", c.To, "token", c.Token)
}
