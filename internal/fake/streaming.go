package fake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Pace is how a peer reads or writes a long body: so many bytes a second, in pieces of any size up to Piece.
type Pace struct {
	BytesPerSecond int // bytes a second; 0: as fast as it goes
	MaxChunk       int // bytes, above 0
}

// pauses between pieces are no shorter, so that fast peers do not wait for the timer.
const minPacePause = 2 * time.Millisecond

// copyPaced copies n bytes at a pace.
func copyPaced(ctx context.Context, w io.Writer, r io.Reader, n int64, p Pace, rng *rand.Rand) error {
	began, done := time.Now(), int64(0)
	buffer := make([]byte, p.MaxChunk)
	for done < n {
		piece := min(n-done, int64(1+rng.IntN(p.MaxChunk)))
		k, err := io.ReadFull(r, buffer[:piece])
		if k > 0 {
			if _, werr := w.Write(buffer[:k]); werr != nil {
				return werr
			}
			done += int64(k)
		}
		if err != nil {
			return err
		}
		if p.BytesPerSecond > 0 {
			due := time.Duration(float64(done) / float64(p.BytesPerSecond) * float64(time.Second))
			if wait := due - time.Since(began); wait > minPacePause {
				select {
				case <-time.After(wait):
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		}
	}
	return nil
}

// pattern are the bytes that belong to a request: no two requests have the same, so that no part can pass for another's.
func pattern(id string) io.Reader {
	h := fnv.New64a()
	io.WriteString(h, id)
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(h.Sum64()>>(i%8*8)) + byte(i)
	}
	return rand.NewChaCha8(seed)
}

// patternChecker is an io.Writer that takes the bytes of a pattern and no others.
type patternChecker struct {
	want  io.Reader
	total int64
}

var errBodyMismatch = errors.New("other bytes than were sent")

func (c *patternChecker) Write(p []byte) (int, error) {
	want := make([]byte, len(p))
	if _, err := io.ReadFull(c.want, want); err != nil {
		return 0, err
	}
	if !bytes.Equal(p, want) {
		return 0, errBodyMismatch
	}
	c.total += int64(len(p))
	return len(p), nil
}

// StreamingBackend is a stand-in for a server with long answers and bodies: GET /CLASS/SIZE/ID is answered with SIZE bytes that belong to
// the request, and the body of POST /CLASS/SIZE/ID must be those.
type StreamingBackend struct {
	Pace Pace
	// ReadLimit makes it read no further than that of a body; 0: it reads on.
	ReadLimit int64

	seed      uint64
	server    *http.Server
	addr      string
	serveDone chan struct{}
	completed sync.Map // *atomic.Int64 by id: bodies that came whole and right
	corrupt   atomic.Int64
}

// StartStreamingBackend starts one.
func StartStreamingBackend(p Pace, stops int64, seed uint64) (*StreamingBackend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &StreamingBackend{Pace: p, ReadLimit: stops, seed: seed, addr: ln.Addr().String(), serveDone: make(chan struct{})}
	b.server = &http.Server{Handler: b}
	go func() {
		defer close(b.serveDone)
		b.server.Serve(ln)
	}()
	return b, nil
}

// Addr is where it listens.
func (b *StreamingBackend) Addr() string { return b.addr }

// CorruptBodies is how many bodies came otherwise than they were sent.
func (b *StreamingBackend) CorruptBodies() int64 { return b.corrupt.Load() }

// CompletedBodies is how often the body of that request came whole.
func (b *StreamingBackend) CompletedBodies(id string) int64 {
	if n, ok := b.completed.Load(id); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// Close ends it and all its connections.
func (b *StreamingBackend) Close() {
	b.server.Close()
	<-b.serveDone
}

// ServeHTTP is the method of http.Handler.
func (b *StreamingBackend) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/load" {
		io.WriteString(w, "inflight=0, queue=0")
		return
	}
	parts := strings.Split(q.URL.Path, "/")
	size, err := strconv.ParseInt(parts[min(2, len(parts)-1)], 10, 64)
	id := q.Header.Get("X-Request-Id")
	if err != nil || id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	rng := rand.New(rand.NewPCG(b.seed, uint64(size)))
	if q.Method == http.MethodGet {
		if size%2 == 0 { // every other without a length
			w.Header().Set("Content-Length", parts[2])
		}
		_ = copyPaced(q.Context(), flushWriter{w}, pattern(id), size, b.Pace, rng) // the client sees what is missing
		return
	}
	c := &patternChecker{want: pattern(id)}
	limit := size
	if b.ReadLimit > 0 {
		limit = min(size, b.ReadLimit)
	}
	if err := copyPaced(q.Context(), c, q.Body, limit, b.Pace, rng); errors.Is(err, errBodyMismatch) {
		b.corrupt.Add(1)
	}
	if b.ReadLimit > 0 {
		<-q.Context().Done() // whoever sends it has enough
		return
	}
	if n, _ := io.Copy(io.Discard, q.Body); c.total != size || n > 0 {
		return // it broke off
	}
	n, _ := b.completed.LoadOrStore(id, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	io.WriteString(w, id)
}

// flushWriter writes each piece through.
type flushWriter struct{ w http.ResponseWriter }

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	f.w.(http.Flusher).Flush()
	return n, err
}

