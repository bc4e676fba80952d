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

// Pace is how a peer reads or writes a long body: in pieces of a random size, at a limited rate.
type Pace struct {
	BytesPerSecond int // 0: no limit
	MaxChunk       int // bytes of a piece, above 0
}

// minPacePause is the shortest pause between pieces, so that fast peers do not wait for the timer.
const minPacePause = 2 * time.Millisecond

// errBodyMismatch tells of a body with other bytes than the pattern of its request.
var errBodyMismatch = errors.New("other bytes than were sent")

// copyPaced copies n bytes at a pace. It returns the error of the reader or writer, or that of ctx if it ends first.
func copyPaced(ctx context.Context, w io.Writer, r io.Reader, n int64, pace Pace, rng *rand.Rand) error {
	began, done := time.Now(), int64(0)
	buffer := make([]byte, pace.MaxChunk)
	for done < n {
		size := min(n-done, int64(1+rng.IntN(pace.MaxChunk)))
		k, err := io.ReadFull(r, buffer[:size])
		if k > 0 {
			if _, writeErr := w.Write(buffer[:k]); writeErr != nil {
				return writeErr
			}
			done += int64(k)
		}
		if err != nil {
			return err
		}
		if err := pace.wait(ctx, began, done); err != nil {
			return err
		}
	}
	return nil
}

// wait returns once done bytes may have passed since began.
func (p Pace) wait(ctx context.Context, began time.Time, done int64) error {
	if p.BytesPerSecond <= 0 {
		return nil
	}
	due := time.Duration(float64(done) / float64(p.BytesPerSecond) * float64(time.Second))
	pause := due - time.Since(began)
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

// pattern returns the bytes of a request's body. No two requests have the same, so that no part can pass for another's.
func pattern(id string) io.Reader {
	hash := fnv.New64a()
	io.WriteString(hash, id)
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(hash.Sum64()>>(i%8*8)) + byte(i)
	}
	return rand.NewChaCha8(seed)
}

// patternChecker is an io.Writer that accepts the bytes of a pattern and fails with errBodyMismatch on others.
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
