package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// scalar returns the text of the value under key, and whether there is one of such a kind.
func (s *section) scalar(key string, kinds ...kind) (*node, bool) {
	n := s.get(key)
	if n == nil {
		return nil, false
	}
	if !slices.Contains(kinds, n.kind) {
		s.reader.fail(n, "is %s, not %s", n.kind, kinds[0])
		return n, false
	}
	return n, true
}

// text reads a string.
func (s *section) text(key, fallback string) string {
	v := fallback
	n, ok := s.scalar(key, isString)
	if ok {
		v = n.text
	}
	if ok || fallback != "" {
		s.record(key, quote(v), !ok)
	}
	return v
}

// requiredText reads a string that must be there and not be empty.
func (s *section) requiredText(key string) string {
	v := s.text(key, "")
	if v == "" && (s.node.table[key] == nil || s.node.table[key].kind == isString) {
		s.reader.fail(s.nodeAt(key), "is missing")
	}
	return v
}

// choice reads a string that is one of some words. With the default "" it must be there.
func (s *section) choice(key, fallback string, words ...string) string {
	v := s.text(key, fallback)
	if v == "" && s.node.table[key] == nil {
		s.reader.fail(s.nodeAt(key), "is missing; one of %s", strings.Join(words, ", "))
	} else if !slices.Contains(words, v) && (s.node.table[key] == nil || s.node.table[key].kind == isString) {
		s.reader.fail(s.nodeAt(key), "is %q, not one of %s", v, strings.Join(words, ", "))
	}
	return v
}

// boolean reads a boolean.
func (s *section) boolean(key string, fallback bool) bool {
	v := fallback
	n, ok := s.scalar(key, isBool)
	if ok {
		v = n.text == "true"
	}
	s.record(key, strconv.FormatBool(v), !ok)
	return v
}

// readValue reads a value of one of some kinds. parse returns the value of its text, or what is wrong with it; format writes it as
// TOML. An absent or wrong value gives the fallback.
func readValue[T any](s *section, key string, fallback T, parse func(text string) (T, error), format func(T) string, kinds ...kind) T {
	v := fallback
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

// integer reads an integer from least to most.
func (s *section) integer(key string, fallback, least, most int64) int64 {
	parse := func(text string) (int64, error) {
		v, err := strconv.ParseInt(strings.ReplaceAll(text, "_", ""), 0, 64)
		if err != nil {
			return 0, fmt.Errorf("is %s, which cannot be read as a whole number", text)
		}
		if v < least || v > most {
			return 0, fmt.Errorf("is %d, outside %d to %d", v, least, most)
		}
		return v, nil
	}
	format := func(v int64) string { return strconv.FormatInt(v, 10) }
	return readValue(s, key, fallback, parse, format, isInteger)
}

// number reads an integer or a float from least to most.
func (s *section) number(key string, fallback, least, most float64) float64 {
	parse := func(text string) (float64, error) {
		v, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
		if err != nil {
			return 0, fmt.Errorf("is %s, which cannot be read as a number", text)
		}
		if !(v >= least && v <= most) { // also for NaN
			return 0, fmt.Errorf("is %v, outside %v to %v", v, least, most)
		}
		return v, nil
	}
	return readValue(s, key, fallback, parse, formatFloat, isFloat, isInteger)
}

// formatFloat writes a TOML float.
func formatFloat(v float64) string {
	text := strconv.FormatFloat(v, 'f', -1, 64)
	if !strings.Contains(text, ".") {
		text += ".0"
	}
	return text
}

// duration reads a time with its unit, such as "250ms", from least to most.
func (s *section) duration(key string, fallback, least, most time.Duration) time.Duration {
	if s.lacksUnit(key, "250ms", isInteger, isFloat) {
		s.record(key, formatDuration(fallback), true)
		return fallback
	}
	parse := func(text string) (time.Duration, error) {
		v, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("is %q, which is no time with a unit (us, ms, s, m, h)", text)
		}
		if v < least || v > most {
			return 0, fmt.Errorf("is %v, outside %v to %v", v, least, most)
		}
		return v, nil
	}
	return readValue(s, key, fallback, parse, formatDuration, isString)
}

func formatDuration(d time.Duration) string { return quote(d.String()) }

// lacksUnit reports a value that is a bare number of one of some kinds as an error, and whether there was one.
func (s *section) lacksUnit(key, example string, kinds ...kind) bool {
	n := s.node.table[key]
	if n == nil || !slices.Contains(kinds, n.kind) {
		return false
	}
	s.get(key)
	s.reader.fail(n, "is %s without a unit; write it as a string with one, such as %q", n.text, example)
	return true
}

// texts reads an array of strings.
func (s *section) texts(key string) []string {
	n := s.get(key)
	if n == nil {
		return nil
	}
	if n.kind != isArray {
		s.reader.fail(n, "is %s, not an array of strings", n.kind)
		return nil
	}
	var texts []string
	for _, item := range n.items {
		if item.kind != isString {
			s.reader.fail(item, "is %s, not a string", item.kind)
			continue
		}
		texts = append(texts, item.text)
	}
	s.record(key, textArray(texts), false)
	return texts
}
