package fake

import (
	"bytes"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"
)

// Pace is how a client or backend reads or writes a long body: in chunks of random size, at a limited rate.
type Pace struct {
	BytesPerSecond int // 0: no limit
	MaxChunk       int // largest chunk in bytes; must be above 0
}

// minPacePause is the shortest pause between chunks. Shorter pauses are skipped, so that fast transfers do not wait for the
// timer.
const minPacePause = 2 * time.Millisecond

// errBodyMismatch reports a body that differs from the pattern of its request.
var errBodyMismatch = errors.New("other bytes than were sent")

// copyPaced copies n bytes from r to w at a pace. It returns the error of the reader or writer, or that of ctx if ctx ends
// during a pause.
func copyPaced(ctx context.Context, w io.Writer, r io.Reader, n int64, pace Pace, rng *rand.Rand) error {
	start, copied := time.Now(), int64(0)
	buffer := make([]byte, pace.MaxChunk)
	for copied < n {
		size := min(n-copied, int64(1+rng.IntN(pace.MaxChunk)))
		read, err := io.ReadFull(r, buffer[:size])
		if read > 0 {
			if _, writeErr := w.Write(buffer[:read]); writeErr != nil {
				return writeErr
			}
			copied += int64(read)
		}
		if err != nil {
			return err
		}
		if err := pace.wait(ctx, start, copied); err != nil {
			return err
		}
	}
	return nil
}

// wait blocks until the pace allows a total of copied bytes since start. It returns the error of ctx if ctx ends first.
func (p Pace) wait(ctx context.Context, start time.Time, copied int64) error {
	if p.BytesPerSecond <= 0 {
		return nil
	}
	due := time.Duration(float64(copied) / float64(p.BytesPerSecond) * float64(time.Second))
	pause := due - time.Since(start)
	if pause <= minPacePause {
		return nil
	}
	select {
	case <-time.After(pause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pattern returns the bytes of the body of a request. Each request has a different pattern, so that no part of a body can be
// mistaken for a part of another body.
func pattern(id string) io.Reader {
	hash := fnv.New64a()
	io.WriteString(hash, id)
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(hash.Sum64()>>(i%8*8)) + byte(i)
	}
	return rand.NewChaCha8(seed)
}

// patternChecker is an io.Writer that accepts the bytes of a pattern. It fails with errBodyMismatch on other bytes.
type patternChecker struct {
	want  io.Reader
	total int64 // bytes accepted
}

// Write compares p with the next bytes of the pattern.
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
