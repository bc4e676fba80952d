package httpmsg

import (
	"net/http"
	"strings"
)

// hopByHopHeaders concern a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	// Fields between two sites (docs/protocol/hop.md) mean nothing from a client or a server.
	"Sorrel-Hop", "Sorrel-Hop-Answer", "Sorrel-Hop-Pool",
}

// RemoveHopByHopHeaders removes from h the fields that are not forwarded, and returns h.
func RemoveHopByHopHeaders(h http.Header) http.Header {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}
