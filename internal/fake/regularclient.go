package fake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"
)

// regularInterval is the pause of a RegularClient after each answer.
const regularInterval = 50 * time.Millisecond

// RegularClient is an ordinary client that sends one request after the other and measures how long the answers take.
type RegularClient struct {
	Addr     string
	Patience time.Duration // after which a request counts as unanswered
}

// RegularResults are the results of a client, or of several.
type RegularResults struct {
	latencies  []time.Duration // in ascending order
	statuses   map[int]int     // answers by status
	Unanswered int             // requests without an answer in time, or whose new connection was closed
}

// MergeRegularResults returns the results of several clients as one.
func MergeRegularResults(all ...RegularResults) RegularResults {
	total := RegularResults{statuses: map[int]int{}}
	for _, r := range all {
		total.latencies = append(total.latencies, r.latencies...)
		total.Unanswered += r.Unanswered
		for status, n := range r.statuses {
			total.statuses[status] += n
		}
	}
	slices.Sort(total.latencies)
	return total
}

// Last returns how long the slowest answer took. It is the longest time if there is no answer at all.
func (r RegularResults) Last() time.Duration {
	if len(r.latencies) == 0 {
		return time.Duration(1<<63 - 1)
	}
	return r.latencies[len(r.latencies)-1]
}

// String implements fmt.Stringer.
func (r RegularResults) String() string {
	n := len(r.latencies)
	if n == 0 {
		return "no answers"
	}
	return fmt.Sprintf("%d answers, median %v, 99%% %v, last %v, by status %v, %d unanswered",
		n, r.latencies[n/2], r.latencies[n*99/100], r.Last(), r.statuses, r.Unanswered)
}

// Run sends requests until ctx ends. A request on a kept connection that ends without an answer is sent once more on a new one, since a proxy
// may close a connection between two requests; its time goes on. request returns the text of the request with a serial number.
func (c RegularClient) Run(ctx context.Context, request func(n int) string) RegularResults {
	results := RegularResults{statuses: map[int]int{}}
	kept := keptConn{addr: c.Addr}
	defer kept.close()
	for n := 0; ctx.Err() == nil; n++ {
		sent := time.Now()
		status := kept.ask(request(n), sent.Add(c.Patience))
		if status == statusNoResponse {
			results.Unanswered++
		}
		results.statuses[status]++
		results.latencies = append(results.latencies, time.Since(sent))
		time.Sleep(regularInterval)
	}
	slices.Sort(results.latencies)
	return results
}

// keptConn is a connection that is kept from one request to the next while it stays open.
type keptConn struct {
	addr   string
	conn   net.Conn // nil: none
	reader *bufio.Reader
}

// ask sends a request, once more if a kept connection ends without an answer, and returns the status of its response.
func (k *keptConn) ask(request string, deadline time.Time) (status int) {
	kept := k.conn != nil
	status = k.askOnce(request, deadline)
	if status == statusNoResponse && kept {
		status = k.askOnce(request, deadline)
	}
	return status
}

// askOnce sends a request and returns the status of its response, or statusNoResponse if the connection ended or the deadline passed.
func (k *keptConn) askOnce(request string, deadline time.Time) (status int) {
	if k.conn == nil {
		dialer := net.Dialer{Deadline: deadline}
		conn, err := dialer.Dial("tcp", k.addr)
		if err != nil {
			return statusNoResponse
		}
		k.conn, k.reader = conn, bufio.NewReader(conn)
	}
	k.conn.SetDeadline(deadline)
	io.WriteString(k.conn, request)
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		k.close()
		return statusNoResponse
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
		k.close()
	}
	return response.StatusCode
}

// close closes the connection, if there is one.
func (k *keptConn) close() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}
