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

// StreamingRequest is one request of a client with a long body or a long response.
type StreamingRequest struct {
	Addr, Class, ID string
	Upload          bool
	Chunked         bool  // of an upload: without a Content-Length
	Size            int64 // bytes of the body or response
	Pace            Pace
	Timeout         time.Duration // that the request carries: from its last byte on
	ClientTimeout   time.Duration // for all of it
	Seed            uint64
}

// StreamingResult is what came of a request.
type StreamingResult struct {
	Status   int   // 0: no response
	Complete bool  // the response was the one expected, to its last byte
	Err      error // why it is not complete; nil also with a status other than 200
	Duration time.Duration
}

// SendStreaming sends a request and reads the response at its pace.
func SendStreaming(ctx context.Context, request StreamingRequest) StreamingResult {
	began := time.Now()
	result := request.send(ctx, began)
	result.Duration = time.Since(began)
	return result
}

func (s *StreamingRequest) send(ctx context.Context, began time.Time) StreamingResult {
	conn, err := net.DialTimeout("tcp", s.Addr, streamingDialTimeout)
	if err != nil {
		return StreamingResult{Err: err}
	}
	defer conn.Close()
	conn.SetDeadline(began.Add(s.ClientTimeout))
	rng := rand.New(rand.NewPCG(s.Seed, 3))
	if _, err := io.WriteString(conn, s.head()); err != nil {
		return StreamingResult{Err: err}
	}
	if s.Upload {
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_ = s.sendBody(ctx, conn, rng) // the response tells what became of the request
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

// head is the request up to its body.
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

// sendBody writes the body of an upload at the request's pace.
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

// readResponse reads the body of a response, and returns nil if it is the one expected.
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

// chunkWriter writes each piece as a chunk of the chunked transfer coding.
type chunkWriter struct{ w io.Writer }

// Write writes p as one chunk.
func (c chunkWriter) Write(p []byte) (int, error) {
	if _, err := fmt.Fprintf(c.w, "%x\r\n%s\r\n", len(p), p); err != nil {
		return 0, err
	}
	return len(p), nil
}
