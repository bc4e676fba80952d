package config

import (
	"fmt"
	"slices"
	"strings"
)

// reader collects the errors that are found while the tree of a file is read.
type reader struct {
	file               string
	errs               Errors
	sharedDedupClasses []string // classes of the current pool whose repeated requests are dropped at both sites
}

// fail adds an error at the location of n.
func (r *reader) fail(n *node, format string, args ...any) {
	r.errs = append(r.errs, Error{r.file, n.line, n.path, fmt.Sprintf(format, args...)})
}

// section is a table that is being read. It records every key that is read, with its value or default, so that the printed file is
// the configuration that was read.
type section struct {
	reader    *reader
	node      *node
	knownKeys []string // keys that the code has read or looked for
	entries   []entry  // what is printed
}

func (r *reader) section(n *node) *section { return &section{reader: r, node: n} }

// finish reports each key of the table that the code does not know as an error.
func (s *section) finish() {
	for _, key := range s.node.keys {
		if slices.Contains(s.knownKeys, key) {
			continue
		}
		n := s.node.table[key]
		if suggestion := nearest(key, s.knownKeys); suggestion != "" {
			s.reader.fail(n, "unknown key; did you mean %s?", suggestion)
		} else {
			s.reader.fail(n, "unknown key; known here: %s", strings.Join(s.knownKeys, ", "))
		}
	}
}

// get returns the node under key, or nil if the key is absent. It marks the key as known.
func (s *section) get(key string) *node {
	s.knownKeys = append(s.knownKeys, key)
	return s.node.table[key]
}

// nodeAt returns the node under key. If the key is absent, it returns a node for error messages, with the path of the key and the line of
// the section.
func (s *section) nodeAt(key string) *node {
	if n := s.node.table[key]; n != nil {
		return n
	}
	return &node{line: s.node.line, path: join(s.node.path, key)}
}

// has reports whether a key is present. It does not mark the key as known.
func (s *section) has(key string) bool { return s.node.table[key] != nil }

// record adds a key and its value, written as TOML, to the entries that are printed.
func (s *section) record(key, text string, isDefaultValue bool) {
	s.entries = append(s.entries, entry{key: key, text: text, isDefault: isDefaultValue})
}

// table returns the table under key, or an empty table if the key is absent or is not a table.
func (s *section) table(key string) *section {
	n := s.get(key)
	if n == nil {
		n = newTable(join(s.node.path, key), s.node.line)
	} else if n.kind != isTable {
		s.reader.fail(n, "got %s, expected a table", n.kind)
		n = newTable(n.path, n.line)
	}
	sub := s.reader.section(n)
	s.entries = append(s.entries, entry{key: key, tables: []*section{sub}})
	return sub
}

// tables returns the elements of the array of tables under key.
func (s *section) tables(key string) []*section {
	n := s.get(key)
	if n == nil {
		return nil
	}
	if n.kind != isTables {
		if n.kind != isArray || len(n.items) > 0 {
			s.reader.fail(n, "got %s, expected an array of tables: write [[%s]]", n.kind, n.path)
		}
		return nil
	}
	var subs []*section
	for _, item := range n.items {
		subs = append(subs, s.reader.section(item))
	}
	s.entries = append(s.entries, entry{key: key, tables: subs, isArray: true})
	return subs
}

// namedTables returns the subtables of the table under key and their names, in file order.
func (s *section) namedTables(key string) (names []string, subs []*section) {
	n := s.get(key)
	if n == nil {
		return nil, nil
	}
	if n.kind != isTable {
		s.reader.fail(n, "got %s, expected a table of tables: write [%s.NAME]", n.kind, n.path)
		return nil, nil
	}
	outer := s.reader.section(n)
	for _, name := range n.keys {
		names = append(names, name)
		subs = append(subs, outer.table(name))
	}
	s.entries = append(s.entries, entry{key: key, tables: []*section{outer}})
	return names, subs
}
