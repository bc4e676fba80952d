// Package source holds where a pool's list of servers comes from: the platform's discovery, or a list that the operator
// wrote down. A source is asked for a watch and tells what it knows until that ends; when to ask again is for the decision
// module to say. It knows nothing of pools or connections to servers.
package source

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sorrelrudder/policy"
)

// List is a message of discovery: the whole list of upstreams, or the changes since the one before.
type List struct {
	Seq   *int64  `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// Entry is what discovery says of an upstream.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Class  string  `json:"class"` // kind of machine
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
}

// States are the words of discovery for the states of servers.
var States = map[string]policy.ServerState{
	"active": policy.Ready, "leaving": policy.Draining, "left": policy.Gone,
}

// ParseList reads a message of discovery. It rejects the whole of one that is malformed anywhere, so that a
// list is never taken over in part.
func ParseList(text []byte) (*List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("server list: %w", err)
	}
	if l.Seq == nil {
		return nil, fmt.Errorf("server list: no seq in %.80q", text)
	}
	for _, e := range l.Hosts {
		state, ok := States[e.Health]
		switch {
		case !ok:
			return nil, fmt.Errorf("server list: host %q has health %q", e.Host, e.Health)
		case e.Host == "" || e.Dial == "" && state != policy.Gone:
			return nil, fmt.Errorf("server list: an entry lacks host or dial in %.80q", text)
		}
	}
	return &l, nil
}

const (
	// callTime is how long discovery may take until the first line of a watch: calls wait in turn.
	callTime = 6 * time.Second
	// quietTime is how long a watch may say nothing, not even an empty line, before it counts as broken. One
	// comes every 2 s; a machine that has vanished says nothing for ever.
	quietTime = 4 * time.Second
	// discoveryDial is how long the connection to discovery may take.
	discoveryDial = 2 * time.Second
	// mostHead bounds the head of discovery's answer.
	mostHead = 16 << 10
	// mostLine bounds a line of a watch.
	mostLine = 4 << 20
)

// Source tells a pool of its servers.
type Source interface {
	// Watch calls tell with what has changed after version since, or with the whole list, and with each change from then
	// on, until ctx ends or the source fails; then it returns why, never nil. It does not call tell once ctx has ended,
	// but for a call that crosses that.
	Watch(ctx context.Context, since int64, tell func(*List)) error
}

// Discovery is the address of a service that speaks the platform's protocol of lists and watches.
type Discovery string

// Watch is the method of Source.
func (d Discovery) Watch(ctx context.Context, since int64, tell func(*List)) error {
	addr := string(d)
	dialer := net.Dialer{Timeout: discoveryDial}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(callTime))
	q := &http.Request{
		Method: http.MethodGet, Host: addr,
		URL: &url.URL{Path: "/v1/servers", RawQuery: "follow=1&since=" + strconv.FormatInt(since, 10)},
	}
	if err := q.Write(c); err != nil {
		return err
	}
	// Guards against a head or a line without end.
	head := &io.LimitedReader{R: c, N: mostHead}
	resp, err := http.ReadResponse(bufio.NewReader(head), q)
	if err != nil {
		return err
	}
	head.N = math.MaxInt64
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answers %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		c.SetDeadline(time.Now().Add(quietTime))
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		l, err := ParseList(text)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		tell(l)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}
