//go:build !race

package replication

// raceDetector tells that everything takes several times as long.
const raceDetector = false
