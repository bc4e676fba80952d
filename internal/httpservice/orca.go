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
	// orcaField carries a report of the Open Request Cost Aggregation standard, in one of three forms; orcaBinary its oldest.
	orcaField       = "Endpoint-Load-Metrics"
	orcaBinaryField = "Endpoint-Load-Metrics-Bin"
	// maxReportBytes bounds it.
	maxReportBytes = 4 << 10
	// maxQueue is the highest queue that a report is taken to tell.
	maxQueue = 1e6
	// fullUtilization is the utilisation at and beyond which a server counts as one with a queue of fullQueue.
	fullUtilization = 0.99
	fullQueue       = fullUtilization / (1 - fullUtilization)
)

// parseORCA reads the load that an answer tells, nil if it tells none that can be used. What the module marks servers by is a
// queue: the named metrics `queue` and `inflight` are that; else the utilisation u stands for the u/(1-u) requests that a server
// so busy holds at the mean, which orders servers as their queues would.
func parseORCA(h http.Header) *policy.LoadReport {
	text, binary := h.Get(orcaField), h.Get(orcaBinaryField)
	if len(text)+len(binary) > maxReportBytes || text == "" && binary == "" {
		return nil
	}
	var r orca.OrcaLoadReport
	format, rest, _ := strings.Cut(text, " ")
	switch {
	case text == "":
		if !decodeBinary(binary, &r) {
			return nil
		}
	case format == "BIN":
		if !decodeBinary(rest, &r) {
			return nil
		}
	case format == "JSON":
		if (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal([]byte(rest), &r) != nil {
			return nil
		}
	case format == "TEXT":
		decodeText(rest, &r)
	default:
		return nil
	}
	return toLoadReport(&r)
}

func decodeBinary(text string, r *orca.OrcaLoadReport) bool {
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil {
		raw, err = base64.RawStdEncoding.DecodeString(strings.TrimSpace(text))
	}
	return err == nil && proto.Unmarshal(raw, r) == nil
}

// decodeText reads "cpu_utilization=0.3, named_metrics.queue=2". What it does not know it passes over.
func decodeText(text string, r *orca.OrcaLoadReport) {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			continue
		}
		switch name = strings.TrimSpace(name); name {
		case "cpu_utilization":
			r.CpuUtilization = v
		case "application_utilization":
			r.ApplicationUtilization = v
		default:
			if metric, ok := strings.CutPrefix(name, "named_metrics."); ok {
				if r.NamedMetrics == nil {
					r.NamedMetrics = map[string]float64{}
				}
				r.NamedMetrics[metric] = v
			}
		}
	}
}

func toLoadReport(r *orca.OrcaLoadReport) *policy.LoadReport {
	l := policy.LoadReport{Queue: -1, InFlight: -1, Latency: -1, ErrorRate: -1}
	usable := func(v float64) bool { return v >= 0 && v <= maxQueue } // not NaN
	if v, ok := r.GetNamedMetrics()["queue"]; ok && usable(v) {
		l.Queue = v
	}
	if v, ok := r.GetNamedMetrics()["inflight"]; ok && usable(v) {
		l.InFlight = v
	}
	if l.Queue >= 0 || l.InFlight >= 0 {
		return &l
	}
	util := r.GetApplicationUtilization()
	if !(util > 0) {
		util = r.GetCpuUtilization()
	}
	if !(util > 0) || math.IsInf(util, 0) {
		return nil
	}
	l.InFlight = fullQueue
	if util < fullUtilization {
		l.InFlight = util / (1 - util)
	}
	return &l
}
