package pool

import (
	"slices"
	"strconv"
	"strings"

	"sorrelrudder/internal/settings"
	"sorrelrudder/policy"
)

// maxLoadValue is the highest value accepted in a load report.
const maxLoadValue = 1e9

// parseLoadReport parses a report such as "TEXT queue=2, util=0.61", of which it reads the given fields. It skips invalid fields, and
// returns nil if no field is valid.
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
		inRange := v >= 0 && v <= maxLoadValue // false for NaN
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
