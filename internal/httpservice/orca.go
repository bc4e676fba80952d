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
	// orcaField carries a load report of the Open Request Cost Aggregation standard, in one of three formats; orcaBinaryField is
	// its older form, always binary.
	orcaField       = "Endpoint-Load-Metrics"
	orcaBinaryField = "Endpoint-Load-Metrics-Bin"
	maxReportBytes  = 4 << 10
	// maxQueue is the highest queue length, in requests, that is believed.
	maxQueue = 1e6
	// From fullUtilization on an endpoint counts as one that has fullQueue requests.
	fullUtilization = 0.99
	fullQueue       = fullUtilization / (1 - fullUtilization)
)

// parseORCA returns the load that a response reports; nil if it reports none that can be used. The decision module needs a number of
// requests: the named metrics "queue" and "inflight" are such numbers. Otherwise the utilization u stands for u/(1-u) requests, the
// mean at a queue with one server of that utilization, which orders endpoints as their queues would.
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

// decodeORCA decodes "FORMAT REPORT", and reports whether that was possible.
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

// decodeBinary decodes a protocol buffer in base64, with or without padding.
func decodeBinary(text string, r *orca.OrcaLoadReport) bool {
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil {
		raw, err = base64.RawStdEncoding.DecodeString(strings.TrimSpace(text))
	}
	return err == nil && proto.Unmarshal(raw, r) == nil
}

// decodeText decodes a list such as "cpu_utilization=0.3, named_metrics.queue=2". It ignores what it does not know.
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

func setNamedMetric(report *orca.OrcaLoadReport, name string, v float64) {
	if report.NamedMetrics == nil {
		report.NamedMetrics = map[string]float64{}
	}
	report.NamedMetrics[name] = v
}

// toLoadReport returns what the decision module can use of a report, or nil.
func toLoadReport(report *orca.OrcaLoadReport) *policy.LoadReport {
	load := policy.LoadReport{Queue: -1, InFlight: -1, Latency: -1, ErrorRate: -1}
	usable := func(v float64) bool { return v >= 0 && v <= maxQueue } // false for NaN
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
	if !(utilization > 0) { // also for NaN
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
