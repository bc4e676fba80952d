package httpmsg

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the header fields that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	// Fields that are valid only between two sites (docs/protocol/hop.md). They are removed from messages of clients and endpoints.
	"Sorrel-Hop", "Sorrel-Hop-Answer", "Sorrel-Hop-Pool",
}

// RemoveHopByHopHeaders removes the header fields that are not forwarded from h, including those named in Connection, and returns h.
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
