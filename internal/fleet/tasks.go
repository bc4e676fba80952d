package fleet

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sorrelrudder/internal/consensus"
	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/task"
)

type taskRunner struct {
	cfg       Task
	core      *task.Runner
	notBefore time.Duration // not to be asked before
}

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

// runTaskAction carries out what a task's runner wants. The caller has mu.
func (h *Host) runTaskAction(r *taskRunner, a task.Action) {
	switch {
	case a.FetchRecord:
		asked := r.core.FetchedAt()
		h.submit(&pendingRequest{request: consensus.Request{TaskRecords: []string{r.cfg.Name}}, onResponse: func(res consensus.Response) {
			if res.TaskRecords != nil {
				r.core.HandleRecord(h.clock.Now(), asked, res.TaskRecords[r.cfg.Name])
			}
		}})
	case a.Command != nil:
		c := *a.Command
		h.submit(&pendingRequest{request: consensus.Request{Task: &c}, onResponse: func(res consensus.Response) {
			if res.Task != nil {
				now := h.clock.Now()
				token, _, _ := h.session.Token(now, taskLeaseName(r.cfg.Name))
				r.core.HandleResult(now, c, *res.Task, token)
				if c.Op == task.OpFinish && res.Task.Refusal == "" {
					h.log.Info("task slot", "task", r.cfg.Name, "slot", c.Slot, "outcome", string(c.Outcome), "token", c.Token)
				}
			}
		}})
	case a.Send != nil:
		s := *a.Send
		h.goroutines.Go(func() { h.sendTaskRequest(r, s) })
	}
}

// sendTaskRequest sends the request of a slot through its pool, and notes what came of it.
func (h *Host) sendTaskRequest(r *taskRunner, s task.SlotRequest) {
	deadline := h.clock.Real(s.Deadline - h.clock.Now())
	ctx, cancel := context.WithTimeout(h.ctx, deadline)
	defer cancel()
	name := s.Key + "-" + strconv.FormatUint(s.Token, 10) + "-" + strconv.Itoa(s.Attempt)
	header := http.Header{
		"X-Request-Id": {name}, "X-Timeout-Ms": {strconv.FormatInt(max(1, deadline.Milliseconds()), 10)},
		"Fencing-Token": {strconv.FormatUint(s.Token, 10)}, "Task-Slot": {s.Key},
	}
	if r.cfg.Idempotency == task.IdempotentByKey {
		header.Set("Idempotency-Key", s.Key)
	}
	if r.cfg.Tenant != "" {
		header.Set("X-Tenant-Id", r.cfg.Tenant)
	}
	path, _, _ := strings.Cut(r.cfg.Path, "?")
	a, err := h.sender.Do(ctx, r.cfg.Pool, &httpmsg.Request{
		Method: r.cfg.Method, URI: r.cfg.Path, Path: path, Host: cmp.Or(r.cfg.Host, r.cfg.Pool), Header: header, Length: int64(len(r.cfg.Body)), Body: []byte(r.cfg.Body),
	})
	outcome := outcomeOf(a, err, r.cfg.Plain)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	r.core.HandleOutcome(now, outcome, now+max(a.RetryAfter, 20*time.Millisecond))
	h.runDue()
}

// outcomeOf is what an answer says of a slot: a refusal promises that nothing has run, a failure promises nothing. The refusal of a server
// that speaks plain HTTP promises nothing either; its answer bears the mark of having been passed on, and this process' own does not.
func outcomeOf(a httpmsg.Response, err error, plain bool) task.Outcome {
	bad, isBad := err.(httpmsg.RejectionError)
	switch {
	case isBad && bad.Retryable():
		return task.OutcomeRejected
	case isBad:
		return task.OutcomeFailed
	case err != nil:
		return task.OutcomeUnknown
	case a.Status >= 200 && a.Status < 300:
		return task.OutcomeDone
	case plain && a.Header.Get("Via") != "":
		return task.OutcomeFailed
	case a.Status == http.StatusServiceUnavailable, a.Status == http.StatusTooManyRequests:
		return task.OutcomeRejected
	}
	return task.OutcomeFailed
}
