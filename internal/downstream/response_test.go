package downstream

import (
	"net/http"
	"testing"

	"sorrelrudder/internal/httpmsg"
)

// TestFrameResponse checks how the end of a response is marked for HTTP/1.0 and HTTP/1.1 clients. It guards against responses whose end the
// client cannot tell.
func TestFrameResponse(t *testing.T) {
	unknown := &endlessStream{}
	for name, c := range map[string]struct {
		http10, head bool
		resp         httpmsg.Response
		want         responseFraming
	}{
		"with a body":            {resp: httpmsg.Response{Status: 200, Body: []byte("abc")}, want: responseFraming{length: 3, hasBody: true, sendsLength: true}},
		"without":                {resp: httpmsg.Response{Status: 200}, want: responseFraming{hasBody: true, sendsLength: true}},
		"status 204":             {resp: httpmsg.Response{Status: http.StatusNoContent}, want: responseFraming{}},
		"HEAD, length known":     {head: true, resp: httpmsg.Response{Status: 200, Length: 7}, want: responseFraming{length: 7, sendsLength: true}},
		"HEAD, length unknown":   {head: true, resp: httpmsg.Response{Status: 200, Length: -1}, want: responseFraming{length: -1}},
		"streamed, HTTP/1.1":     {resp: httpmsg.Response{Status: 200, Remainder: unknown}, want: responseFraming{length: -1, hasBody: true, chunked: true}},
		"streamed, HTTP/1.0":     {http10: true, resp: httpmsg.Response{Status: 200, Remainder: unknown}, want: responseFraming{length: -1, hasBody: true, closeDelimited: true}},
		"HEAD, streamed":         {head: true, resp: httpmsg.Response{Status: 200, Remainder: unknown}, want: responseFraming{length: -1}},
		"status 304, length set": {resp: httpmsg.Response{Status: http.StatusNotModified, Length: 9}, want: responseFraming{}},
	} {
		if got := frameResponse(&clientConn{http10: c.http10, headRequest: c.head}, &c.resp); got != c.want {
			t.Errorf("%s: got framing %+v, want %+v", name, got, c.want)
		}
	}
}
