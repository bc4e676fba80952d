package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// sizeUnits are the units of sizes: the binary ones in ascending order, then the others. B is last, since the names of the others end
// in it.
var sizeUnits = []struct {
	name string
	size int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// binaryUnits is how many of sizeUnits are powers of 1024.
const binaryUnits = 3

// size reads a number of bytes with its unit, such as "64KiB", from least to most.
func (s *section) size(key string, fallback, least, most int64) int64 {
	format := func(v int64) string { return quote(formatSize(v)) }
	if s.lacksUnit(key, "64KiB", isInteger) {
		s.record(key, format(fallback), true)
		return fallback
	}
	parse := func(text string) (int64, error) {
		v, err := parseSize(text)
		if err != nil {
			return 0, fmt.Errorf("is %q, which is no size with a unit (B, KiB, MiB, GiB, kB, MB, GB)", text)
		}
		if v < least || v > most {
			return 0, fmt.Errorf("is %s, outside %s to %s", text, formatSize(least), formatSize(most))
		}
		return v, nil
	}
	return readValue(s, key, fallback, parse, format, isString)
}

// parseSize reads a number of bytes with its unit.
func parseSize(text string) (int64, error) {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(text, u.name)
		if !found {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || v < 0 || v > math.MaxInt64/u.size {
			return 0, fmt.Errorf("%q is no size", text)
		}
		return v * u.size, nil
	}
	return 0, fmt.Errorf("%q has no unit", text)
}

// formatSize writes a number of bytes with the largest unit that leaves a whole number.
func formatSize(v int64) string {
	for _, u := range slices.Backward(sizeUnits[:binaryUnits]) {
		if v > 0 && v%u.size == 0 {
			return strconv.FormatInt(v/u.size, 10) + u.name
		}
	}
	return strconv.FormatInt(v, 10) + "B"
}
