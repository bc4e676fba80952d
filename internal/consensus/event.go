package consensus

import "sorrelrudder/internal/lease"

// EventKind is the kind of an [Event].
type EventKind int

// Kinds of events. String returns their log messages.
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
	EventVoterChanged:         "voter command applied",
	EventDecision:             "fleet-wide decision applied",
	EventSessionOpened:        "session opened",
	EventSessionExpired:       "session expired",
	EventLeaseGranted:         "lease granted",
	EventLeaseTransferred:     "lease transferred",
	EventLeaseRevoked:         "lease revoked",
	EventLeaseReclaimed:       "revoked lease reclaimed",
}

// String returns the log message of events of the kind.
func (k EventKind) String() string { return eventMessages[k] }

// Event is a log record for the caller to write. Each node emits the events of an entry when it applies the entry, and again when it
// replays the log at a start.
type Event struct {
	Kind    EventKind
	Message string // Kind.String()
	Args    []any  // alternating attribute keys and values, as for log/slog
}

// event adds an event to the output.
func (n *Node) event(kind EventKind, args ...any) {
	n.output.Events = append(n.output.Events, Event{kind, kind.String(), args})
}

// leaseEvent adds the event of an applied lease command, if the command has one and was not refused.
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

// leaseOperationEvent adds the event of a transfer, revocation or reclaim.
func (n *Node) leaseOperationEvent(kind EventKind, c lease.Command) {
	n.event(kind, "name", c.Name, "member", c.Member, "to", c.To, "token", c.Token)
}
