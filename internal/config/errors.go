package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one error of a file, and its place.
type Error struct {
	File string
	Line int    // from 1
	Key  string // such as routes[2].path, counted from 1; "" if no key is concerned
	Text string
}

// Error returns the text as file:line: key: text.
func (e Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Text)
}

// Errors are all errors of a file, in the order of its lines. There is at least one.
type Errors []Error

// Error returns the errors, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted puts the errors in the order of their lines, and returns them.
func (e Errors) sorted() Errors {
	slices.SortStableFunc(e, func(a, b Error) int { return cmp.Compare(a.Line, b.Line) })
	return e
}
