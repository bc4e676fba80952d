package fleet

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/task"
)

// minRetryPause is the minimum time before a rejected slot is retried.
const minRetryPause = 20 * time.Millisecond

// taskRunner is a task with the state machine that runs its slots. Host.mu guards it.
type taskRunner struct {
	cfg  Task
	core *task.Runner
}

// hasRunningTasks reports whether a task has a request in flight.
func (h *Host) hasRunningTasks() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.runners {
		if r.core.Busy() {
			return true
		}
	}
	return false
}

// runTasks runs the due work of all tasks and returns the latest time of the next call. The caller must hold mu.
func (h *Host) runTasks(now time.Duration) time.Duration {
	at := time.Duration(math.MaxInt64)
	wall := time.Now()
	for _, r := range h.runners {
		name := taskLeaseName(r.cfg.Name)
		token, until, _ := h.session.Token(now, name)
		_, handingOver := h.handovers[name]
		if (h.leaving || handingOver) && !r.core.Busy() {
			continue // no further slot is started
		}
		action, next := r.core.Next(now, wall, token, until)
		h.runTaskAction(r, action)
		at = min(at, next)
	}
	return at
}

// runTaskAction carries out an action of a task's state machine. The caller must hold mu.
func (h *Host) runTaskAction(r *taskRunner, a task.Action) {
	switch {
	case a.FetchRecord:
		h.fetchTaskRecord(r)
	case a.Command != nil:
		h.submitTaskCommand(r, *a.Command)
	case a.Send != nil:
		request := *a.Send
		h.goroutines.Go(func() { h.sendTaskRequest(r, request) })
	}
}

// fetchTaskRecord requests the record of a task's slots from the leader. The caller must hold mu.
func (h *Host) fetchTaskRecord(r *taskRunner) {
	at := r.core.FetchedAt()
	h.submit(&pendingRequest{request: consensus.Request{TaskRecords: []string{r.cfg.Name}}, onResponse: func(res consensus.Response) {
		if res.TaskRecords != nil {
			r.core.HandleRecord(at, res.TaskRecords[r.cfg.Name])
		}
	}})
}

// submitTaskCommand requests that the leader record the start or the end of a slot. The caller must hold mu.
func (h *Host) submitTaskCommand(r *taskRunner, c task.Command) {
	h.submit(&pendingRequest{request: consensus.Request{Task: &c}, onResponse: func(res consensus.Response) {
		if res.Task == nil {
			return
		}
		now := h.clock.Now()
		token, _, _ := h.session.Token(now, taskLeaseName(r.cfg.Name))
		r.core.HandleResult(now, c, *res.Task, token)
		if c.Op == task.OpFinish && res.Task.Refusal == "" {
			h.log.Info("task slot finished", "task", r.cfg.Name, "slot", c.Slot, "outcome", string(c.Outcome), "token", c.Token)
		}
	}})
}

// sendTaskRequest sends the request of a slot through the task's pool and passes the outcome to the task's state machine.
func (h *Host) sendTaskRequest(r *taskRunner, s task.SlotRequest) {
	timeout := h.clock.Real(s.Deadline - h.clock.Now())
	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	response, err := h.sender.Do(ctx, r.cfg.Pool, taskHTTPRequest(&r.cfg, s, timeout))
	outcome := outcomeOf(response, err, r.cfg.Plain)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	r.core.HandleOutcome(now, outcome, now+max(response.RetryAfter, minRetryPause))
	h.runDue()
}

// taskHTTPRequest returns the request of a slot. Its headers carry the key of the slot and the fencing token.
func taskHTTPRequest(cfg *Task, s task.SlotRequest, timeout time.Duration) *httpmsg.Request {
	token := strconv.FormatUint(s.Token, 10)
	header := http.Header{
		"X-Request-Id":  {s.Key + "-" + token + "-" + strconv.Itoa(s.Attempt)},
		"X-Timeout-Ms":  {strconv.FormatInt(max(1, timeout.Milliseconds()), 10)},
		"Fencing-Token": {token},
		"Task-Slot":     {s.Key},
	}
	if cfg.Idempotency == task.IdempotentByKey {
		header.Set("Idempotency-Key", s.Key)
	}
	if cfg.Tenant != "" {
		header.Set("X-Tenant-Id", cfg.Tenant)
	}
	path, _, _ := strings.Cut(cfg.Path, "?")
	return &httpmsg.Request{
		Method: cfg.Method,
		URI:    cfg.Path,
		Path:   path,
		Host:   cmp.Or(cfg.Host, cfg.Pool),
		Header: header,
		Length: int64(len(cfg.Body)),
		Body:   []byte(cfg.Body),
	}
}

// viaHeader is set in responses of ordinary HTTP servers, but not in this process's own responses.
const viaHeader = "Via"

// outcomeOf returns the outcome of a slot by the response to its request. A rejection without an attempt that may have been executed
// guarantees that nothing has run. After such an attempt, it only tells that servers drop a repeat for now. A failure guarantees nothing, and
// neither does the 503 of a server that speaks ordinary HTTP.
func outcomeOf(response httpmsg.InternalResponse, err error, plain bool) task.Outcome {
	var rejection httpmsg.RejectionError
	switch {
	case errors.As(err, &rejection) && rejection.Retryable():
		return task.OutcomeRejected
	case errors.As(err, &rejection):
		return task.OutcomeFailed
	case err != nil:
		return task.OutcomeUnknown
	case response.Status >= 200 && response.Status < 300:
		return task.OutcomeDone
	case plain && response.Header.Get(viaHeader) != "":
		return task.OutcomeFailed
	case response.Status != http.StatusServiceUnavailable && response.Status != http.StatusTooManyRequests:
		return task.OutcomeFailed
	case response.MayHaveExecuted:
		return task.OutcomeUnknown
	}
	return task.OutcomeRejected
}
