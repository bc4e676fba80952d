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
	Rate  int // bytes a second; 0: as fast as it goes
	Piece int // bytes, above 0
}

// pauses between pieces are no shorter, so that fast peers do not wait for the timer.
const leastPacePause = 2 * time.Millisecond

// copyPaced copies n bytes at a pace.
func copyPaced(ctx context.Context, w io.Writer, r io.Reader, n int64, p Pace, rng *rand.Rand) error {
	began, done := time.Now(), int64(0)
	buffer := make([]byte, p.Piece)
	for done < n {
		piece := min(n-done, int64(1+rng.IntN(p.Piece)))
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
		if p.Rate > 0 {
			due := time.Duration(float64(done) / float64(p.Rate) * float64(time.Second))
			if wait := due - time.Since(began); wait > leastPacePause {
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

// checker is an io.Writer that takes the bytes of a pattern and no others.
type checker struct {
	want  io.Reader
	total int64
}

var errOther = errors.New("other bytes than were sent")

func (c *checker) Write(p []byte) (int, error) {
	want := make([]byte, len(p))
	if _, err := io.ReadFull(c.want, want); err != nil {
		return 0, err
	}
	if !bytes.Equal(p, want) {
		return 0, errOther
	}
	c.total += int64(len(p))
	return len(p), nil
}

// LongBox is a stand-in for a server with long answers and bodies: GET /CLASS/SIZE/ID is answered with SIZE bytes that belong to
// the request, and the body of POST /CLASS/SIZE/ID must be those.
type LongBox struct {
	Pace Pace
	// Stops makes it read no further than that of a body; 0: it reads on.
	Stops int64

	seed   uint64
	server *http.Server
	addr   string
	ended  chan struct{}
	runs   sync.Map // *atomic.Int64 by id: bodies that came whole and right
	wrong  atomic.Int64
}

// StartLongBox starts one.
func StartLongBox(p Pace, stops int64, seed uint64) (*LongBox, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &LongBox{Pace: p, Stops: stops, seed: seed, addr: ln.Addr().String(), ended: make(chan struct{})}
	b.server = &http.Server{Handler: b}
	go func() {
		defer close(b.ended)
		b.server.Serve(ln)
	}()
	return b, nil
}

// Addr is where it listens.
func (b *LongBox) Addr() string { return b.addr }

// Wrong is how many bodies came otherwise than they were sent.
func (b *LongBox) Wrong() int64 { return b.wrong.Load() }

// Runs is how often the body of that request came whole.
func (b *LongBox) Runs(id string) int64 {
	if n, ok := b.runs.Load(id); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// Close ends it and all its connections.
func (b *LongBox) Close() {
	b.server.Close()
	<-b.ended
}

// ServeHTTP is the method of http.Handler.
func (b *LongBox) ServeHTTP(w http.ResponseWriter, q *http.Request) {
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
		_ = copyPaced(q.Context(), flushing{w}, pattern(id), size, b.Pace, rng) // the client sees what is missing
		return
	}
	c := &checker{want: pattern(id)}
	limit := size
	if b.Stops > 0 {
		limit = min(size, b.Stops)
	}
	if err := copyPaced(q.Context(), c, q.Body, limit, b.Pace, rng); errors.Is(err, errOther) {
		b.wrong.Add(1)
	}
	if b.Stops > 0 {
		<-q.Context().Done() // whoever sends it has enough
		return
	}
	if n, _ := io.Copy(io.Discard, q.Body); c.total != size || n > 0 {
		return // it broke off
	}
	n, _ := b.runs.LoadOrStore(id, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	io.WriteString(w, id)
}

// flushing writes each piece through.
type flushing struct{ w http.ResponseWriter }

func (f flushing) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	f.w.(http.Flusher).Flush()
	return n, err
}

// LongAsk is one request of a client with a long body or a long answer.
type LongAsk struct {
	Addr, Class, ID string
	Upload          bool
	Chunked         bool // of an upload
	Size            int64
	Pace            Pace
	Timeout         time.Duration // of the request, from its last byte on
	Patience        time.Duration // of the client, for all of it
	Seed            uint64
}

// LongAnswer is what came of it.
type LongAnswer struct {
	Status int // 0: none
	Whole  bool
	Err    error // why it is not whole
	Took   time.Duration
}

// AskLong sends it and reads the answer at its pace.
func AskLong(ctx context.Context, a LongAsk) (got LongAnswer) {
	began := time.Now()
	defer func() { got.Took = time.Since(began) }()
	c, err := net.DialTimeout("tcp", a.Addr, 5*time.Second)
	if err != nil {
		return LongAnswer{Err: err}
	}
	defer c.Close()
	c.SetDeadline(began.Add(a.Patience))
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
		return LongAnswer{Err: err}
	}
	sent := make(chan error, 1)
	if a.Upload {
		go func() {
			var w io.Writer = c
			if a.Chunked {
				w = chunks{c}
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
		return LongAnswer{Err: err}
	}
	got.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return got
	}
	if a.Upload {
		text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		got.Whole, got.Err = err == nil && string(text) == a.ID, err
		return got
	}
	check := &checker{want: pattern(a.ID)}
	err = copyPaced(ctx, check, resp.Body, a.Size, a.Pace, rng)
	if err == nil {
		var n int64
		if n, err = io.Copy(io.Discard, resp.Body); n > 0 {
			err = errOther
		}
	}
	got.Whole, got.Err = err == nil, err
	return got
}

// chunks writes each piece as a chunk.
type chunks struct{ w io.Writer }

func (c chunks) Write(p []byte) (int, error) {
	if _, err := fmt.Fprintf(c.w, "%x\r\n%s\r\n", len(p), p); err != nil {
		return 0, err
	}
	return len(p), nil
}
