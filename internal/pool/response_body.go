package pool

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"sorrelrudder/internal/httpmsg"
	"sorrelrudder/internal/process"
	"sorrelrudder/internal/upstream"
	"sorrelrudder/policy"
)

const (
	// initialBufferBytes is the initial size of the buffer for the body of a response whose length is greater or unknown.
	initialBufferBytes = 4 << 10
	// unknownLengthWait is how long a response of unknown length is buffered before it is streamed. It is bounded because the client must
	// not wait long for the first bytes.
	unknownLengthWait = 300 * time.Millisecond
)

// errResponseTooLong reports that the body of a response exceeds httpmsg.MaxBodyBytes.
var errResponseTooLong = errors.New("response body exceeds the size limit")

// bodyStart is the part of a response's body that is read before the client gets any of it.
type bodyStart struct {
	length   int64 // of the whole body in bytes; -1: not known
	headAt   time.Time
	deadline time.Time // of the attempt
	patient  bool      // a pause is no reason to give up the attempt before its deadline
	body     []byte
	memory   *process.BufferMemory
	held     int64 // bytes acquired from memory
}

// newBodyStart allocates memory for the bytes received, not for the length that the head declares. The caller must call release.
func newBodyStart(length int64, deadline time.Time, memory *process.BufferMemory) *bodyStart {
	capacity := int64(initialBufferBytes)
	if length >= 0 {
		capacity = min(capacity, length)
	}
	return &bodyStart{
		length: length, headAt: time.Now(), deadline: deadline, body: make([]byte, 0, capacity),
		patient: length < 0 || length > httpmsg.MaxBufferedBodyBytes, memory: memory,
	}
}

// complete reports whether the whole body has been read. The end of a body of unknown length is the end of the stream.
func (s *bodyStart) complete() bool { return int64(len(s.body)) == s.length }

// mayStream reports whether what has been read may be passed on before the rest arrives: the body is long, or of unknown length.
func (s *bodyStart) mayStream() bool {
	if len(s.body) == 0 {
		return false
	}
	return s.length < 0 || s.length > httpmsg.MaxBufferedBodyBytes
}

// enough reports whether no more is to be read before the response is streamed.
func (s *bodyStart) enough() bool {
	switch {
	case !s.mayStream():
		return false
	case s.length < 0:
		return len(s.body) == httpmsg.MaxBufferedBodyBytes || time.Since(s.headAt) > unknownLengthWait
	}
	return true
}

// waitUntil returns until when the next byte is awaited before anything else is decided.
func (s *bodyStart) waitUntil() time.Time {
	until := s.deadline
	switch {
	case s.mayStream():
		until = s.headAt.Add(unknownLengthWait)
	case !s.patient:
		until = time.Now().Add(upstream.BodyStallTimeout)
	}
	if until.After(s.deadline) {
		return s.deadline
	}
	return until
}

// free returns the part of the buffer for the next bytes.
func (s *bodyStart) free() []byte { return s.body[len(s.body):cap(s.body)] }

// grow enlarges the buffer if it is full, and reports whether there is memory for that.
func (s *bodyStart) grow() bool {
	size := cap(s.body)
	if len(s.body) < size {
		return true
	}
	larger := min(2*size, httpmsg.MaxBufferedBodyBytes)
	if s.length >= 0 {
		larger = int(min(int64(larger), s.length))
	}
	if !s.memory.Acquire(s.held, int64(larger-size)) {
		return false
	}
	s.held += int64(larger - size)
	s.body = append(make([]byte, 0, larger), s.body...)
	return true
}

// release returns the memory of a body that is passed on, or dropped, from now on.
func (s *bodyStart) release() { s.memory.Release(s.held) }

// readBodyStart reads the body of a response, or the first part of a long one; complete tells which. A pause of the endpoint ends the attempt
// only if the whole body is buffered before the client gets any of it and the request could be sent again. Otherwise the endpoint has until
// the deadline, since a slow response is better than none.
func (p *Pool) readBodyStart(a *attempt, response *http.Response, from *upstream.Body) (body []byte, complete bool, err error) {
	s := newBodyStart(response.ContentLength, a.deadline, p.bufferMemory)
	defer s.release()
	if s.length > httpmsg.MaxBodyBytes {
		return nil, false, fmt.Errorf("%w: %d bytes", errResponseTooLong, s.length)
	}
	for !s.complete() { // there may be no need to read the end of the stream
		if s.enough() || !s.grow() { // without memory for the whole, the client gets the body as it comes
			return s.body, false, nil
		}
		n, err := from.Read(s.free(), s.waitUntil(), s.deadline)
		s.body = s.body[:len(s.body)+n]
		switch {
		case err == io.EOF: //nolint:errorlint // a wrapped EOF means a truncated body
			return s.body, true, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && s.mayStream():
			return s.body, false, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && !s.patient && !p.retryPossible(a):
			s.patient = true
		case err != nil:
			return nil, false, err
		}
	}
	return s.body, true, nil
}

// retryPossible reports whether the request of an attempt could be sent again if the attempt broke off now.
func (p *Pool) retryPossible(a *attempt) (possible bool) {
	p.runEvent(func(now policy.Time) { possible = p.balancer.RetryPossible(now, a.request.id) })
	return possible
}
