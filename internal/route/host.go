package route

import (
	"bytes"
	"errors"
	"net/netip"
	"strings"
)

// maxHostBytes is the maximum length of a host. A DNS name has at most 253 characters.
const maxHostBytes = 255

// hostBuffer holds a normalized host.
type hostBuffer [maxHostBytes + 1]byte

// errHostPort is returned for a host of a route that includes a port.
var errHostPort = errors.New("the host of a route must not include a port")

// parseHost normalizes a Host header (RFC 9110, section 7.2) or the host of a pattern. The result is in lower case, without port and
// trailing dot; an IPv6 address is in its shortest form and in brackets. It is stored in buf, and parseHost does not allocate memory. The
// error is ErrInvalidHost.
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

// parseIPv6Host is parseHost for a host that begins with an opening bracket.
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

// isPort reports whether s is empty, or a colon that is followed by a port from 0 to 65535 or by nothing (RFC 3986, section 3.2.3).
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

// parseHostPattern parses the host of a route: a host, "*.example.org" for all hosts below a domain, or "*" for any host. It returns the
// key of the host in a Table: the normalized host, ".example.org" for a pattern, or "" for any host.
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
