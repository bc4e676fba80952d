package downstream

import (
	"errors"
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// healthPath is answered by the server itself, for GET.
const healthPath = "/healthz"

// requestOutcome is how a request ended for its connection.
type requestOutcome struct {
	status   int  // of the response; 0: none was written
	admitted bool // it was not rejected
	keepOpen bool // another request may follow
}

// handleRequest reads the body of r, whose header was read, has it answered, and writes the response.
func (s *Server) handleRequest(c *clientConn, r *clientRequest) requestOutcome {
	if r.Path == healthPath && r.Method == http.MethodGet {
		open := s.writeResponse(c, httpmsg.Response{Status: http.StatusOK}, r.closesConnection) && c.reader.skipBody(c, r)
		return requestOutcome{status: http.StatusOK, admitted: true, keepOpen: open}
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
		return s.handleStreamedRequest(c, r, admitted, body, newUpload(remainder))
	}
	x, err := admitted.Dispatch(body, nil)
	if err != nil {
		return s.writeRejection(c, r, err)
	}
	return s.finishExchange(c, r, x)
}

// setPeer names the peer of r where the server is to.
func (s *Server) setPeer(c *clientConn, r *clientRequest) {
	if s.options.PeerName == nil {
		return
	}
	if c.peerName == "" {
		c.peerName = s.options.PeerName(c.Conn)
	}
	r.Peer = c.peerName
}

// finishExchange waits for the response to r, whose body is complete, and writes it.
func (s *Server) finishExchange(c *clientConn, r *clientRequest, x Exchange) requestOutcome {
	resp, clientThere := c.awaitResponse(x)
	if !clientThere {
		discard(resp)
		return requestOutcome{admitted: true}
	}
	return requestOutcome{status: resp.Status, admitted: true, keepOpen: s.writeResponse(c, resp, r.closesConnection)}
}

// handleStreamedRequest is the part of handleRequest for a body that is sent on as it comes. Whether the client is there
// shows as the body is read; once that has ended, the client is watched.
func (s *Server) handleStreamedRequest(c *clientConn, r *clientRequest, admitted AdmittedRequest, body []byte, u *upload) requestOutcome {
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
		resp = <-x.Response() // the reader of the body has had its error
	}
	complete := u.stop()
	open := s.writeResponse(c, resp, r.closesConnection || !complete)
	return requestOutcome{status: resp.Status, admitted: true, keepOpen: open}
}

// awaitResponse waits for the response of x, and reports whether the client is still there. If not, the response may be the
// zero value.
func (c *clientConn) awaitResponse(x Exchange) (resp httpmsg.Response, clientThere bool) {
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
	c.SetReadDeadline(time.Unix(1, 0)) // ends the read of the watch
	<-watchEnded
	return resp, !c.reader.clientClosed.Load()
}

// discard closes a response that nobody reads.
func discard(resp httpmsg.Response) {
	if resp.Remainder != nil {
		resp.Remainder.Close(false)
	}
}

// writeRejection answers a request that is not dispatched. Its body is skipped, or else the connection closes.
func (s *Server) writeRejection(c *clientConn, r *clientRequest, err error) requestOutcome {
	var rejection httpmsg.RejectionError
	errors.As(err, &rejection)
	open := s.writeResponse(c, rejection.Response(), r.closesConnection || !r.bodySkippable())
	return requestOutcome{status: rejection.Status, keepOpen: open}
}

// rejectUnreadable answers a request that could not be read, unless the client has gone. The connection closes.
func (s *Server) rejectUnreadable(c *clientConn, err error) {
	var rejection httpmsg.RejectionError
	if errors.As(err, &rejection) {
		s.writeResponse(c, rejection.Response(), true)
	}
}
