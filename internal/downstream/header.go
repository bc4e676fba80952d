package downstream

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
)

// maxHeaderLines is the number of lines of a header with maxHeaderFields fields: the request line and the empty line are added.
const maxHeaderLines = maxHeaderFields + 2

// readHeader reads a request line and header fields, including the empty line at the end. It skips empty lines before the request line (RFC
// 9112, section 2.2).
func (r *requestReader) readHeader() ([]byte, error) {
	var header []byte
	for total, lines := 0, 0; ; {
		part, err := r.buffered.ReadSlice('\n')
		if err == nil {
			lines++
		}
		if total += len(part); total > maxHeaderBytes || lines > maxHeaderLines {
			return nil, errHeaderTooLong
		}
		header = append(header, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull): // the rest of the line follows
		case err != nil:
			return nil, readError(err, errMalformedHeader)
		case endsHeader(header):
			return header, nil
		case len(bytes.TrimRight(header, "\r\n")) == 0:
			header = header[:0]
		}
	}
}

// endsHeader reports whether the last line of header is empty.
func endsHeader(header []byte) bool {
	return bytes.HasSuffix(header, []byte("\n\r\n")) || bytes.HasSuffix(header, []byte("\n\n"))
}

// checkHeader rejects raw header lines that http.ReadRequest tolerates or hides: field names that are not tokens, folded lines, control
// characters, and repeated fields that must be unique. It reports whether there is a Content-Length field.
func checkHeader(header []byte) (hasLength bool, err error) {
	seen := map[string]bool{}
	first := true
	for line := range bytes.Lines(header) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if hasControlCharacter(line) {
			return false, errMalformedHeader
		}
		if first || len(line) == 0 {
			first = false
			continue
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return false, errMalformedHeader
		}
		key := http.CanonicalHeaderKey(string(name))
		if !isSingleField(key) {
			continue
		}
		if seen[key] {
			return false, repeatedField(key)
		}
		seen[key] = true
	}
	return seen["Content-Length"], nil
}

// isSingleField reports whether the field with the canonical name key must not be repeated.
func isSingleField(key string) bool {
	switch key {
	case "Content-Length", "Transfer-Encoding", "Host", "X-Request-Id", "X-Timeout-Ms", "Idempotency-Key":
		return true
	}
	return false
}

// hasControlCharacter reports whether line contains a control character other than a tab.
func hasControlCharacter(line []byte) bool {
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return true
		}
	}
	return false
}

// isToken reports whether name is a token as defined in RFC 9110, section 5.6.2.
func isToken(name []byte) bool {
	for _, b := range name {
		switch {
		case '0' <= b && b <= '9', 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0:
		default:
			return false
		}
	}
	return len(name) > 0
}
