package httpservice

import (
	"encoding/base64"
	"math"
	"net/http"
	"strconv"
	"strings"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sorrelrudder/policy"
)

const (
	// orcaField is the header field with a load report of the Open Request Cost Aggregation (ORCA) standard, in one of three formats.
	// orcaBinaryField is the older field, which is always binary.
	orcaField       = "Endpoint-Load-Metrics"
	orcaBinaryField = "Endpoint-Load-Metrics-Bin"
	maxReportBytes  = 4 << 10 // of both fields together; longer reports are ignored
	// maxQueue is the largest number of requests that a report may state. Larger values are ignored.
	maxQueue = 1e6
	// An endpoint with a utilization of fullUtilization or more counts as an endpoint with fullQueue requests.
	fullUtilization = 0.99
	fullQueue       = fullUtilization / (1 - fullUtilization)
)

// parseORCA returns the load that a response reports, or nil if it has no usable report. The binary field is read only if the other field
// is absent.
func parseORCA(header http.Header) *policy.LoadReport {
	text, binary := header.Get(orcaField), header.Get(orcaBinaryField)
	if len(text)+len(binary) > maxReportBytes || text == "" && binary == "" {
		return nil
	}
	if text == "" {
		text = "BIN " + binary
	}
	var report orca.OrcaLoadReport
	if !decodeORCA(text, &report) {
		return nil
	}
	return toLoadReport(&report)
}

// decodeORCA decodes text of the form "FORMAT REPORT", and reports whether it is valid.
func decodeORCA(text string, report *orca.OrcaLoadReport) bool {
	format, content, _ := strings.Cut(text, " ")
	switch format {
	case "BIN":
		return decodeBinary(content, report)
	case "JSON":
		return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal([]byte(content), report) == nil
	case "TEXT":
		decodeText(content, report)
		return true
	}
	return false
}

// decodeBinary decodes a base64-encoded protocol buffer, with or without padding, and reports whether it is valid.
func decodeBinary(text string, r *orca.OrcaLoadReport) bool {
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil {
		raw, err = base64.RawStdEncoding.DecodeString(strings.TrimSpace(text))
	}
	return err == nil && proto.Unmarshal(raw, r) == nil
}

// decodeText decodes a list such as "cpu_utilization=0.3, named_metrics.queue=2". It ignores unknown names and invalid numbers.
func decodeText(text string, report *orca.OrcaLoadReport) {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			continue
		}
		switch name = strings.TrimSpace(name); name {
		case "cpu_utilization":
			report.CpuUtilization = v
		case "application_utilization":
			report.ApplicationUtilization = v
		default:
			if metric, ok := strings.CutPrefix(name, "named_metrics."); ok {
				setNamedMetric(report, metric, v)
			}
		}
	}
}

// setNamedMetric sets a named metric of a report.
func setNamedMetric(report *orca.OrcaLoadReport, name string, v float64) {
	if report.NamedMetrics == nil {
		report.NamedMetrics = map[string]float64{}
	}
	report.NamedMetrics[name] = v
}

// toLoadReport converts a report for the decision module, which needs a number of requests. The named metrics "queue" and "inflight" are
// such numbers. Without them, a utilization u is converted to u/(1-u) requests, the mean number of requests at a single-server queue with
// that utilization. This orders endpoints as their queues would. The application's utilization has precedence over that of the CPU.
// toLoadReport returns nil if the report has no usable value.
func toLoadReport(report *orca.OrcaLoadReport) *policy.LoadReport {
	load := policy.LoadReport{Queue: -1, InFlight: -1, Latency: -1, ErrorRate: -1}
	usable := func(v float64) bool { return v >= 0 && v <= maxQueue } // also false for NaN
	if v, ok := report.GetNamedMetrics()["queue"]; ok && usable(v) {
		load.Queue = v
	}
	if v, ok := report.GetNamedMetrics()["inflight"]; ok && usable(v) {
		load.InFlight = v
	}
	if load.Queue >= 0 || load.InFlight >= 0 {
		return &load
	}
	utilization := report.GetApplicationUtilization()
	if !(utilization > 0) { // also true for NaN
		utilization = report.GetCpuUtilization()
	}
	if !(utilization > 0) || math.IsInf(utilization, 0) {
		return nil
	}
	load.InFlight = fullQueue
	if utilization < fullUtilization {
		load.InFlight = utilization / (1 - utilization)
	}
	return &load
}
