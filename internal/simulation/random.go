package simulation

import (
	"crypto/rand"
	"io"
	mathrand "math/rand/v2"
)

// seedRaft makes raft draw its election timeouts from the seed instead of crypto/rand, whose reader is a variable of the whole process.
// restore undoes it.
func seedRaft(seed uint64) (restore func()) {
	original := rand.Reader
	rand.Reader = seededReader{random(seed, raftStream)}
	return func() { rand.Reader = original }
}

// seededReader reads the draws of a random source. It never fails.
type seededReader struct{ source *mathrand.Rand }

var _ io.Reader = seededReader{}

func (r seededReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.source.Uint32())
	}
	return len(b), nil
}
