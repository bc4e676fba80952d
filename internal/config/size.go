package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// sizeUnits are the units of sizes: the binary units in ascending order, then the others. B is last, because the names of all other units
// end in B.
var sizeUnits = []struct {
	name string
	size int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// binaryUnits is the number of binary units (powers of 1024) at the start of sizeUnits.
const binaryUnits = 3

// size reads a number of bytes with its unit, such as "64KiB", from minimum to maximum.
func (s *section) size(key string, defaultValue, minimum, maximum int64) int64 {
	format := func(v int64) string { return quote(formatSize(v)) }
	if s.lacksUnit(key, "64KiB", isInteger) {
		s.record(key, format(defaultValue), true)
		return defaultValue
	}
	parse := func(text string) (int64, error) {
		v, err := parseSize(text)
		if err != nil {
			return 0, fmt.Errorf("invalid size %q; expected an integer with a unit (B, KiB, MiB, GiB, kB, MB, GB)", text)
		}
		if v < minimum || v > maximum {
			return 0, fmt.Errorf("%s is out of range; expected %s to %s", text, formatSize(minimum), formatSize(maximum))
		}
		return v, nil
	}
	return readValue(s, key, defaultValue, parse, format, isString)
}

// parseSize parses a number of bytes with its unit.
func parseSize(text string) (int64, error) {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(text, u.name)
		if !found {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || v < 0 || v > math.MaxInt64/u.size {
			return 0, fmt.Errorf("invalid size %q", text)
		}
		return v * u.size, nil
	}
	return 0, fmt.Errorf("size %q has no unit", text)
}

// formatSize returns a number of bytes in the largest binary unit in which it is a whole number.
func formatSize(v int64) string {
	for _, u := range slices.Backward(sizeUnits[:binaryUnits]) {
		if v > 0 && v%u.size == 0 {
			return strconv.FormatInt(v/u.size, 10) + u.name
		}
	}
	return strconv.FormatInt(v, 10) + "B"
}
