package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// reader reads a tree and collects what is wrong with it. What it reads it also writes down, defaults included, so that
// what is printed is what was read.
type reader struct {
	sharedDedupClasses []string // classes of the present pool whose repeats both sites drop together
	file               string
	errs               Errors
}

// fail notes what is wrong with n.
func (r *reader) fail(n *node, format string, args ...any) {
	r.errs = append(r.errs, Error{r.file, n.line, n.path, fmt.Sprintf(format, args...)})
}

// section is a table as it is read.
type section struct {
	reader    *reader
	node      *node
	knownKeys []string
	entries   []entry
}

// entry is a key as it is written out: one of text and sub.
type entry struct {
	key       string
	text      string
	isDefault bool
	tables    []*section
	isArray   bool // sub are tables of an array
}

func (r *reader) section(n *node) *section { return &section{reader: r, node: n} }

// finish reports the keys that nobody asked for.
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

// nodeAt is the place of a key, or that of the section if it is not there.
func (s *section) nodeAt(key string) *node {
	if n := s.node.table[key]; n != nil {
		return n
	}
	return &node{line: s.node.line, path: join(s.node.path, key)}
}

// has reports whether a key is there.
func (s *section) has(key string) bool { return s.node.table[key] != nil }

func (s *section) record(key, text string, deflt bool) {
	s.entries = append(s.entries, entry{key: key, text: text, isDefault: deflt})
}

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

func (s *section) text(key, deflt string) string {
	v := deflt
	n, ok := s.scalar(key, isString)
	if ok {
		v = n.text
	}
	if ok || deflt != "" {
		s.record(key, quote(v), !ok)
	}
	return v
}

// requiredText is a string that must be there and not be empty.
func (s *section) requiredText(key string) string {
	v := s.text(key, "")
	if v == "" && (s.node.table[key] == nil || s.node.table[key].kind == isString) {
		s.reader.fail(s.nodeAt(key), "is missing")
	}
	return v
}

// choice is one of some words.
func (s *section) choice(key, deflt string, words ...string) string {
	v := s.text(key, deflt)
	if v == "" && s.node.table[key] == nil {
		s.reader.fail(s.nodeAt(key), "is missing; one of %s", strings.Join(words, ", "))
	} else if !slices.Contains(words, v) && (s.node.table[key] == nil || s.node.table[key].kind == isString) {
		s.reader.fail(s.nodeAt(key), "is %q, not one of %s", v, strings.Join(words, ", "))
	}
	return v
}

func (s *section) boolean(key string, deflt bool) bool {
	v := deflt
	n, ok := s.scalar(key, isBool)
	if ok {
		v = n.text == "true"
	}
	s.record(key, strconv.FormatBool(v), !ok)
	return v
}

func (s *section) integer(key string, deflt, least, most int64) int64 {
	v := deflt
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

func (s *section) number(key string, deflt, least, most float64) float64 {
	v := deflt
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

// duration is a time with its unit, as "250ms".
func (s *section) duration(key string, deflt, least, most time.Duration) time.Duration {
	v := deflt
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

// sizeUnits of sizes, the longer names first.
var sizeUnits = []struct {
	name string
	size int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"kB", 1e3}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}}

// size is a number of bytes with its unit, as "64KiB".
func (s *section) size(key string, deflt, least, most int64) int64 {
	v := deflt
	n, ok := s.scalar(key, isString)
	if !ok && n != nil && n.kind == isInteger {
		s.reader.errs[len(s.reader.errs)-1].Text = fmt.Sprintf("is %s without a unit; write it as a string with one, such as \"64KiB\"", n.text)
	}
	if ok {
		got, err := parseSize(n.text)
		switch {
		case err != nil:
			s.reader.fail(n, "is %q, which is no size with a unit (B, KiB, MiB, GiB, kB, MB, GB)", n.text)
		case got < least || got > most:
			s.reader.fail(n, "is %s, outside %s to %s", n.text, formatSize(least), formatSize(most))
		default:
			v = got
		}
	}
	s.record(key, quote(formatSize(v)), !ok)
	return v
}

func parseSize(text string) (int64, error) {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(text, u.name)
		if !found {
			continue
		}
		v, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || v < 0 || v > math.MaxInt64/u.size {
			return 0, fmt.Errorf("%q is no size", text)
		}
		return v * u.size, nil
	}
	return 0, fmt.Errorf("%q has no unit", text)
}

func formatSize(v int64) string {
	for _, u := range []int{2, 1, 0} { // GiB, MiB, KiB
		if v > 0 && v%sizeUnits[u].size == 0 {
			return strconv.FormatInt(v/sizeUnits[u].size, 10) + sizeUnits[u].name
		}
	}
	return strconv.FormatInt(v, 10) + "B"
}

// texts is an array of strings.
func (s *section) texts(key string) []string {
	n := s.get(key)
	if n == nil {
		return nil
	}
	if n.kind != isArray {
		s.reader.fail(n, "is %s, not an array of strings", n.kind)
		return nil
	}
	var all, texts []string
	for _, item := range n.items {
		if item.kind != isString {
			s.reader.fail(item, "is %s, not a string", item.kind)
			continue
		}
		all = append(all, item.text)
		texts = append(texts, quote(item.text))
	}
	s.record(key, "["+strings.Join(texts, ", ")+"]", false)
	return all
}

// table is the table under key; an empty one if it is not there.
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

// tables are the tables of the array under key.
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

// namedTables are the tables of the table under key, by their names in the order of the file.
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

// write writes a section out as TOML: its values first, then its tables.
func (s *section) write(b *strings.Builder, path string) {
	width := 0
	for _, p := range s.entries {
		if p.tables == nil {
			width = max(width, len(tomlKey(p.key))+3+len(p.text))
		}
	}
	for _, p := range s.entries {
		if p.tables != nil {
			continue
		}
		line := tomlKey(p.key) + " = " + p.text
		if p.isDefault {
			line += strings.Repeat(" ", width-len(line)) + "  # default"
		}
		b.WriteString(line + "\n")
	}
	for _, p := range s.entries {
		at := tomlKey(p.key)
		if path != "" {
			at = path + "." + at
		}
		for _, sub := range p.tables {
			switch {
			case p.isArray:
				b.WriteString("\n[[" + at + "]]\n")
			case slices.ContainsFunc(sub.entries, func(p entry) bool { return p.tables == nil }):
				b.WriteString("\n[" + at + "]\n")
			}
			sub.write(b, at)
		}
	}
}

func tomlKey(key string) string {
	if k := join("", key); k != "" {
		return k
	}
	return `""`
}

// quote writes a TOML basic string.
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

// nearest is the known key that key is most likely meant to be, or "".
func nearest(key string, known []string) string {
	best, at := "", 3
	for _, k := range known {
		if d := editDistance(key, k); d < at && d < len(k) {
			best, at = k, d
		}
	}
	return best
}

// editDistance is how many letters must be changed, added or taken away to make b of a (Levenshtein).
func editDistance(a, b string) int {
	if len(a) > 64 || len(b) > 64 {
		return math.MaxInt
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
