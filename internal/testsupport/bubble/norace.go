//go:build !race

package bubble

// raceDetector says whether the race detector is built in.
const raceDetector = false
