package config

import (
	"fmt"
	"slices"
	"strings"
)

// entry is a key that is printed, with either a value or tables.
type entry struct {
	key       string
	text      string // of the value, as TOML
	isDefault bool   // the value is the default
	tables    []*section
	isArray   bool // the tables form an array of tables
}

// write writes the section at path as TOML: its values first, then its tables.
func (s *section) write(b *strings.Builder, path string) {
	width := 0
	for _, e := range s.entries {
		if e.isValue() {
			width = max(width, len(e.assignment()))
		}
	}
	for _, e := range s.entries {
		if !e.isValue() {
			continue
		}
		line := e.assignment()
		if e.isDefault {
			line += strings.Repeat(" ", width-len(line)) + "  # default"
		}
		b.WriteString(line + "\n")
	}
	for _, e := range s.entries {
		e.writeTables(b, path)
	}
}

func (e entry) isValue() bool { return e.tables == nil }

func (e entry) assignment() string { return tomlKey(e.key) + " = " + e.text }

// writeTables writes the tables of an entry of the table at path. A single table without values of its own gets no header.
func (e entry) writeTables(b *strings.Builder, path string) {
	key := tomlKey(e.key)
	if path != "" {
		key = path + "." + key
	}
	for _, table := range e.tables {
		switch {
		case e.isArray:
			b.WriteString("\n[[" + key + "]]\n")
		case slices.ContainsFunc(table.entries, entry.isValue):
			b.WriteString("\n[" + key + "]\n")
		}
		table.write(b, key)
	}
}

// tomlKey returns a key as TOML, quoted unless it is a bare key.
func tomlKey(key string) string {
	if k := join("", key); k != "" {
		return k
	}
	return `""`
}

// quote returns s as a TOML basic string.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, c := range s {
		switch {
		case c == '"' || c == '\\':
			b.WriteByte('\\')
			b.WriteRune(c)
		case c < ' ' || c == 0x7f:
			fmt.Fprintf(&b, `\u%04X`, c)
		default:
			b.WriteRune(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// textArray returns texts as a TOML array of strings.
func textArray(texts []string) string {
	quoted := make([]string, len(texts))
	for i, text := range texts {
		quoted[i] = quote(text)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
