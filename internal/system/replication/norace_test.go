//go:build !race

package replication

// raceDetector reports whether the race detector, which slows tests down several times, is enabled.
const raceDetector = false
