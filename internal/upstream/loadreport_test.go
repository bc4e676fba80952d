package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// testReport is the body of a health check's response.
const testReport = "eps=0, queue=0"

// response returns a response with a body.
func response(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// TestReuseAfterHealthCheck guards against a new connection for each request that follows a health check: the connection of the health check
// is reused at once for a request, but not for another health check, whose response could not be told from a second copy.
func TestReuseAfterHealthCheck(t *testing.T) {
	u, p, _ := testPool(t)
	c := mustConnect(t, u, p)
	u.PutIdleAfterHealthCheck(c, []byte(testReport))
	if other := mustConnectFor(t, u, p, ForHealthCheck); other == c {
		t.Error("the connection was reused for another health check right after its response")
	}
	if reused := mustConnectFor(t, u, p, ForDistinctRequest); reused != c {
		t.Error("a request did not get the connection of the health check before")
	}
	u.PutIdle(c)
	if reused := mustConnectFor(t, u, p, ForDistinctRequest); reused == c {
		t.Error("the connection was reused right after the response to a request")
	}
}

// TestIdleConnectionPreferredToHealthCheck guards against reusing the connection of a health check while there is one on which no second
// copy can be under way.
func TestIdleConnectionPreferredToHealthCheck(t *testing.T) {
	u, p, _ := testPool(t)
	rested, checked := mustConnect(t, u, p), mustConnect(t, u, p)
	putIdleFor(u, rested, minIdleBeforeReuse)
	u.PutIdleAfterHealthCheck(checked, []byte(testReport))
	if c := mustConnectFor(t, u, p, ForDistinctRequest); c != rested {
		t.Error("the connection that has been idle for long enough was not preferred")
	}
}

// TestLoadReportCopy guards against taking a second copy of a health check's response for the response to the request that follows it,
// and against skipping a response that is no copy.
func TestLoadReportCopy(t *testing.T) {
	report := response(http.StatusOK, testReport)
	const sameLength = "status=ordered"
	for name, test := range map[string]struct {
		received   string
		wantStatus int
		wantBody   string
	}{
		"no copy":                              {response(200, "served"), 200, "served"},
		"copy":                                 {report + response(200, "served"), 200, "served"},
		"copy twice":                           {report + report + response(200, "served"), 200, "served"},
		"copy with other numbers":              {response(200, "eps=0.25, queue=12") + response(200, "served"), 200, "served"},
		"copy, then a rejection":               {report + response(503, ""), 503, ""},
		"copy, then an interim response":       {report + "HTTP/1.1 103 Early Hints\r\n\r\n" + response(200, "served"), 200, "served"},
		"body of the same length":              {response(200, sameLength), 200, sameLength},
		"copy, then a body of the same length": {report + response(200, sameLength), 200, sameLength},
		"same body with another status":        {response(500, testReport), 500, testReport},
		"body in chunks":                       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n", 200, "served"},
	} {
		t.Run(name, func(t *testing.T) {
			u, p, s := testPool(t)
			u.PutIdleAfterHealthCheck(mustConnect(t, u, p), []byte(testReport))
			c := mustConnectFor(t, u, p, ForDistinctRequest)
			status, body := exchangeWith(t, c, <-s.accepted, test.received)
			if status != test.wantStatus || body != test.wantBody {
				t.Errorf("got status %d, body %q, want %d, %q", status, body, test.wantStatus, test.wantBody)
			}
		})
	}
}

// TestLoadReportIsNoCopyOfHealthCheck guards against skipping the response to a health check because the one before had the same body.
func TestLoadReportIsNoCopyOfHealthCheck(t *testing.T) {
	u, p, s := testPool(t)
	c := mustConnect(t, u, p)
	u.PutIdleAfterHealthCheck(c, []byte(testReport))
	u.mu.Lock()
	c.idleSince = c.idleSince.Add(-minIdleBeforeReuse)
	u.mu.Unlock()
	c = mustConnectFor(t, u, p, ForHealthCheck)
	if status, body := exchangeWith(t, c, <-s.accepted, response(200, testReport)); status != 200 || body != testReport {
		t.Errorf("got status %d, body %q, want the second load report", status, body)
	}
}

// exchangeWith sends a request on c, to which the server writes the given bytes. It returns the response.
func exchangeWith(t *testing.T, c *Conn, server net.Conn, received string) (status int, body string) {
	t.Helper()
	q := &Request{Method: http.MethodGet, Target: "/", Host: "test"}
	if err := c.Send(q); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(server, received); err != nil {
		t.Fatal(err)
	}
	response, err := c.Receive(q)
	if err != nil {
		t.Fatal(err)
	}
	read, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(read)
}
