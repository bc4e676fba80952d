// Package fixedseed is imported by the tests of a package and gives their properties the same draws at every run, so that CI gives the same
// verdict every time. `go test ./internal/keepalive -rapid.seed=0` draws others.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // its flags must be there
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
