package classify

import "strings"

// splitPath returns the decoded segments of a path. A path is unambiguous if servers can interpret it in only one way: no segment but
// the last is empty, none is a dot segment, and none contains an encoded slash, a backslash or a zero byte. For an ambiguous path there
// are no segments.
func splitPath(path string) (segments []string, unambiguous bool) {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return nil, false
	}
	segments = strings.Split(rest, "/")
	for i, segment := range segments {
		if segment, ok = percentDecode(segment); !ok {
			return nil, false
		}
		segments[i] = segment
		isLast := i == len(segments)-1
		if segment == "." || segment == ".." || segment == "" && !isLast || strings.ContainsAny(segment, "/\\\x00") {
			return nil, false
		}
	}
	return segments, true
}

// percentDecode decodes the %XX sequences of s, and reports whether all of them are valid.
func percentDecode(s string) (string, bool) {
	if strings.IndexByte(s, '%') < 0 {
		return s, true
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			b.WriteByte(s[i])
			continue
		}
		if i+2 >= len(s) {
			return "", false
		}
		high, low := hexDigit(s[i+1]), hexDigit(s[i+2])
		if high < 0 || low < 0 {
			return "", false
		}
		b.WriteByte(byte(high<<4 | low))
		i += 2
	}
	return b.String(), true
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// normalizeHost returns host in lower case, without its port and trailing dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
