package downstream

import (
	"errors"
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// healthPath is the path of health checks. The server answers GET requests for it without the handler.
const healthPath = "/healthz"

// requestOutcome is the result of serving a request, as far as it concerns the connection.
type requestOutcome struct {
	status   int  // status of the response; 0: no response was written
	admitted bool // the request was not rejected
	local    bool // the response needed no endpoint
	keepOpen bool // another request may follow
}

// refused reports whether a sound request was rejected without an endpoint. Its client may send it again, and is owed an answer in time.
func (o requestOutcome) refused() bool {
	return o.local && (o.status == http.StatusTooManyRequests || o.status == http.StatusServiceUnavailable)
}

// handleRequest serves request r, whose header has been read: it reads the body, dispatches the request and writes the response.
func (s *Server) handleRequest(c *clientConn, r *clientRequest) requestOutcome {
	if r.Path == healthPath && r.Method == http.MethodGet {
		open := s.writeResponse(c, &httpmsg.Response{Status: http.StatusOK}, r.closesConnection) && c.reader.skipBody(c, r)
		return requestOutcome{status: http.StatusOK, admitted: true, local: true, keepOpen: open}
	}
	s.setPeer(c, r)
	admitted, id, err := s.handler.Admit(&r.Request)
	s.setPool(c, id)
	if err != nil {
		outcome := s.writeRejection(c, r, err)
		outcome.keepOpen = outcome.keepOpen && c.reader.skipBody(c, r)
		return outcome
	}
	body, remainder, err := c.reader.readBody(c.Conn, r)
	if err != nil {
		admitted.Release()
		s.rejectUnreadable(c, err)
		return requestOutcome{admitted: true}
	}
	s.markActive(c)
	if remainder != nil {
		return s.handleStreamedRequest(c, r, admitted, body, newUpload(remainder, s.options.BufferMemory, s.transfers))
	}
	x, err := admitted.Dispatch(body, nil)
	if err != nil {
		return s.writeRejection(c, r, err)
	}
	return s.finishExchange(c, r, x)
}

// setPeer sets the peer name of r if Options.PeerName is set.
func (s *Server) setPeer(c *clientConn, r *clientRequest) {
	if s.options.PeerName == nil {
		return
	}
	if c.peerName == "" {
		c.peerName = s.options.PeerName(c.Conn)
	}
	r.Peer = c.peerName
}

// finishExchange waits for the response to r and writes it. The body of r must have been read completely.
func (s *Server) finishExchange(c *clientConn, r *clientRequest, x Exchange) requestOutcome {
	resp, rejected := immediateResponse(x)
	if !rejected {
		var clientConnected bool
		resp, clientConnected = c.awaitResponse(x)
		if !clientConnected {
			discard(resp)
			return requestOutcome{admitted: true}
		}
	}
	return requestOutcome{status: resp.Status, admitted: true, local: rejected, keepOpen: s.writeResponse(c, &resp, r.closesConnection)}
}

// immediateResponse returns the response of x if it is there as soon as x has been dispatched: the handler has rejected the request without
// an endpoint.
func immediateResponse(x Exchange) (resp httpmsg.Response, rejected bool) {
	select {
	case resp = <-x.Response():
		return resp, true
	default:
		return resp, false
	}
}

// handleStreamedRequest continues handleRequest for a body that is forwarded while it is being received. Reading the body shows whether the
// client is still connected. Once the body is complete, the connection is watched for a close.
func (s *Server) handleStreamedRequest(c *clientConn, r *clientRequest, admitted AdmittedRequest, body []byte, u *upload) requestOutcome {
	defer u.discard()
	x, err := admitted.Dispatch(body, u)
	if err != nil {
		u.stop()
		outcome := s.writeRejection(c, r, err)
		outcome.keepOpen = false
		return outcome
	}
	var resp httpmsg.Response
	select {
	case resp = <-x.Response():
	case <-u.done:
		if u.stop() {
			c.SetDeadline(time.Time{})
			return s.finishExchange(c, r, x)
		}
		resp = <-x.Response() // the exchange has received the read error of the body and responds
	}
	complete := u.stop()
	open := s.writeResponse(c, &resp, r.closesConnection || !complete)
	return requestOutcome{status: resp.Status, admitted: true, keepOpen: open}
}

// awaitResponse waits for the response of x, and reports whether the client is still connected. If it is not, the response may be the zero
// value.
func (c *clientConn) awaitResponse(x Exchange) (resp httpmsg.Response, clientConnected bool) {
	if c.watchTimer == nil {
		c.watchTimer = time.NewTimer(clientWatchDelay)
	} else {
		c.watchTimer.Reset(clientWatchDelay)
	}
	select {
	case resp = <-x.Response():
		c.watchTimer.Stop()
		return resp, true
	case <-c.watchTimer.C:
	}
	stop := make(chan struct{})
	watchEnded := c.reader.watchForClose(c.Conn, stop)
	select {
	case resp = <-x.Response():
	case <-watchEnded:
		if c.reader.clientClosed.Load() && x.Cancel() {
			return resp, false
		}
		resp = <-x.Response()
	}
	close(stop)
	c.SetReadDeadline(time.Unix(1, 0)) // interrupts the read of watchForClose
	<-watchEnded
	return resp, !c.reader.clientClosed.Load()
}

// discard closes the stream of a response that is not written to a client.
func discard(resp httpmsg.Response) {
	if resp.Remainder != nil {
		resp.Remainder.Close(false)
	}
}

// writeRejection responds to a request that was not dispatched. The connection closes if the request's body cannot be skipped.
// Otherwise a caller that has not read the body must skip it.
func (s *Server) writeRejection(c *clientConn, r *clientRequest, err error) requestOutcome {
	var rejection httpmsg.RejectionError
	errors.As(err, &rejection)
	resp := rejection.Response()
	open := s.writeResponse(c, &resp, r.closesConnection || !r.bodySkippable())
	return requestOutcome{status: rejection.Status, local: true, keepOpen: open}
}

// rejectUnreadable responds to a request that could not be read, unless the client has closed the connection. The caller closes the
// connection.
func (s *Server) rejectUnreadable(c *clientConn, err error) {
	var rejection httpmsg.RejectionError
	if errors.As(err, &rejection) {
		s.events.Info("unreadable request", "from", c.RemoteAddr().String(), "status", rejection.Status, "reason", rejection.Text)
		resp := rejection.Response()
		s.writeResponse(c, &resp, true)
	}
}
