// Package config reads the operator's file: listeners, pools, routes and limits in TOML. It reports every error with its
// file, line and key, writes out what it read with all defaults, and makes the process's configuration of it. It decides
// nothing that the process could decide.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is one thing that is wrong with a file.
type Error struct {
	File string
	Line int    // from 1
	Key  string // as routes[2].path, counted from 1; empty for what concerns no key
	Text string
}

func (e Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Text)
}

// Errors are all things that are wrong with a file, in the order of its lines.
type Errors []Error

func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// kind is what a node is.
type kind string

const (
	isTable   kind = "a table"
	isTables  kind = "tables"
	isArray   kind = "an array"
	isString  kind = "a string"
	isInteger kind = "a whole number"
	isFloat   kind = "a number"
	isBool    kind = "true or false"
	isOther   kind = "a date or time"
)

// node is a value of the file and its place.
type node struct {
	kind  kind
	line  int
	path  string
	text  string // of a scalar
	keys  []string
	table map[string]*node
	items []*node
}

func newTable(path string, line int) *node {
	return &node{kind: isTable, path: path, line: line, table: map[string]*node{}}
}

func join(path, key string) string {
	if key != "" && strings.Trim(key, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") != "" {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

func (n *node) put(key string, v *node) {
	if _, had := n.table[key]; !had {
		n.keys = append(n.keys, key)
	}
	n.table[key] = v
}

// parseTree reads text as TOML. The library says whether it is TOML at all, twice-named keys included, and its parser where
// each key stands.
func parseTree(file string, text []byte) (*node, error) {
	var any map[string]any
	if err := toml.Unmarshal(text, &any); err != nil {
		line := 1
		var de *toml.DecodeError
		key := ""
		if errors.As(err, &de) {
			line, _ = de.Position()
			key = strings.Join(de.Key(), ".")
		}
		return nil, Errors{{file, line, key, strings.TrimPrefix(err.Error(), "toml: ")}}
	}
	root := newTable("", 1)
	var p unstable.Parser
	p.Reset(text)
	at := root
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			at = root
			path, lines := keyPath(&p, e)
			for i, key := range path {
				last := i == len(path)-1
				at = at.enter(key, lines[i], last && e.Kind == unstable.ArrayTable)
			}
		case unstable.KeyValue:
			path, lines := keyPath(&p, e)
			to := at
			for i, key := range path[:len(path)-1] {
				to = to.enter(key, lines[i], false)
			}
			last := path[len(path)-1]
			to.put(last, value(&p, e.Value(), join(to.path, last), lines[len(lines)-1]))
		}
	}
	if err := p.Error(); err != nil { // cannot be, after the library has read it
		return nil, Errors{{file, 1, "", err.Error()}}
	}
	return root, nil
}

// enter returns the table under key, made if it is not there. Of an array of tables it is the last, or a new one.
func (n *node) enter(key string, line int, anew bool) *node {
	path := join(n.path, key)
	v := n.table[key]
	if anew {
		if v == nil {
			v = &node{kind: isTables, path: path, line: line}
			n.put(key, v)
		}
		t := newTable(fmt.Sprintf("%s[%d]", path, len(v.items)+1), line)
		v.items = append(v.items, t)
		return t
	}
	if v == nil {
		v = newTable(path, line)
		n.put(key, v)
	}
	if len(v.items) > 0 {
		return v.items[len(v.items)-1]
	}
	return v
}

// keyPath is the dotted key of an expression, and the line of each part.
func keyPath(p *unstable.Parser, e *unstable.Node) (path []string, lines []int) {
	for it := e.Key(); it.Next(); {
		path = append(path, string(it.Node().Data))
		lines = append(lines, p.Shape(it.Node().Raw).Start.Line)
	}
	return path, lines
}

func value(p *unstable.Parser, v *unstable.Node, path string, line int) *node {
	n := &node{path: path, line: line, text: string(v.Data), kind: isOther}
	switch v.Kind {
	case unstable.String:
		n.kind = isString
	case unstable.Integer:
		n.kind = isInteger
	case unstable.Float:
		n.kind = isFloat
	case unstable.Bool:
		n.kind = isBool
	case unstable.Array:
		n.kind = isArray
		for it := v.Children(); it.Next(); {
			item := it.Node()
			if item.Kind == unstable.Comment {
				continue
			}
			at := line
			if item.Raw.Length > 0 {
				at = p.Shape(item.Raw).Start.Line
			}
			n.items = append(n.items, value(p, item, fmt.Sprintf("%s[%d]", path, len(n.items)+1), at))
		}
		if len(n.items) > 0 && !slices.ContainsFunc(n.items, func(i *node) bool { return i.kind != isTable }) {
			n.kind = isTables
		}
	case unstable.InlineTable:
		n.kind, n.table = isTable, map[string]*node{}
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			keys, lines := keyPath(p, it.Node())
			to := n
			for i, key := range keys[:len(keys)-1] {
				to = to.enter(key, lines[i], false)
			}
			last := keys[len(keys)-1]
			to.put(last, value(p, it.Node().Value(), join(to.path, last), lines[len(lines)-1]))
		}
	}
	return n
}

// sorted puts errors in the order of their lines.
func (e Errors) sorted() Errors {
	slices.SortStableFunc(e, func(a, b Error) int { return cmp.Compare(a.Line, b.Line) })
	return e
}
