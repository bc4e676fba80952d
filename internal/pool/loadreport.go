package pool

import (
	"slices"
	"strconv"
	"strings"

	"sorrelrudder/internal/settings"
	"sorrelrudder/policy"
)

// maxLoadValue is the highest figure of a load report that is believed.
const maxLoadValue = 1e9

// parseLoadReport reads a report such as "TEXT queue=2, util=0.61" by the names of its fields. It returns nil if no field can be read.
func parseLoadReport(text string, fields []string) *policy.LoadReport {
	text = strings.TrimSpace(text)
	if format, rest, ok := strings.Cut(text, " "); ok && !strings.ContainsAny(format, "=,") {
		text = rest
	}
	load, found := settings.EmptyLoadReport(), false
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		name = strings.TrimSpace(name)
		if !ok || !slices.Contains(fields, name) {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		inRange := v >= 0 && v <= maxLoadValue // NaN is none
		if err != nil || !inRange {
			continue
		}
		settings.SetLoadField(&load, name, v)
		found = true
	}
	if !found {
		return nil
	}
	return &load
}
