package fake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	streamingDialTimeout  = 5 * time.Second
	streamingHost         = "farm.example.org"
	maxUploadResponseBody = 1 << 10
)

// StreamingRequest is a request of a client with a long body or a long response.
type StreamingRequest struct {
	Addr, Class, ID string
	Upload          bool
	Chunked         bool  // send an upload with chunked transfer coding, without Content-Length
	Size            int64 // bytes of the request body of an upload, otherwise of the response body
	Pace            Pace
	Timeout         time.Duration // sent as X-Timeout-Ms; counts from the last byte of the request
	ClientTimeout   time.Duration // of the whole exchange, from dialing to the last byte of the response
	Seed            uint64
}

// StreamingResult is the result of a StreamingRequest.
type StreamingResult struct {
	Status   int           // 0: no response
	Complete bool          // the response was complete and as expected
	Err      error         // why the response is not complete; nil for a response with a status other than 200
	Duration time.Duration // of the whole exchange
}

// SendStreaming sends a request and reads the response at the pace of the request.
func SendStreaming(ctx context.Context, request StreamingRequest) StreamingResult {
	start := time.Now()
	result := request.send(ctx, start)
	result.Duration = time.Since(start)
	return result
}

// send opens a connection, sends the request and reads the response. start is the beginning of ClientTimeout.
func (s *StreamingRequest) send(ctx context.Context, start time.Time) StreamingResult {
	conn, err := net.DialTimeout("tcp", s.Addr, streamingDialTimeout)
	if err != nil {
		return StreamingResult{Err: err}
	}
	defer conn.Close()
	conn.SetDeadline(start.Add(s.ClientTimeout))
	rng := rand.New(rand.NewPCG(s.Seed, 3))
	if _, err := io.WriteString(conn, s.head()); err != nil {
		return StreamingResult{Err: err}
	}
	if s.Upload {
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_ = s.sendBody(ctx, conn, rng) // the response shows whether the request succeeded
		}()
		defer func() {
			conn.Close()
			<-sent
		}()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return StreamingResult{Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return StreamingResult{Status: response.StatusCode}
	}
	err = s.readResponse(ctx, response, rng)
	return StreamingResult{Status: response.StatusCode, Complete: err == nil, Err: err}
}

// head returns the request line and the header fields.
func (s *StreamingRequest) head() string {
	method, lengthField := http.MethodGet, ""
	if s.Upload {
		method, lengthField = http.MethodPost, fmt.Sprintf("Content-Length: %d\r\n", s.Size)
		if s.Chunked {
			lengthField = "Transfer-Encoding: chunked\r\n"
		}
	}
	return fmt.Sprintf("%s /%s/%d/%s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n",
		method, s.Class, s.Size, s.ID, streamingHost, s.ID, s.Timeout.Milliseconds(), lengthField)
}

// sendBody writes the body of an upload at the pace of the request.
func (s *StreamingRequest) sendBody(ctx context.Context, conn net.Conn, rng *rand.Rand) error {
	if !s.Chunked {
		return copyPaced(ctx, conn, pattern(s.ID), s.Size, s.Pace, rng)
	}
	if err := copyPaced(ctx, chunkWriter{conn}, pattern(s.ID), s.Size, s.Pace, rng); err != nil {
		return err
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// readResponse reads the body of a response. It returns nil if the body is complete and as expected.
func (s *StreamingRequest) readResponse(ctx context.Context, response *http.Response, rng *rand.Rand) error {
	if s.Upload {
		text, err := io.ReadAll(io.LimitReader(response.Body, maxUploadResponseBody))
		if err == nil && string(text) != s.ID {
			err = errBodyMismatch
		}
		return err
	}
	checker := &patternChecker{want: pattern(s.ID)}
	if err := copyPaced(ctx, checker, response.Body, s.Size, s.Pace, rng); err != nil {
		return err
	}
	extra, err := io.Copy(io.Discard, response.Body)
	if extra > 0 {
		return errBodyMismatch
	}
	return err
}

// chunkWriter sends each write as one chunk of the chunked transfer coding.
type chunkWriter struct{ w io.Writer }

// Write writes p as one chunk.
func (c chunkWriter) Write(p []byte) (int, error) {
	if _, err := fmt.Fprintf(c.w, "%x\r\n%s\r\n", len(p), p); err != nil {
		return 0, err
	}
	return len(p), nil
}
