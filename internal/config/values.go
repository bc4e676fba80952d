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

// integer reads an integer from least to most.
func (s *section) integer(key string, fallback, least, most int64) int64 {
	v := fallback
	n, ok := s.scalar(key, isInteger)
	if ok {
		got, err := strconv.ParseInt(strings.ReplaceAll(n.text, "_", ""), 0, 64)
		switch {
		case err != nil:
			s.reader.fail(n, "is %s, which cannot be read as a whole number", n.text)
		case got < least || got > most:
			s.reader.fail(n, "is %d, outside %d to %d", got, least, most)
		default:
			v = got
		}
	}
	s.record(key, strconv.FormatInt(v, 10), !ok)
	return v
}

// number reads an integer or a float from least to most.
func (s *section) number(key string, fallback, least, most float64) float64 {
	v := fallback
	n, ok := s.scalar(key, isFloat, isInteger)
	if ok {
		got, err := strconv.ParseFloat(strings.ReplaceAll(n.text, "_", ""), 64)
		switch {
		case err != nil:
			s.reader.fail(n, "is %s, which cannot be read as a number", n.text)
		case !(got >= least && got <= most): // guards against NaN too
			s.reader.fail(n, "is %v, outside %v to %v", got, least, most)
		default:
			v = got
		}
	}
	text := strconv.FormatFloat(v, 'f', -1, 64)
	if !strings.Contains(text, ".") {
		text += ".0"
	}
	s.record(key, text, !ok)
	return v
}

// duration reads a time with its unit, such as "250ms", from least to most.
func (s *section) duration(key string, fallback, least, most time.Duration) time.Duration {
	v := fallback
	n, ok := s.scalar(key, isString)
	if !ok && n != nil && (n.kind == isInteger || n.kind == isFloat) {
		s.reader.errs[len(s.reader.errs)-1].Text = fmt.Sprintf("is %s without a unit; write it as a string with one, such as \"250ms\"", n.text)
	}
	if ok {
		got, err := time.ParseDuration(n.text)
		switch {
		case err != nil:
			s.reader.fail(n, "is %q, which is no time with a unit (us, ms, s, m, h)", n.text)
		case got < least || got > most:
			s.reader.fail(n, "is %v, outside %v to %v", got, least, most)
		default:
			v = got
		}
	}
	s.record(key, quote(v.String()), !ok)
	return v
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
