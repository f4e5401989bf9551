//go:build !race

package ridge

// raceDetector tells that everything takes several times as long.
const raceDetector = false
