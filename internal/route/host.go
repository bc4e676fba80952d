package route

import (
	"bytes"
	"errors"
	"net/netip"
	"strings"
)

// maxHostBytes bounds a host; a DNS name has at most 253 characters.
const maxHostBytes = 255

// hostBuffer holds a normalized host.
type hostBuffer [maxHostBytes + 1]byte

// errHostPort says that a route's host has a port.
var errHostPort = errors.New("a route's host has no port")

// parseHost normalizes a Host header (RFC 9110, 7.2), or the host of a pattern: without its port and trailing dot, in lower case, an
// IPv6 address in its shortest form and in brackets. The result is in buf; nothing is allocated. The error is ErrInvalidHost.
func parseHost(host string, buf *hostBuffer) ([]byte, error) {
	if host == "" || len(host) > maxHostBytes {
		return nil, ErrInvalidHost
	}
	if host[0] == '[' {
		return parseIPv6Host(host, buf)
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

// parseIPv6Host is parseHost for a host that begins with a bracket.
func parseIPv6Host(host string, buf *hostBuffer) ([]byte, error) {
	end := strings.IndexByte(host, ']')
	if end < 0 || !isPort(host[end+1:]) {
		return nil, ErrInvalidHost
	}
	address, err := netip.ParseAddr(host[1:end])
	if err != nil || !address.Is6() || address.Zone() != "" {
		return nil, ErrInvalidHost
	}
	return append(address.AppendTo(append(buf[:0], '[')), ']'), nil
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

// parseHostPattern parses the host of a route: a host, "*.example.org" for all hosts below one, or "*" for any. It returns its key in
// the table: the normalized host, ".example.org" for all below, or "" for any.
func parseHostPattern(text string) (string, error) {
	if text == "*" {
		return "", nil
	}
	host, isWildcard := strings.CutPrefix(text, "*.")
	var buf hostBuffer
	b, err := parseHost(host, &buf)
	if err != nil {
		return "", err
	}
	isIPv6 := bytes.HasPrefix(b, []byte("["))
	hasPort := !isIPv6 && strings.Contains(host, ":") || isIPv6 && !strings.HasSuffix(host, "]")
	switch {
	case hasPort:
		return "", errHostPort
	case isWildcard && isIPv6:
		return "", ErrInvalidHost
	case isWildcard:
		return "." + string(b), nil
	}
	return string(b), nil
}
