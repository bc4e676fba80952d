package downstream

import (
	"net/http"
	"time"

	"sorrelrudder/internal/httpmsg"
)

// streamBody is the body of a request on a multiplexed connection. It enforces the same limits as bodyReader. It implements
// httpmsg.BodyStream. It must not be read after the request's http.Handler has returned, which ends the use of the http.ResponseWriter.
type streamBody struct {
	request  *http.Request
	control  *http.ResponseController
	length   int64 // in bytes; -1: not known
	progress bodyProgress
	frames   *throttledConn
}

func newStreamBody(w http.ResponseWriter, r *http.Request, length int64, frames *throttledConn) *streamBody {
	return &streamBody{request: r, control: http.NewResponseController(w), length: length, frames: frames}
}

// Length implements httpmsg.BodyStream.
func (b *streamBody) Length() int64 { return b.length }

// interrupt implements uploadBody. It must not be called after the request's http.Handler has returned.
func (b *streamBody) interrupt() { _ = b.control.SetReadDeadline(time.Unix(1, 0)) } // fails only if the stream has ended, and Read with it

// received implements uploadBody. What the protocol has buffered is not known.
func (b *streamBody) received() bool { return false }

// readFirst reads the body, or the first httpmsg.MaxBufferedBodyBytes of a longer one, and reports whether more may follow.
func (b *streamBody) readFirst() (body []byte, more bool, err error) {
	if b.length == 0 {
		return nil, false, nil
	}
	body, err = readFirst(b)
	if err != nil {
		return nil, false, err
	}
	return body, len(body) == httpmsg.MaxBufferedBodyBytes && b.progress.bytes != b.length, nil
}

// Read implements httpmsg.BodyStream. Errors other than io.EOF are an httpmsg.RejectionError or errClientGone.
func (b *streamBody) Read(p []byte) (int, error) {
	now := time.Now()
	if b.progress.tooSlow() {
		return 0, errRequestTimeout
	}
	_ = b.control.SetReadDeadline(now.Add(bodyReadTimeout)) // fails only if the stream has ended, in which case Read fails too
	n, err := b.request.Body.Read(p)
	b.progress.waited += time.Since(now)
	b.progress.bytes += int64(n)
	if n > 0 {
		b.frames.earn()
	}
	switch {
	case b.progress.bytes > httpmsg.MaxBodyBytes:
		return 0, errBodyTooLong
	case err == nil, isEOF(err):
		return n, err
	case b.request.Context().Err() != nil:
		return n, errClientGone
	case time.Since(now) >= bodyReadTimeout:
		return n, errRequestTimeout
	}
	return n, errMalformedBody
}
