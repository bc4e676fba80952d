package simwire

import (
	"encoding/json"

	"sorrelrudder/policy"
)

// command is the kind of a message or of an action.
type command string

// Commands of the simulator's messages.
const (
	commandOpen              command = "OpenInstance"
	commandClose             command = "Halt"
	commandEndpointList      command = "Pool" // an endpoint list, to which commandEndpointUpdate refers
	commandEndpointUpdate    command = "BackendsChanged"
	commandRequest           command = "Demand"
	commandResponseStarted   command = "Opened"
	commandAttemptResult     command = "ReportBack"
	commandClientGone        command = "Withdrawn"
	commandTimer             command = "DeadlineHit"
	commandHealthCheckResult command = "HealthResult"
	commandNote              command = "Memo" // a note of another process; it is ignored
)

// Commands of the instances' actions.
const (
	commandStartAttempt   command = "Route"
	commandReject         command = "OverloadReply"
	commandFail           command = "Lose"
	commandCancelAttempt  command = "DropAttempt"
	commandSetTimer       command = "SetTimer"
	commandCheckHealth    command = "Ping"
	commandWatchEndpoints command = "KeepInformed"
	commandLog            command = "JournalLine"
	commandPanic          command = "Fault"
)

// messageBatch is one line from the simulator: the messages of one point in time.
type messageBatch struct {
	TimeUs *int64         `json:"AtTimeUs"`
	Groups []messageGroup `json:"groups"`
}

// messageGroup holds the messages to one instance.
type messageGroup struct {
	Instance string    `json:"Sidecar"`
	Messages []message `json:"msgs"`
}

// message has the fields of all kinds of messages. Command determines which are set.
type message struct {
	Command        command         `json:"cmd"`
	Seed           uint64          `json:"Salt"`
	Settings       json.RawMessage `json:"Settings"`
	ListNumber     int             `json:"Page"`
	Endpoints      []endpoint      `json:"Lines"`
	UpdateKind     string          `json:"How"`
	RequestID      uint64          `json:"Corr"`
	ExpectedWorkUs int64           `json:"CostUs"`
	ExpiresUs      int64           `json:"ExpiresUs"`
	IsRetry        bool            `json:"IsRetry"`
	Key            string          `json:"Item"`
	Tenant         any             `json:"Project"` // the name as a string, or the number 0 at sites without tenants
	Class          string          `json:"Type"`
	Attempt        int             `json:"Shot"`
	RequestEnded   bool            `json:"Terminal"`
	Status         string          `json:"Disposition"`
	DelayUs        int64           `json:"DelaySeenUs"`
	Endpoint       string          `json:"Upstream"`
	LoadReport     []float64       `json:"Metrics"`
	TimerToken     string          `json:"Ctx"`
}

// endpoint is an entry of an endpoint list.
type endpoint struct {
	StartedUs   int64   `json:"LastStartUs"`
	Weight      float64 `json:"CapacityHint"`
	State       string  `json:"Lifecycle"`
	Zone        string  `json:"Az"`
	ID          string  `json:"Upstream"`
	Cell        int     `json:"UnitGroup"`
	MachineType string  `json:"GenerationHw"`
}

// actionBatch is the response line to a messageBatch.
type actionBatch struct {
	Groups []actionGroup `json:"groups"`
}

// actionGroup holds the actions of one instance.
type actionGroup struct {
	Instance string   `json:"Sidecar"`
	Actions  []action `json:"orders"`
}

// action has the fields of all kinds of actions. Fields whose zero value must be encoded are pointers.
type action struct {
	Command      command           `json:"cmd"`
	RequestID    *policy.RequestID `json:"Corr,omitempty"`
	Endpoint     policy.EndpointID `json:"Upstream,omitzero"`
	TimeoutUs    int64             `json:"MaxWaitUs,omitzero"`
	RetryAfterUs int64             `json:"StayAwayUs,omitzero"`
	Attempt      *int              `json:"Shot,omitempty"`
	AfterUs      *int64            `json:"AfterUs,omitempty"`
	TimerToken   string            `json:"Ctx,omitzero"`
	Active       *bool             `json:"Active,omitempty"`
	Text         string            `json:"Text,omitzero"`
}

// statusByName maps the values of Disposition.
var statusByName = map[string]policy.Status{
	"delivered":   policy.StatusOK,
	"app_error":   policy.StatusApplicationError,
	"shed":        policy.StatusOverloaded,
	"expired":     policy.StatusTimeout,
	"dial_failed": policy.StatusConnectFailed,
	"dropped":     policy.StatusReset,
	"revoked":     policy.StatusCanceled,
	"unused":      policy.StatusNotSent,
}

// stateByName maps the values of Lifecycle.
var stateByName = map[string]policy.EndpointState{
	"on":     policy.Ready,
	"fading": policy.Draining,
	"off":    policy.Removed,
}

// updateKindByName maps the values of How.
var updateKindByName = map[string]policy.UpdateKind{
	"patch":      policy.UpdateDelta,
	"whole":      policy.UpdateFull,
	"stale_copy": policy.UpdateCached,
	"broken":     policy.UpdatePollFailed,
}
