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
	// dialTimeout bounds the time to connect to the discovery service.
	dialTimeout = 2 * time.Second
	// maxHeadBytes bounds the size of the head of the response.
	maxHeadBytes = 16 << 10
	// maxMessageBytes bounds the size of a message of a watch.
	maxMessageBytes = 4 << 20
)

var (
	// ErrSilenceTimeout reports that the discovery service did not accept the connection, sent nothing, or did not complete a message
	// within the allowed time, so that the call or the watch was aborted. The service may still be available to the next call.
	ErrSilenceTimeout = errors.New("timed out waiting for data from the discovery service")

	errMessageTooLong = errors.New("head or message exceeds the size limit")
)

// Client watches a service that speaks the platform's discovery protocol. It implements Source.
type Client struct {
	Address   string          // host and port
	Staleness staleness.Bound // bounds how long the service may send nothing
}

// Watch implements Source. The error contains the address. It wraps ErrSilenceTimeout if the service timed out.
func (d Client) Watch(ctx context.Context, since int64, receive func(*EndpointList)) error {
	return fmt.Errorf("watch discovery service %s: %w", d.Address, d.watch(ctx, since, receive))
}

// watch is Watch without the address in its error.
func (d Client) watch(ctx context.Context, since int64, receive func(*EndpointList)) (err error) {
	conn, err := d.dial(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer func() {
		if conn.timedOut { // the readers above the connection may have replaced the error
			err = ErrSilenceTimeout
		}
	}()
	response, err := d.call(conn, since) //nolint:bodyclose // closing the body would read the rest of the watch; conn is closed
	if err != nil {
		return err
	}
	return receiveMessages(ctx, conn, response.Body, receive)
}

// dial connects to the service. The time limit of the call that follows starts before dialing.
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

// call requests the changes after version since. The body of the response is the watch.
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
		return nil, fmt.Errorf("unexpected status %s, want 200", response.Status)
	}
	return response, nil
}

// receiveMessages calls receive with each message of a watch until the watch fails or ctx is done.
func receiveMessages(ctx context.Context, conn *watchConn, body io.Reader, receive func(*EndpointList)) error {
	conn.expectMessage()
	messages := json.NewDecoder(messageObserver{Reader: body, conn: conn}) // a message may span several lines
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
