package upstream

import (
	"bufio"
	"net/http"
	"slices"
	"strconv"

	"sorrelrudder/internal/httpmsg"
)

// Request is a request to send to an endpoint.
type Request struct {
	Method, Target, Host string
	Header               http.Header           // parsed from a client's request, so no name or value contains a line break
	TimeoutMs            int64                 // sent as X-Timeout-Ms, which is never taken from Header; 0: not sent
	ExtraFields          []Field               // sent in addition to Header; they replace fields of the same names there
	Body                 []byte                // the complete body, or its first part
	StreamedBody         httpmsg.RequestStream // the rest of the body, sent by SendStreamedBody; nil: none
	// KeepWaiting is asked when the head of the response is overdue: true lets it arrive until the deadline of the exchange. Nil: false.
	KeepWaiting func() bool
}

// Field is a header field.
type Field struct{ Name, Value string }

// write writes q without its StreamedBody and flushes w. It does not use http.Request.Write, which would need a copy of the header and
// sort it.
func (q *Request) write(w *bufio.Writer) error {
	if _, err := w.Write(q.appendHead(w.AvailableBuffer())); err != nil {
		return err
	}
	if _, err := w.Write(q.Body); err != nil {
		return err
	}
	if q.chunked() {
		if _, err := w.WriteString("\r\n"); err != nil {
			return err
		}
	}
	return w.Flush()
}

// chunked reports whether the body is sent with chunked encoding, with Body as the first chunk.
func (q *Request) chunked() bool { return q.contentLength() < 0 }

// contentLength returns the length of the complete body in bytes, or a negative number if it is not known.
func (q *Request) contentLength() int64 {
	if q.StreamedBody != nil {
		return q.StreamedBody.Length()
	}
	return int64(len(q.Body))
}

// appendHead appends the head of q to b, and the size of the first chunk if the body is sent in chunks.
func (q *Request) appendHead(b []byte) []byte {
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", q.Host)
	for name, values := range q.Header {
		if q.overrides(name) {
			continue
		}
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	if q.TimeoutMs > 0 {
		b = appendNumberField(b, "X-Timeout-Ms", q.TimeoutMs)
	}
	for _, f := range q.ExtraFields {
		b = appendField(b, f.Name, f.Value)
	}
	return q.appendFraming(b)
}

// overrides reports whether a field of Header is not sent, because the request sets it itself or must not send the client's value.
func (q *Request) overrides(name string) bool {
	switch name {
	case "Host", "Content-Length", "X-Timeout-Ms":
		return true
	}
	return slices.ContainsFunc(q.ExtraFields, func(f Field) bool { return f.Name == name })
}

// appendFraming appends the field that frames the body, Content-Length or Transfer-Encoding, and the end of the head. For a chunked body
// the size of the first chunk follows.
func (q *Request) appendFraming(b []byte) []byte {
	length := q.contentLength()
	switch {
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
		b = strconv.AppendInt(b, int64(len(q.Body)), 16)
		return append(b, "\r\n"...)
	case length > 0 || hasBody(q.Method):
		b = appendNumberField(b, "Content-Length", length)
	}
	return append(b, "\r\n"...)
}

// hasBody reports whether requests of a method have a body, which may be empty.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

func appendNumberField(b []byte, name string, value int64) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, value, 10)
	return append(b, "\r\n"...)
}
