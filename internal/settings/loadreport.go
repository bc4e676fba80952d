package settings

import "sorrelrudder/policy"

// The names of the values in a load report.
const (
	loadFieldQueue     = "queue"
	loadFieldInFlight  = "inflight"
	loadFieldLatency   = "latency_ms"
	loadFieldErrorRate = "eps"
)

// EmptyLoadReport returns a report in which nothing is reported: each value is -1.
func EmptyLoadReport() policy.LoadReport {
	return policy.LoadReport{Queue: -1, InFlight: -1, Latency: -1, ErrorRate: -1}
}

// SetLoadField notes the value that a report gives under a field's name. Fields that the decision module has no use for are skipped.
func SetLoadField(l *policy.LoadReport, field string, value float64) {
	switch field {
	case loadFieldQueue:
		l.Queue = value
	case loadFieldInFlight:
		l.InFlight = value
	case loadFieldLatency:
		l.Latency = value
	case loadFieldErrorRate:
		l.ErrorRate = value
	}
}
