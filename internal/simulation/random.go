package simulation

import (
	"crypto/rand"
	"io"
	mathrand "math/rand/v2"
)

// seedRaft makes raft draw its election timeouts from a stream of the seed. Raft draws them from crypto/rand, so seedRaft replaces
// crypto/rand.Reader, which the whole operating-system process shares. restore sets the original reader again.
func seedRaft(seed uint64) (restore func()) {
	original := rand.Reader
	rand.Reader = seededReader{randomStream(seed, raftStream)}
	return func() { rand.Reader = original }
}

// seededReader returns bytes from a random source. Its Read never fails.
type seededReader struct{ source *mathrand.Rand }

var _ io.Reader = seededReader{}

// Read implements io.Reader. It fills b and never returns an error.
func (r seededReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.source.Uint32())
	}
	return len(b), nil
}
