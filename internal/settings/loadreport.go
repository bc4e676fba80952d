package settings

import "sorrelrudder/policy"

// Names of the fields of a load report.
const (
	loadFieldQueue     = "queue"
	loadFieldInFlight  = "inflight"
	loadFieldLatency   = "latency_ms"
	loadFieldErrorRate = "eps"
)

// EmptyLoadReport returns a report without values: each field is -1.
func EmptyLoadReport() policy.LoadReport {
	return policy.LoadReport{Queue: -1, InFlight: -1, Latency: -1, ErrorRate: -1}
}

// SetLoadField sets the field of l that has the given name in load reports. Names that the decision module does not use are ignored.
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
