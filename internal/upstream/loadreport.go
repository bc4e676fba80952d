package upstream

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// maxReportGrowth is how much longer than the load report before a second copy of it may be, since its numbers may have changed.
const maxReportGrowth = 64

// isLoadReportCopy reports whether a response is a second copy of the load report that was received last. It reads the body of a response
// that could be one by its status and length, and replaces the body by what it has read.
func (c *Conn) isLoadReportCopy(response *http.Response) (bool, error) {
	length := response.ContentLength
	if c.lastLoadReport == nil || response.StatusCode != http.StatusOK || length < 0 || length > int64(len(c.lastLoadReport)+maxReportGrowth) {
		return false, nil
	}
	c.SetReadDeadline(earlier(c.deadline, time.Now().Add(BodyStallTimeout)))
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false, err
	}
	response.Body, c.bodyRead = io.NopCloser(bytes.NewReader(body)), true
	return differOnlyInNumbers(body, c.lastLoadReport), nil
}

// differOnlyInNumbers reports whether two texts are equal but for their numbers.
func differOnlyInNumbers(a, b []byte) bool {
	return bytes.Equal(bytes.Map(withoutNumbers, a), bytes.Map(withoutNumbers, b))
}

// withoutNumbers is the mapping that removes the characters of numbers from a text.
func withoutNumbers(r rune) rune {
	const remove = -1
	if r >= '0' && r <= '9' || r == '.' {
		return remove
	}
	return r
}
