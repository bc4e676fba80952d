// Command simadapter runs instances of the policy for the simulator. It implements the simulator's line protocol on standard input and
// output. It exits with status 1 on malformed input.
package main

import (
	"fmt"
	"os"

	"sorrelrudder/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
