package httpservice

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"sorrelrudder/internal/httpmsg"
)

// Forwarding is the mode in which the header fields about the origin of a request, X-Forwarded-* and Forwarded, are handled.
type Forwarding int

// The forwarding modes.
const (
	ForwardingReplace Forwarding = iota // remove the client's fields and set new ones
	ForwardingAppend                    // append to X-Forwarded-For and Forwarded of a trusted proxy, and keep its other fields
	ForwardingDrop                      // remove the client's fields and set none
)

const (
	forwardedField = "Forwarded" // RFC 7239
	forwardedFor   = "X-Forwarded-For"
	forwardedHost  = "X-Forwarded-Host"
	forwardedProto = "X-Forwarded-Proto"
)

// viaValue returns the value that this process adds to Via fields.
func (d *Dialect) viaValue() string { return "1.1 " + d.cfg.Via }

// addForwardingFields adds a Via field to the header of a request, and a request ID if there is none. It replaces, extends or removes the
// fields about the origin of the request, as the forwarding mode determines. It adds none of them if the client's address is not known. The
// request ID is informational: it is never used to decide whether two requests are the same.
func (d *Dialect) addForwardingFields(q *httpmsg.Request, id string) {
	h := q.Header
	if h.Get("X-Request-Id") == "" {
		h.Set("X-Request-Id", id)
	}
	h.Add("Via", d.viaValue())
	if d.cfg.Forwarding != ForwardingAppend {
		for _, field := range []string{forwardedFor, forwardedHost, forwardedProto, forwardedField} {
			h.Del(field)
		}
	}
	client := clientAddress(q.RemoteAddr)
	if d.cfg.Forwarding == ForwardingDrop || client == "" {
		return
	}
	scheme := "http"
	if q.Secure {
		scheme = "https"
	}
	appendValue(h, forwardedFor, client)
	setDefault(h, forwardedHost, q.Host)
	setDefault(h, forwardedProto, scheme)
	appendValue(h, forwardedField, "for="+forwardedNode(client)+";host="+forwardedValue(q.Host)+";proto="+scheme)
}

// clientAddress returns the IP address of a client, or "" if remote is not a TCP address.
func clientAddress(remote fmt.Stringer) string {
	tcp, ok := remote.(*net.TCPAddr)
	if !ok {
		return ""
	}
	return tcp.AddrPort().Addr().Unmap().String()
}

// appendValue appends a value to a list header field, and combines the field into one line.
func appendValue(h http.Header, field, value string) {
	if present := h.Values(field); len(present) > 0 {
		value = strings.Join(present, ", ") + ", " + value
	}
	h.Set(field, value)
}

// setDefault sets a header field if it is absent or empty.
func setDefault(h http.Header, field, value string) {
	if h.Get(field) == "" {
		h.Set(field, value)
	}
}

// forwardedNode formats an IP address as a node of RFC 7239.
func forwardedNode(client string) string {
	if address, err := netip.ParseAddr(client); err == nil && address.Is6() {
		return `"[` + client + `]"`
	}
	return client
}

// forwardedValue formats a value as a token, or as a quoted string if it contains other characters than letters, digits, "-" and ".".
func forwardedValue(s string) string {
	for _, r := range s {
		if r != '-' && r != '.' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
		}
	}
	return s
}
