package config

import (
	"fmt"
	"slices"
	"strings"
)

// reader collects the errors of a file as its tree is read.
type reader struct {
	file               string
	errs               Errors
	sharedDedupClasses []string // classes of the current pool whose repeats both sites drop together
}

// fail adds an error at n.
func (r *reader) fail(n *node, format string, args ...any) {
	r.errs = append(r.errs, Error{r.file, n.line, n.path, fmt.Sprintf(format, args...)})
}

// section is a table as it is read. It also records what was read, defaults included, so that what is printed is what was read.
type section struct {
	reader    *reader
	node      *node
	knownKeys []string
	entries   []entry
}

func (r *reader) section(n *node) *section { return &section{reader: r, node: n} }

// finish reports the keys that nobody has read as errors.
func (s *section) finish() {
	for _, key := range s.node.keys {
		if slices.Contains(s.knownKeys, key) {
			continue
		}
		n := s.node.table[key]
		if near := nearest(key, s.knownKeys); near != "" {
			s.reader.fail(n, "unknown key; did you mean %s?", near)
		} else {
			s.reader.fail(n, "unknown key; known here: %s", strings.Join(s.knownKeys, ", "))
		}
	}
}

// get returns the node under key, or nil if it is not there.
func (s *section) get(key string) *node {
	s.knownKeys = append(s.knownKeys, key)
	return s.node.table[key]
}

// nodeAt returns the node of a key, or one with its path and the line of the section if the key is not there.
func (s *section) nodeAt(key string) *node {
	if n := s.node.table[key]; n != nil {
		return n
	}
	return &node{line: s.node.line, path: join(s.node.path, key)}
}

// has reports whether a key is there. It does not count as read.
func (s *section) has(key string) bool { return s.node.table[key] != nil }

// record adds a key and its value, as TOML, to what is printed.
func (s *section) record(key, text string, fallback bool) {
	s.entries = append(s.entries, entry{key: key, text: text, isDefault: fallback})
}

// table returns the table under key; an empty one if it is not there.
func (s *section) table(key string) *section {
	n := s.get(key)
	if n == nil {
		n = newTable(join(s.node.path, key), s.node.line)
	} else if n.kind != isTable {
		s.reader.fail(n, "is %s, not a table", n.kind)
		n = newTable(n.path, n.line)
	}
	sub := s.reader.section(n)
	s.entries = append(s.entries, entry{key: key, tables: []*section{sub}})
	return sub
}

// tables returns the tables of the array under key.
func (s *section) tables(key string) []*section {
	n := s.get(key)
	if n == nil {
		return nil
	}
	if n.kind != isTables {
		if n.kind != isArray || len(n.items) > 0 {
			s.reader.fail(n, "is %s, not tables: write [[%s]]", n.kind, n.path)
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

// namedTables returns the tables of the table under key and their names, in the order of the file.
func (s *section) namedTables(key string) (names []string, subs []*section) {
	n := s.get(key)
	if n == nil {
		return nil, nil
	}
	if n.kind != isTable {
		s.reader.fail(n, "is %s, not a table of tables: write [%s.NAME]", n.kind, n.path)
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
