// Package policy decides where an instance sends each request. [Balancer] is a
// deterministic state machine. The host calls one method of the Balancer for
// each event and passes the current time. The Balancer responds by calling
// methods of [Actions]. It starts no goroutines and reads no clock, so that
// equal events and an equal seed give equal actions. A host keeps one Balancer
// for each pool of endpoints. Each rule is in a file of its own.
//
// # Terms
//
//	host      the code that calls the Balancer and carries out its actions
//	instance  one Balancer with its host; a process has one for each of its pools
//	group     all instances that send to the same pool of endpoints
//	cell      a part of a zone; with DedupCell its endpoints drop repeats together
//	try       a request as sent by the client, which may send it again
//	attempt   a request as sent by an instance to an endpoint; one try may lead
//	          to several attempts
//
// # From event to action
//
// The main events and the rules that they reach:
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
//	HandleTimer          endpoints.go: calls the list service; hedge.go: sends a
//	                     hedged request; admission.go: ends the wait for a
//	                     sample; balancer.go: ends the request
//
// HandleBodyStarted, HandleBodyFinished, HandleResponseStarted and
// HandleRequestAbandoned (balancer.go) report the progress of a request that
// the host observes. HandleUnreachableHint (outlier.go) ejects an endpoint.
//
// # Load shedding
//
// Each request has a latency limit (latencyLimit in admission.go): the time
// left to its latency objective. The priority density of a class is its
// priority weight per second of its objective. Under a capacity shortage, the
// limit of a class below the highest priority density is lower and varies at
// random. The request is shed if the selected endpoint is expected to take
// longer than the limit (exceedsLimit).
//
// A request also ends if no endpoint may get an attempt, if its attempts failed
// and no retry is allowed, or if a response would be too late to be of use.
// endReason lists these cases. The request ends with Actions.Reject if a retry
// by the client could help and is harmless (retryPolicy.rejectionSafe in retry.go).
// Otherwise it ends with Actions.Fail.
//
// # Endpoint selection
//
// An instance sends to its subset of the endpoints (subset.go). The subset
// prefers endpoints of the instance's zone. Endpoints that are ejected,
// unresponsive or warming up are replaced by the next endpoints in the order of
// preference of the instance. The result is the active subset. A request goes
// to a random endpoint of the best rank in the active subset. The ranks, best
// first, are: safe and marked; safe but not marked; expected in time; and, for a
// first attempt only, expected late (rank in selection.go). An endpoint is
// marked if it reported a queue at or below the threshold of the latest sample
// (JBT-d, threshold.go). It is safe if twice its expected latency is within the
// objective. If no endpoint of the active subset may be used, the request goes
// to another ready endpoint, even if that is ejected or unresponsive. An
// endpoint that has just started gets a share of the requests in proportion to
// its capacity (slowstart.go).
//
// # Retries
//
// attemptDenial in retry.go decides whether a retry or a hedged request is
// harmless. Other rules only add restrictions: scheduleHedge excludes streamed
// bodies, and rankOf excludes attempts after the first that would be late, go to
// the same endpoint again, or go to a warming endpoint.
//
// An attempt that is proven not to have been executed may always be repeated.
// Otherwise the idempotency of the class decides: an idempotent request may be
// repeated; a request with an idempotency key may be repeated within the dedup
// window and scope of its class; any other request may not be repeated. No
// request is retried once part of its response has reached the client or the
// sending of its streamed body has begun. AttemptDenial lists the reasons.
//
// # Ejection and readmission
//
// A failed attempt or health check ejects an endpoint (outlier.go). The
// ejection time doubles with each consecutive failure. Failures that may be
// caused by load do not eject: rejections never do, and timeouts only if the
// endpoint was unresponsive or fails repeatedly. Failures during an ejection
// extend it. A hint from other instances that they cannot reach an endpoint
// also ejects the endpoint (HandleUnreachableHint).
//
// After the ejection time the next request to arrive triggers a health check,
// and its success readmits the endpoint. Where health checks are not allowed,
// the endpoint is readmitted after the ejection time alone. While more than
// half of the ready endpoints are ejected, the active subset includes ejected
// endpoints.
//
// # Units
//
// Time and durations are time.Duration. Latencies in float64 are nanoseconds.
// Queues are in requests. Unless a comment speaks of waiting requests, the
// queue of an endpoint is the larger of LoadReport.Queue and
// LoadReport.InFlight and so includes the requests that are being processed.
// Costs and budgets are in points, the unit in which the platform charges the
// costs in Config.
package policy
