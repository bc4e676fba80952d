// Package discovery holds where a pool's list of servers comes from: the platform's discovery, or a list that the operator
// wrote down. A source is asked for a watch and tells what it knows until that ends; when to ask again is for the decision
// module to say. It knows nothing of pools or connections to servers.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"sorrelrudder/internal/staleness"
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
var States = map[string]policy.EndpointState{
	"active": policy.Ready, "leaving": policy.Draining, "left": policy.Removed,
}

// ParseList reads a message of discovery. It rejects the whole of one that is malformed anywhere, so that a
// list is never taken over in part.
func ParseList(text []byte) (*List, error) {
	from := json.NewDecoder(bytes.NewReader(text))
	l, err := decodeList(from)
	if err != nil {
		return nil, err
	}
	if _, err := from.Token(); err != io.EOF {
		return nil, errors.New("server list: something follows it")
	}
	return l, nil
}

// decodeList reads the next message. io.EOF is that there is none.
func decodeList(from *json.Decoder) (*List, error) {
	var l List
	if err := from.Decode(&l); err == io.EOF {
		return nil, err
	} else if err != nil {
		return nil, fmt.Errorf("server list: %w", err)
	}
	if l.Seq == nil {
		return nil, errors.New("server list: no seq")
	}
	for i, e := range l.Hosts {
		state, ok := States[e.Health]
		switch {
		case !ok:
			return nil, fmt.Errorf("server list: host %q has health %q", e.Host, e.Health)
		case e.Host == "" || e.Dial == "" && state != policy.Removed:
			return nil, fmt.Errorf("server list: entry %d lacks host or dial", i)
		}
	}
	return &l, nil
}

const (
	// discoveryDial is how long the connection to discovery may take.
	discoveryDial = 2 * time.Second
	// mostHead bounds the head of discovery's answer.
	mostHead = 16 << 10
	// mostMessage bounds a message of a watch.
	mostMessage = 4 << 20
)

// ErrSilent is that discovery has said nothing for as long as it may: the call or the watch is given up. It may be there all the
// same, for the next call.
var ErrSilent = errors.New("discovery is silent")

// Source tells a pool of its servers.
type Source interface {
	// Watch calls tell with what has changed after version since, or with the whole list, and with each change from then
	// on, until ctx ends or the source fails; then it returns why, never nil. It does not call tell once ctx has ended,
	// but for a call that crosses that.
	Watch(ctx context.Context, since int64, tell func(*List)) error
}

// Discovery is a service that speaks the platform's protocol of lists and watches.
type Discovery struct {
	Addr  string
	Bound staleness.Bound // how long it may say nothing
}

// Watch is the method of Source. The error names the address; it is an ErrSilent where time has run out.
func (d Discovery) Watch(ctx context.Context, since int64, tell func(*List)) error {
	return fmt.Errorf("discovery %s: %w", d.Addr, d.watch(ctx, since, tell))
}

func (d Discovery) watch(ctx context.Context, since int64, tell func(*List)) (err error) {
	begun := time.Now()
	dialer := net.Dialer{Timeout: min(discoveryDial, d.Bound.CallTimeout)}
	nc, err := dialer.DialContext(ctx, "tcp", d.Addr)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() && ctx.Err() == nil {
		return ErrSilent
	} else if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	c := &watched{Conn: nc, bound: d.Bound, until: begun.Add(d.Bound.CallTimeout), left: mostHead}
	c.SetDeadline(c.until)
	defer func() {
		if c.silent { // whatever who read there made of it
			err = ErrSilent
		}
	}()
	q := &http.Request{
		Method: http.MethodGet, Host: d.Addr,
		URL: &url.URL{Path: "/v1/servers", RawQuery: "follow=1&since=" + strconv.FormatInt(since, 10)},
	}
	if err := q.Write(c); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), q)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("it answers %s", resp.Status)
	}
	c.left = mostMessage
	messages := json.NewDecoder(noting{resp.Body, c}) // one may stand on several lines
	for {
		l, err := decodeList(messages)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.told()
		if next, _ := io.ReadAll(messages.Buffered()); begins(next) {
			c.begun()
		}
		tell(l)
	}
}

// noting is the body of a watch: it notes when a message begins.
type noting struct {
	io.Reader
	c *watched
}

// Read is the method of io.Reader.
func (r noting) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if begins(p[:n]) {
		r.c.begun()
	}
	return n, err
}

// begins reports whether a message begins in text, which follows one, or goes on there.
func begins(text []byte) bool { return bytes.IndexByte(text, '{') >= 0 }

// watched is the connection of a watch. It guards against messages without end, and against waiting for what never comes:
// every byte, of an empty line too, moves the time on by which the next must have come, but for a message that has begun, or
// a first one, which has to come whole in its own time.
type watched struct {
	net.Conn
	bound staleness.Bound
	left  int       // bytes that may still come of the present message
	until time.Time // it has to be whole by then; zero: none has begun

	silent bool // time has run out
}

// Read is the method of net.Conn.
func (c *watched) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errors.New("a message is too long")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	c.silent = errors.Is(err, os.ErrDeadlineExceeded)
	if n > 0 {
		silent := time.Now().Add(c.bound.WatchTimeout)
		if !c.until.IsZero() && c.until.Before(silent) {
			silent = c.until
		}
		c.SetReadDeadline(silent)
	}
	return n, err
}

// begun notes that a message has begun.
func (c *watched) begun() {
	if c.until.IsZero() {
		c.until = time.Now().Add(c.bound.WatchTimeout)
	}
}

// told notes that a message has come whole.
func (c *watched) told() {
	c.left, c.until = mostMessage, time.Time{}
	c.SetReadDeadline(time.Now().Add(c.bound.WatchTimeout))
}
