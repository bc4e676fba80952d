//go:build !race

package simulation

// raceEnabled reports whether the test binary was built with the race detector.
const raceEnabled = false
