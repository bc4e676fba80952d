package downstream

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// writeStreamRejection responds to a request that was not dispatched. It resets the stream if err is not an httpmsg.RejectionError, which
// means that the client has disconnected.
func writeStreamRejection(w http.ResponseWriter, r *http.Request, err error) {
	var rejection httpmsg.RejectionError
	if !errors.As(err, &rejection) {
		panic(http.ErrAbortHandler)
	}
	resp := rejection.Response()
	writeStreamResponse(w, r, &resp, nil)
}

// writeStreamResponse writes a response. If the response cannot be completed, it resets the stream, so that the client can detect the
// truncation. m may be nil if resp has no remainder. writeStreamResponse clears resp.Body, as Server.writeResponse does.
func writeStreamResponse(w http.ResponseWriter, r *http.Request, resp *httpmsg.Response, m *multiplexedConn) {
	headRequest := r.Method == http.MethodHead
	setStreamHeader(w.Header(), resp, headRequest)
	setStreamWriteDeadline(w, writeTimeout)
	w.WriteHeader(resp.Status)
	if headRequest || bodiless(resp.Status) {
		discard(*resp)
		return
	}
	_, err := w.Write(resp.Body)
	resp.Body = nil
	if resp.Remainder != nil {
		if err == nil {
			err = copyStreamRemainder(w, resp.Remainder, m)
		}
		resp.Remainder.Close(err == nil)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// setStreamHeader sets the header fields of a response. It suppresses the Content-Type and Date fields that net/http would add if the
// endpoint has not sent them.
func setStreamHeader(h http.Header, resp *httpmsg.Response, headRequest bool) {
	for name, values := range resp.Header {
		h[name] = values
	}
	if resp.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(resp.RetryAfter))
	}
	if length := responseLength(resp, headRequest); length >= 0 && !bodiless(resp.Status) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, set := h[name]; !set {
			h[name] = nil
		}
	}
}

// copyStreamRemainder writes the remainder of a response's body as it arrives, and flushes after each write.
func copyStreamRemainder(w http.ResponseWriter, remainder httpmsg.ResponseStream, m *multiplexedConn) error {
	control := http.NewResponseController(w)
	return m.server.copyRemainder(remainder, func(p []byte) error {
		m.frames.earn()
		setStreamWriteDeadline(w, streamWriteTimeout)
		if _, err := w.Write(p); err != nil {
			return err
		}
		return control.Flush()
	})
}

// setStreamWriteDeadline bounds the following writes. It ignores errors, which occur only if the stream has ended; writes fail then too.
func setStreamWriteDeadline(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
}
