package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sorrelrudder/internal/staleness"
)

const (
	// dialTimeout bounds the connection to the discovery service.
	dialTimeout = 2 * time.Second
	// maxHeadBytes bounds the head of its response.
	maxHeadBytes = 16 << 10
	// maxMessageBytes bounds a message of a watch.
	maxMessageBytes = 4 << 20
)

var (
	// ErrSilenceTimeout is that the discovery service has said nothing for as long as it may: the call or the watch is given up. It
	// may be there all the same, for the next call.
	ErrSilenceTimeout = errors.New("discovery is silent")

	errMessageTooLong = errors.New("a message is too long")
)

// Client watches a service that speaks the platform's discovery protocol. It implements Source.
type Client struct {
	Address   string          // host and port
	Staleness staleness.Bound // how long the service may say nothing
}

// Watch implements Source. The error names the address; it is an ErrSilenceTimeout where time has run out.
func (d Client) Watch(ctx context.Context, since int64, receive func(*EndpointList)) error {
	return fmt.Errorf("discovery %s: %w", d.Address, d.watch(ctx, since, receive))
}

func (d Client) watch(ctx context.Context, since int64, receive func(*EndpointList)) (err error) {
	conn, err := d.dial(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer func() {
		if conn.timedOut { // whatever the readers above the connection made of it
			err = ErrSilenceTimeout
		}
	}()
	response, err := d.call(conn, since) //nolint:bodyclose // closing the body would read the rest of the watch; conn is closed
	if err != nil {
		return err
	}
	return receiveMessages(ctx, conn, response.Body, receive)
}

// dial connects to the service. The call that follows has to be answered within its time, which starts now.
func (d Client) dial(ctx context.Context) (*watchConn, error) {
	started := time.Now()
	dialer := net.Dialer{Timeout: min(dialTimeout, d.Staleness.CallTimeout)}
	nc, err := dialer.DialContext(ctx, "tcp", d.Address)
	if err != nil {
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() && ctx.Err() == nil {
			return nil, ErrSilenceTimeout
		}
		return nil, err
	}
	return newWatchConn(nc, d.Staleness, started), nil
}

// call asks for what has changed after version since, and returns the response, whose body is the watch.
func (d Client) call(conn *watchConn, since int64) (*http.Response, error) {
	request := &http.Request{
		Method: http.MethodGet, Host: d.Address,
		URL: &url.URL{Path: "/v1/servers", RawQuery: "follow=1&since=" + strconv.FormatInt(since, 10)},
	}
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("it answers %s", response.Status)
	}
	return response, nil
}

// receiveMessages hands the messages of a watch on until it breaks off or ctx ends.
func receiveMessages(ctx context.Context, conn *watchConn, body io.Reader, receive func(*EndpointList)) error {
	conn.expectMessage()
	messages := json.NewDecoder(messageObserver{Reader: body, conn: conn}) // a message may stand on several lines
	for {
		l, err := decodeEndpointList(messages)
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		conn.messageComplete()
		if next, _ := io.ReadAll(messages.Buffered()); beginsMessage(next) {
			conn.messageBegun()
		}
		receive(l)
	}
}
