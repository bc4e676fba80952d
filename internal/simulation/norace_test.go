//go:build !race

package simulation

// raceEnabled says whether the race detector is on.
const raceEnabled = false
