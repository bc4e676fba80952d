package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is an error of a file, with its location.
type Error struct {
	File string
	Line int    // counted from 1
	Key  string // such as routes[2].path, with indexes counted from 1; "" if the error concerns no key
	Text string
}

// Error returns the error as file:line: key: text, without the key if there is none.
func (e Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Text)
}

// Errors is the list of all errors of a file, sorted by line. It is never empty.
type Errors []Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the errors by line in place, and returns them. Errors of the same line keep their order.
func (e Errors) sorted() Errors {
	slices.SortStableFunc(e, func(a, b Error) int { return cmp.Compare(a.Line, b.Line) })
	return e
}
