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

// EndpointList is a message of discovery: the whole list of upstreams, or the changes since the one before.
type EndpointList struct {
	Version   *int64     `json:"seq"`
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is what discovery says of an upstream.
type Endpoint struct {
	ID          string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	Cell        int     `json:"block"`
	MachineType string  `json:"class"` // kind of machine
	Health      string  `json:"health"`
	Weight      float64 `json:"share"`
	StartedMs   int64   `json:"born_ms"`
}

// States are the words of discovery for the states of servers.
var States = map[string]policy.EndpointState{
	"active": policy.Ready, "leaving": policy.Draining, "left": policy.Removed,
}

// ParseEndpointList reads a message of discovery. It rejects the whole of one that is malformed anywhere, so that a
// list is never taken over in part.
func ParseEndpointList(text []byte) (*EndpointList, error) {
	from := json.NewDecoder(bytes.NewReader(text))
	l, err := decodeEndpointList(from)
	if err != nil {
		return nil, err
	}
	if _, err := from.Token(); err != io.EOF {
		return nil, errors.New("server list: something follows it")
	}
	return l, nil
}

// decodeEndpointList reads the next message. io.EOF is that there is none.
func decodeEndpointList(from *json.Decoder) (*EndpointList, error) {
	var l EndpointList
	if err := from.Decode(&l); err == io.EOF {
		return nil, err
	} else if err != nil {
		return nil, fmt.Errorf("server list: %w", err)
	}
	if l.Version == nil {
		return nil, errors.New("server list: no seq")
	}
	for i, e := range l.Endpoints {
		state, ok := States[e.Health]
		switch {
		case !ok:
			return nil, fmt.Errorf("server list: host %q has health %q", e.ID, e.Health)
		case e.ID == "" || e.Address == "" && state != policy.Removed:
			return nil, fmt.Errorf("server list: entry %d lacks host or dial", i)
		}
	}
	return &l, nil
}

const (
	// dialTimeout is how long the connection to discovery may take.
	dialTimeout = 2 * time.Second
	// maxHeadBytes bounds the head of discovery's answer.
	maxHeadBytes = 16 << 10
	// maxMessageBytes bounds a message of a watch.
	maxMessageBytes = 4 << 20
)

// ErrSilenceTimeout is that discovery has said nothing for as long as it may: the call or the watch is given up. It may be there all the
// same, for the next call.
var ErrSilenceTimeout = errors.New("discovery is silent")

// Source tells a pool of its servers.
type Source interface {
	// Watch calls tell with what has changed after version since, or with the whole list, and with each change from then
	// on, until ctx ends or the source fails; then it returns why, never nil. It does not call tell once ctx has ended,
	// but for a call that crosses that.
	Watch(ctx context.Context, since int64, tell func(*EndpointList)) error
}

// Client is a service that speaks the platform's protocol of lists and watches.
type Client struct {
	Address   string
	Staleness staleness.Bound // how long it may say nothing
}

// Watch is the method of Source. The error names the address; it is an ErrSilent where time has run out.
func (d Client) Watch(ctx context.Context, since int64, tell func(*EndpointList)) error {
	return fmt.Errorf("discovery %s: %w", d.Address, d.watch(ctx, since, tell))
}

func (d Client) watch(ctx context.Context, since int64, tell func(*EndpointList)) (err error) {
	begun := time.Now()
	dialer := net.Dialer{Timeout: min(dialTimeout, d.Staleness.CallTimeout)}
	nc, err := dialer.DialContext(ctx, "tcp", d.Address)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() && ctx.Err() == nil {
		return ErrSilenceTimeout
	} else if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	c := &watchConn{Conn: nc, staleness: d.Staleness, messageDeadline: begun.Add(d.Staleness.CallTimeout), readBudget: maxHeadBytes}
	c.SetDeadline(c.messageDeadline)
	defer func() {
		if c.timedOut { // whatever who read there made of it
			err = ErrSilenceTimeout
		}
	}()
	q := &http.Request{
		Method: http.MethodGet, Host: d.Address,
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
	c.readBudget = maxMessageBytes
	messages := json.NewDecoder(messageObserver{resp.Body, c}) // one may stand on several lines
	for {
		l, err := decodeEndpointList(messages)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.messageComplete()
		if next, _ := io.ReadAll(messages.Buffered()); beginsMessage(next) {
			c.messageBegun()
		}
		tell(l)
	}
}

// messageObserver is the body of a watch: it notes when a message begins.
type messageObserver struct {
	io.Reader
	conn *watchConn
}

// Read is the method of io.Reader.
func (r messageObserver) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if beginsMessage(p[:n]) {
		r.conn.messageBegun()
	}
	return n, err
}

// beginsMessage reports whether a message begins in text, which follows one, or goes on there.
func beginsMessage(text []byte) bool { return bytes.IndexByte(text, '{') >= 0 }

// watchConn is the connection of a watch. It guards against messages without end, and against waiting for what never comes:
// every byte, of an empty line too, moves the time on by which the next must have come, but for a message that has begun, or
// a first one, which has to come whole in its own time.
type watchConn struct {
	net.Conn
	staleness       staleness.Bound
	readBudget      int       // bytes that may still come of the present message
	messageDeadline time.Time // it has to be whole by then; zero: none has begun

	timedOut bool // time has run out
}

// Read is the method of net.Conn.
func (c *watchConn) Read(p []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, errors.New("a message is too long")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readBudget)])
	c.readBudget -= n
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	if n > 0 {
		silent := time.Now().Add(c.staleness.WatchTimeout)
		if !c.messageDeadline.IsZero() && c.messageDeadline.Before(silent) {
			silent = c.messageDeadline
		}
		c.SetReadDeadline(silent)
	}
	return n, err
}

// messageBegun notes that a message has begun.
func (c *watchConn) messageBegun() {
	if c.messageDeadline.IsZero() {
		c.messageDeadline = time.Now().Add(c.staleness.WatchTimeout)
	}
}

// messageComplete notes that a message has come whole.
func (c *watchConn) messageComplete() {
	c.readBudget, c.messageDeadline = maxMessageBytes, time.Time{}
	c.SetReadDeadline(time.Now().Add(c.staleness.WatchTimeout))
}

// State returns the state that Health names.
func (e *Endpoint) State() policy.EndpointState { return States[e.Health] }
