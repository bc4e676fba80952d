package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// scalar returns the node under key, and whether it has one of the given kinds. It reports a value of another kind as an error.
func (s *section) scalar(key string, kinds ...kind) (*node, bool) {
	n := s.get(key)
	if n == nil {
		return nil, false
	}
	if !slices.Contains(kinds, n.kind) {
		s.reader.fail(n, "got %s, expected %s", n.kind, kinds[0])
		return n, false
	}
	return n, true
}

// text reads a string.
func (s *section) text(key, defaultValue string) string {
	v := defaultValue
	n, ok := s.scalar(key, isString)
	if ok {
		v = n.text
	}
	if ok || defaultValue != "" {
		s.record(key, quote(v), !ok)
	}
	return v
}

// requiredText reads a string that must be present and not empty.
func (s *section) requiredText(key string) string {
	v := s.text(key, "")
	if v == "" && (s.node.table[key] == nil || s.node.table[key].kind == isString) {
		s.reader.fail(s.nodeAt(key), "required value is missing or empty")
	}
	return v
}

// choice reads a string that must be one of words. If defaultValue is empty, the key is required.
func (s *section) choice(key, defaultValue string, words ...string) string {
	v := s.text(key, defaultValue)
	if v == "" && s.node.table[key] == nil {
		s.reader.fail(s.nodeAt(key), "required value is missing; expected one of %s", strings.Join(words, ", "))
	} else if !slices.Contains(words, v) && (s.node.table[key] == nil || s.node.table[key].kind == isString) {
		s.reader.fail(s.nodeAt(key), "invalid value %q; expected one of %s", v, strings.Join(words, ", "))
	}
	return v
}

// boolean reads a boolean.
func (s *section) boolean(key string, defaultValue bool) bool {
	v := defaultValue
	n, ok := s.scalar(key, isBool)
	if ok {
		v = n.text == "true"
	}
	s.record(key, strconv.FormatBool(v), !ok)
	return v
}

// readValue reads a value that has one of the given kinds. parse converts its text, or returns an error for the operator; format writes
// the value as TOML. If the value is absent or invalid, readValue returns defaultValue.
func readValue[T any](s *section, key string, defaultValue T, parse func(text string) (T, error), format func(T) string, kinds ...kind) T {
	v := defaultValue
	n, ok := s.scalar(key, kinds...)
	if ok {
		if parsed, err := parse(n.text); err != nil {
			s.reader.fail(n, "%v", err)
		} else {
			v = parsed
		}
	}
	s.record(key, format(v), !ok)
	return v
}

// integer reads an integer from minimum to maximum.
func (s *section) integer(key string, defaultValue, minimum, maximum int64) int64 {
	parse := func(text string) (int64, error) {
		v, err := strconv.ParseInt(strings.ReplaceAll(text, "_", ""), 0, 64)
		if err != nil {
			return 0, fmt.Errorf("%s is not a 64-bit integer", text)
		}
		if v < minimum || v > maximum {
			return 0, fmt.Errorf("%d is out of range; expected %d to %d", v, minimum, maximum)
		}
		return v, nil
	}
	format := func(v int64) string { return strconv.FormatInt(v, 10) }
	return readValue(s, key, defaultValue, parse, format, isInteger)
}

// number reads an integer or a float from minimum to maximum.
func (s *section) number(key string, defaultValue, minimum, maximum float64) float64 {
	parse := func(text string) (float64, error) {
		v, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
		if err != nil {
			return 0, fmt.Errorf("%s is not a valid number", text)
		}
		if !(v >= minimum && v <= maximum) { // true for NaN
			return 0, fmt.Errorf("%v is out of range; expected %v to %v", v, minimum, maximum)
		}
		return v, nil
	}
	return readValue(s, key, defaultValue, parse, formatFloat, isFloat, isInteger)
}

// formatFloat returns v as a TOML float.
func formatFloat(v float64) string {
	text := strconv.FormatFloat(v, 'f', -1, 64)
	if !strings.Contains(text, ".") {
		text += ".0"
	}
	return text
}

// duration reads a duration with its unit, such as "250ms", from minimum to maximum.
func (s *section) duration(key string, defaultValue, minimum, maximum time.Duration) time.Duration {
	if s.lacksUnit(key, "250ms", isInteger, isFloat) {
		s.record(key, formatDuration(defaultValue), true)
		return defaultValue
	}
	parse := func(text string) (time.Duration, error) {
		v, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("invalid duration %q; expected a number with a unit (us, ms, s, m, h)", text)
		}
		if v < minimum || v > maximum {
			return 0, fmt.Errorf("%v is out of range; expected %v to %v", v, minimum, maximum)
		}
		return v, nil
	}
	return readValue(s, key, defaultValue, parse, formatDuration, isString)
}

func formatDuration(d time.Duration) string { return quote(d.String()) }

// lacksUnit reports whether the value under key has one of the given kinds, which are numbers and so have no unit. If it has, lacksUnit adds
// an error.
func (s *section) lacksUnit(key, example string, kinds ...kind) bool {
	n := s.node.table[key]
	if n == nil || !slices.Contains(kinds, n.kind) {
		return false
	}
	s.get(key)
	s.reader.fail(n, "%s has no unit; write the value as a string with a unit, such as %q", n.text, example)
	return true
}

// texts reads an array of strings.
func (s *section) texts(key string) []string {
	n := s.get(key)
	if n == nil {
		return nil
	}
	if n.kind != isArray {
		s.reader.fail(n, "got %s, expected an array of strings", n.kind)
		return nil
	}
	var texts []string
	for _, item := range n.items {
		if item.kind != isString {
			s.reader.fail(item, "got %s, expected a string", item.kind)
			continue
		}
		texts = append(texts, item.text)
	}
	s.record(key, textArray(texts), false)
	return texts
}
