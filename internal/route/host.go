// Package route decides which pool a request is for, by its host, its path and its class. It is pure: a table is made once
// of the operator's routes, and a look-up allocates nothing. It knows nothing of pools but their places in a list, and
// nothing of sockets or of what the requests do.
package route

import (
	"bytes"
	"errors"
	"net/netip"
	"strings"
)

// The errors of a look-up.
var (
	ErrInvalidHost   = errors.New("the Host cannot be read")                 // 400
	ErrAmbiguousPath = errors.New("the path has dot segments or a hidden /") // 400
	ErrUnknownHost   = errors.New("no route for this host")                  // 421
	ErrUnknownPath   = errors.New("no route for this path")                  // 404
)

// maxHostBytes bounds a host: a DNS name has at most 253 characters.
const maxHostBytes = 255

// hostBuffer holds a host as it is compared.
type hostBuffer [maxHostBytes + 1]byte

// parseHost reads a Host header (RFC 9110, 7.2), or the host of a pattern: without its port and trailing dot, in lower
// case, an IPv6 literal in its shortest form and in brackets. It writes to buf, and allocates nothing.
func parseHost(host string, buf *hostBuffer) ([]byte, error) {
	if host == "" || len(host) > maxHostBytes {
		return nil, ErrInvalidHost
	}
	if host[0] == '[' {
		end := strings.IndexByte(host, ']')
		if end < 0 || !isPort(host[end+1:]) {
			return nil, ErrInvalidHost
		}
		a, err := netip.ParseAddr(host[1:end])
		if err != nil || !a.Is6() || a.Zone() != "" {
			return nil, ErrInvalidHost
		}
		return append(a.AppendTo(append(buf[:0], '[')), ']'), nil
	}
	name := host
	if i := strings.IndexByte(host, ':'); i >= 0 {
		if !isPort(host[i:]) {
			return nil, ErrInvalidHost
		}
		name = host[:i]
	}
	name = strings.TrimSuffix(name, ".")
	if name == "" {
		return nil, ErrInvalidHost
	}
	b := buf[:len(name)]
	last := byte('.')
	for i := range len(name) {
		c := name[i]
		switch {
		case 'A' <= c && c <= 'Z':
			c += 'a' - 'A'
		case 'a' <= c && c <= 'z', '0' <= c && c <= '9', c == '-', c == '_':
		case c == '.' && last != '.':
		default:
			return nil, ErrInvalidHost
		}
		b[i], last = c, c
	}
	return b, nil
}

// isPort reports whether s is empty, or a colon and a port or nothing (RFC 3986, 3.2.3).
func isPort(s string) bool {
	if s == "" {
		return true
	}
	if s[0] != ':' || len(s) > 6 {
		return false
	}
	n := 0
	for _, c := range []byte(s[1:]) {
		if c < '0' || c > '9' {
			return false
		}
		n = 10*n + int(c-'0')
	}
	return n <= 65535
}

// parseHostPattern reads the host of a route: a host, "*.example.org" for all hosts below one, or "*" for any. It returns the form
// under which it stands in the table: "" for any, ".example.org" for all below.
func parseHostPattern(host string) (string, error) {
	if host == "*" {
		return "", nil
	}
	rest, wild := strings.CutPrefix(host, "*.")
	var buf hostBuffer
	b, err := parseHost(rest, &buf)
	switch {
	case err != nil:
		return "", err
	case !bytes.HasPrefix(b, []byte("[")) && strings.Contains(rest, ":"), strings.HasPrefix(rest, "[") && !strings.HasSuffix(rest, "]"):
		return "", errors.New("a route's host has no port")
	case wild && b[0] == '[':
		return "", ErrInvalidHost
	case wild:
		return "." + string(b), nil
	}
	return string(b), nil
}
