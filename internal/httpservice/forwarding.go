package httpservice

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"sorrelrudder/internal/httpmsg"
)

// Forwarding says what becomes of the header fields about the origin of a request: X-Forwarded-* and Forwarded.
type Forwarding int

// The modes.
const (
	ForwardingReplace Forwarding = iota // those of the client are dropped, and set anew
	ForwardingAppend                    // what is seen here is added to those of a trusted proxy
	ForwardingDrop                      // the endpoint gets none
)

const (
	forwardedField = "Forwarded" // RFC 7239
	forwardedFor   = "X-Forwarded-For"
	forwardedHost  = "X-Forwarded-Host"
	forwardedProto = "X-Forwarded-Proto"
)

func (d *Dialect) viaValue() string { return "1.1 " + d.cfg.Via }

// addForwardingFields adds the origin of a request to its header, and an ID if it has none. That ID
// is for people: it never decides whether two requests are the same.
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

// clientAddress returns the IP address of a client, or "".
func clientAddress(remote fmt.Stringer) string {
	tcp, ok := remote.(*net.TCPAddr)
	if !ok {
		return ""
	}
	return tcp.AddrPort().Addr().Unmap().String()
}

// appendValue appends a value to a header field that is a list, as one line.
func appendValue(h http.Header, field, value string) {
	if present := h.Values(field); len(present) > 0 {
		value = strings.Join(present, ", ") + ", " + value
	}
	h.Set(field, value)
}

// setDefault sets a header field that is not there.
func setDefault(h http.Header, field, value string) {
	if h.Get(field) == "" {
		h.Set(field, value)
	}
}

// forwardedNode writes an address as RFC 7239 has it.
func forwardedNode(client string) string {
	if address, err := netip.ParseAddr(client); err == nil && address.Is6() {
		return `"[` + client + `]"`
	}
	return client
}

// forwardedValue writes a value as a token, or as a quoted string where it is none.
func forwardedValue(s string) string {
	for _, r := range s {
		if r != '-' && r != '.' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
		}
	}
	return s
}
