package fleet

import (
	"context"
	"net/http"
	"testing"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/task"
)

// TestOutcomeOfResponse guards against taking a slot that may have run for one that did not. Only a rejection without an attempt that may have
// been executed proves that it did not run.
func TestOutcomeOfResponse(t *testing.T) {
	for name, c := range map[string]struct {
		status          int
		mayHaveExecuted bool
		err             error
		plain           bool
		via             bool
		want            task.Outcome
	}{
		"served":                             {status: http.StatusOK, mayHaveExecuted: true, want: task.OutcomeDone},
		"rejected":                           {status: http.StatusServiceUnavailable, want: task.OutcomeRejected},
		"rejected, may have run":             {status: http.StatusServiceUnavailable, mayHaveExecuted: true, want: task.OutcomeUnknown},
		"over a limit, may have run":         {status: http.StatusTooManyRequests, mayHaveExecuted: true, want: task.OutcomeUnknown},
		"failed":                             {status: http.StatusBadGateway, mayHaveExecuted: true, want: task.OutcomeFailed},
		"no response":                        {err: context.DeadlineExceeded, want: task.OutcomeUnknown},
		"not admitted":                       {err: httpmsg.RejectionError{Status: http.StatusTooManyRequests}, want: task.OutcomeRejected},
		"invalid":                            {err: httpmsg.RejectionError{Status: http.StatusNotFound}, want: task.OutcomeFailed},
		"unavailable server of plain HTTP":   {status: http.StatusServiceUnavailable, plain: true, via: true, want: task.OutcomeFailed},
		"rejected in a pool of plain HTTP":   {status: http.StatusServiceUnavailable, plain: true, want: task.OutcomeRejected},
		"plain HTTP, rejected, may have run": {status: http.StatusServiceUnavailable, plain: true, mayHaveExecuted: true, want: task.OutcomeUnknown},
	} {
		response := httpmsg.InternalResponse{Response: httpmsg.Response{Status: c.status}, MayHaveExecuted: c.mayHaveExecuted}
		if c.via {
			response.Header = http.Header{viaHeader: {"1.1 server"}}
		}
		if got := outcomeOf(response, c.err, c.plain); got != c.want {
			t.Errorf("%s: outcome %q, want %q", name, got, c.want)
		}
	}
}
