// Package policy decides where a sidecar sends each request. It is a pure
// state machine: the host calls one method of Balancer per event, passing the
// time, and the Balancer answers by calling methods of Actions. It starts no
// goroutines and reads no clock, so equal events give equal actions.
package policy