// StreamingRequest is one request of a client with a long body or a long answer.
type StreamingRequest struct {
	Addr, Class, ID string
	Upload          bool
	Chunked         bool // of an upload
	Size            int64
	Pace            Pace
	Timeout         time.Duration // of the request, from its last byte on
	ClientTimeout   time.Duration // of the client, for all of it
	Seed            uint64
}

// StreamingResult is what came of it.
type StreamingResult struct {
	Status   int // 0: none
	Complete bool
	Err      error // why it is not whole
	Duration time.Duration
}

// SendStreaming sends it and reads the answer at its pace.
func SendStreaming(ctx context.Context, a StreamingRequest) (got StreamingResult) {
	began := time.Now()
	defer func() { got.Duration = time.Since(began) }()
	c, err := net.DialTimeout("tcp", a.Addr, 5*time.Second)
	if err != nil {
		return StreamingResult{Err: err}
	}
	defer c.Close()
	c.SetDeadline(began.Add(a.ClientTimeout))
	rng := rand.New(rand.NewPCG(a.Seed, 3))
	method, more := http.MethodGet, ""
	if a.Upload {
		method, more = http.MethodPost, fmt.Sprintf("Content-Length: %d\r\n", a.Size)
		if a.Chunked {
			more = "Transfer-Encoding: chunked\r\n"
		}
	}
	if _, err = fmt.Fprintf(c, "%s /%s/%d/%s HTTP/1.1\r\nHost: farm.example.org\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n",
		method, a.Class, a.Size, a.ID, a.ID, a.Timeout.Milliseconds(), more); err != nil {
		return StreamingResult{Err: err}
	}
	sent := make(chan error, 1)
	if a.Upload {
		go func() {
			var w io.Writer = c
			if a.Chunked {
				w = chunkWriter{c}
			}
			err := copyPaced(ctx, w, pattern(a.ID), a.Size, a.Pace, rng)
			if err == nil && a.Chunked {
				_, err = io.WriteString(c, "0\r\n\r\n")
			}
			sent <- err
		}()
		defer func() {
			c.Close()
			if err := <-sent; err != nil {
				return // the response has told what became of the request
			}
		}()
	}
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return StreamingResult{Err: err}
	}
	got.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return got
	}
	if a.Upload {
		text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		got.Complete, got.Err = err == nil && string(text) == a.ID, err
		return got
	}
	check := &patternChecker{want: pattern(a.ID)}
	err = copyPaced(ctx, check, resp.Body, a.Size, a.Pace, rng)
	if err == nil {
		var n int64
		if n, err = io.Copy(io.Discard, resp.Body); n > 0 {
			err = errBodyMismatch
		}
	}
	got.Complete, got.Err = err == nil, err
	return got
}

// chunkWriter writes each piece as a chunk.
type chunkWriter struct{ w io.Writer }

func (c chunkWriter) Write(p []byte) (int, error) {
	if _, err := fmt.Fprintf(c.w, "%x\r\n%s\r\n", len(p), p); err != nil {
		return 0, err
	}
	return len(p), nil
}
