package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// kind is the type of a node, worded for error messages.
type kind string

const (
	isTable   kind = "a table"
	isTables  kind = "an array of tables"
	isArray   kind = "an array"
	isString  kind = "a string"
	isInteger kind = "an integer"
	isFloat   kind = "a number"
	isBool    kind = "a boolean"
	isOther   kind = "a date or time"
)

// node is a value of the file, with its location.
type node struct {
	kind  kind
	line  int              // counted from 1
	path  string           // such as routes[2].path, with indexes counted from 1
	text  string           // of a scalar
	keys  []string         // of a table, in file order
	table map[string]*node // values of a table by key
	items []*node          // elements of an array
}

func newTable(path string, line int) *node {
	return &node{kind: isTable, path: path, line: line, table: map[string]*node{}}
}

// join appends a key to a path. It quotes a key that is not a TOML bare key.
func join(path, key string) string {
	if key != "" && strings.Trim(key, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") != "" {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

// put sets the value of a key of the table n.
func (n *node) put(key string, v *node) {
	if _, exists := n.table[key]; !exists {
		n.keys = append(n.keys, key)
	}
	n.table[key] = v
}

// parseTree parses text as TOML. The library's decoder validates the text and rejects duplicate keys; the library's low-level parser
// provides the line of each key. The error is an Errors.
func parseTree(file string, text []byte) (*node, error) {
	if err := checkTOML(file, text); err != nil {
		return nil, err
	}
	root := newTable("", 1)
	var p unstable.Parser
	p.Reset(text)
	current := root
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			current = root
			path, lines := keyPath(&p, e)
			for i, key := range path {
				last := i == len(path)-1
				current = current.enter(key, lines[i], last && e.Kind == unstable.ArrayTable)
			}
		case unstable.KeyValue:
			current.putKeyValue(&p, e)
		}
	}
	if err := p.Error(); err != nil { // unreachable after checkTOML
		return nil, Errors{{file, 1, "", err.Error()}}
	}
	return root, nil
}

// checkTOML returns an error, which is an Errors, if text is not valid TOML.
func checkTOML(file string, text []byte) error {
	var document map[string]any
	err := toml.Unmarshal(text, &document)
	if err == nil {
		return nil
	}
	line, key := 1, ""
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
		key = strings.Join(decodeErr.Key(), ".")
	}
	return Errors{{file, line, key, strings.TrimPrefix(err.Error(), "toml: ")}}
}

// enter returns the table under key, and creates the table if the key is absent. For an array of tables, it returns the last table, or
// appends a new one if appendNew is set.
func (n *node) enter(key string, line int, appendNew bool) *node {
	path := join(n.path, key)
	v := n.table[key]
	if appendNew {
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

// keyPath returns the parts of the dotted key of an expression, and the line of each part.
func keyPath(p *unstable.Parser, e *unstable.Node) (path []string, lines []int) {
	for it := e.Key(); it.Next(); {
		path = append(path, string(it.Node().Data))
		lines = append(lines, p.Shape(it.Node().Raw).Start.Line)
	}
	return path, lines
}

// putKeyValue sets the value of the dotted key of an expression.
func (n *node) putKeyValue(p *unstable.Parser, e *unstable.Node) {
	path, lines := keyPath(p, e)
	last := len(path) - 1
	for i, key := range path[:last] {
		n = n.enter(key, lines[i], false)
	}
	n.put(path[last], parseValue(p, e.Value(), join(n.path, path[last]), lines[last]))
}

// parseValue returns the node of a value, with its path and line.
func parseValue(p *unstable.Parser, v *unstable.Node, path string, line int) *node {
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
		n.parseArray(p, v)
	case unstable.InlineTable:
		n.kind, n.table = isTable, map[string]*node{}
		for it := v.Children(); it.Next(); {
			if it.Node().Kind != unstable.Comment {
				n.putKeyValue(p, it.Node())
			}
		}
	}
	return n
}

// parseArray makes n the node of an array, or of an array of tables if all elements are tables.
func (n *node) parseArray(p *unstable.Parser, v *unstable.Node) {
	n.kind = isArray
	for it := v.Children(); it.Next(); {
		item := it.Node()
		if item.Kind == unstable.Comment {
			continue
		}
		line := n.line
		if item.Raw.Length > 0 {
			line = p.Shape(item.Raw).Start.Line
		}
		path := fmt.Sprintf("%s[%d]", n.path, len(n.items)+1)
		n.items = append(n.items, parseValue(p, item, path, line))
	}
	isNotTable := func(item *node) bool { return item.kind != isTable }
	if len(n.items) > 0 && !slices.ContainsFunc(n.items, isNotTable) {
		n.kind = isTables
	}
}
