// Package policy decides where a sidecar sends each request. It is a pure
// state machine: the host calls one method of [Balancer] for each event,
// passing the time, and the Balancer answers by calling methods of [Actions].
// It starts no goroutines and reads no clock, so that equal events and an
// equal seed give equal actions. A host keeps one Balancer for each group of
// endpoints.
//
// # From event to action
//
//	UpdateEndpoints      endpoints.go: keeps the list, orders it (subset.go),
//	                     starts requests that waited for an endpoint
//	HandleRequest        admission.go: send, wait for a sample of loads,
//	                     reject or fail
//	HandleHealthCheck    threshold.go: marks endpoints, sets the threshold;
//	                     admission.go: places the requests that wait for it
//	HandleAttemptResult  outlier.go, latency.go: learns of the endpoint;
//	                     retry.go: answered, retried, rejected or failed
//	HandleTimer          hedge.go: a hedged request; admission.go: the end of
//	                     a wait; balancer.go: the end of a request
//
// # Which requests the Balancer rejects
//
// Each request has a latency limit (latencyLimit in admission.go): the time
// left to its latency objective, or less under a shortage of capacity if other
// classes have a higher priority weight for their time. If the endpoint picked
// for it is expected to take longer (exceedsLimit), the request is shed. A
// request also ends if no endpoint may be attempted, if its attempts failed and
// it may not be retried, or if no response can be of use any more; endReason
// names these cases. It ends with Actions.Reject if a retry by the client could
// help and is harmless (rejectionSafe in retry.go), else with Actions.Fail.
//
// # Where a request goes
//
// An instance sends to its subset of the endpoints (subset.go): those of its own
// zone first, without those that are ejected, unresponsive or warming up. Of
// these it draws one that is marked, i.e. reported a queue at or below the
// threshold of the latest sample (JBT-d, threshold.go); else one that is
// expected to answer in time (rank in selection.go). An endpoint that has just
// started gets a share of the requests by its capacity (slowstart.go).
//
// # What may be retried
//
// attemptDenied in retry.go is the only judge of it, for retries and hedged
// requests alike. An attempt that is proven not to have been executed may always
// be repeated. Otherwise an idempotent request may be; one with an idempotency
// key within the dedup window and scope of its class; any other may not. No
// request is retried once part of its response has reached the client or its
// streamed body was sent. AttemptDenial names the reasons.
//
// # How an endpoint is ejected and readmitted
//
// A failed attempt or health check ejects an endpoint for a time that doubles
// with each failure in a row (outlier.go). Failures that may come from load do
// not: rejections, and time-outs unless the endpoint was silent or fails again
// and again. Failures while it is ejected prolong the time, and a hint that
// other members cannot reach it ejects an endpoint as well
// (HandleUnreachableHint). When the time is over, the next request that arrives
// has a health check sent, and its success readmits the endpoint; where health
// checks are not allowed the time alone does. If more than half of all endpoints
// are ejected, ejections are ignored.
//
// # Units
//
// Time and durations are time.Duration; latencies in float64 are nanoseconds.
// Queues are in requests. Costs and budgets are in points, the unit of the
// tariff that Config tells.
package policy
