// Package policy decides where a sidecar sends each request. It is a pure state
// machine. The host calls one method of [Balancer] for each event and passes
// the current time. The Balancer responds by calling methods of [Actions]. It
// starts no goroutines and reads no clock, so that equal events and an equal
// seed give equal actions. A host keeps one Balancer for each group of
// endpoints.
//
// # From event to action
//
//	UpdateEndpoints      endpoints.go: updates the endpoint list, orders it
//	                     (subset.go), starts requests that waited for an
//	                     endpoint
//	HandleRequest        admission.go: sends the request, queues it for a load
//	                     sample, rejects it or fails it
//	HandleHealthCheck    threshold.go: marks endpoints, sets the threshold;
//	                     admission.go: sends requests that wait for the sample
//	HandleAttemptResult  outlier.go, latency.go: update the state of the
//	                     endpoint; retry.go: the request has its response, is
//	                     retried, rejected or failed
//	HandleTimer          hedge.go: sends a hedged request; admission.go: ends
//	                     the wait for a sample; balancer.go: ends the request
//
// # Load shedding
//
// Each request has a latency limit (latencyLimit in admission.go): the time
// left to its latency objective. Under a capacity shortage the limit is lower
// if other classes have a higher priority weight per second of their objective.
// The request is shed if the selected endpoint is expected to take longer than
// the limit (exceedsLimit).
//
// A request also ends if no endpoint may be attempted, if its attempts failed
// and no retry is allowed, or if a response would be too late to be of use.
// endReason lists these cases. The request ends with Actions.Reject if a retry
// by the client could help and is harmless (rejectionSafe in retry.go).
// Otherwise it ends with Actions.Fail.
//
// # Endpoint selection
//
// An instance sends to its subset of the endpoints (subset.go). The subset
// prefers endpoints of the instance's own zone. Endpoints that are ejected,
// unresponsive or warming up are left out. A request goes to a random marked
// endpoint of the subset. An endpoint is marked if it reported a queue at or
// below the threshold of the latest sample (JBT-d, threshold.go). If none is
// marked, the request goes to an endpoint that is expected to respond in time
// (rank in selection.go). An endpoint that has just started gets a share of the
// requests in proportion to its capacity (slowstart.go).
//
// # Retries
//
// attemptDenied in retry.go alone decides whether a retry or a hedged request
// is allowed. An attempt that is proven not to have been executed may always be
// repeated. Otherwise the idempotency of the class decides: an idempotent
// request may be repeated; a request with an idempotency key may be repeated
// within the dedup window and scope of its class; any other request may not be
// repeated. No request is retried once part of its response has reached the
// client or its streamed body was sent. AttemptDenial lists the reasons.
//
// # Ejection and readmission
//
// A failed attempt or health check ejects an endpoint (outlier.go). The
// ejection time doubles with each consecutive failure. Failures that may be
// caused by load do not eject: rejections never do, and time-outs only if the
// endpoint was unresponsive or fails repeatedly. Failures during an ejection
// extend it. A hint from other members that they cannot reach an endpoint also
// ejects the endpoint (HandleUnreachableHint).
//
// After the ejection time the next request to arrive triggers a health check,
// and its success readmits the endpoint. Where health checks are not allowed,
// the endpoint is readmitted after the ejection time alone. Ejections are
// ignored while more than half of all endpoints are ejected.
//
// # Units
//
// Time and durations are time.Duration. Latencies in float64 are nanoseconds.
// Queues are in requests. Costs and budgets are in points, the unit in which
// the platform charges the costs in Config.
package policy
