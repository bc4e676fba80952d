// Package fixedseed fixes the seed of the rapid property tests in a test binary that imports it, so that every run in CI gives the same
// result. The flag -rapid.seed overrides the seed: `go test ./internal/keepalive -rapid.seed=0` draws a new one.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
