package testcluster

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
)

// ServerSpec says what a stand-in server is. It has either a model (Engine) or none (Plain).
type ServerSpec struct {
	Service, Zone, Region string
	Address               string // IP:0 has the kernel choose a port, which stays for later incarnations
	HealthPath            string
	MaxConns              int           // more connections are reset
	IdleTimeout           time.Duration // after which the server closes a connection; 0: never
	ReportsLoad           bool          // by X-Server-Load
	WarmUp                time.Duration // after a start during traffic
	WarmUpPerSecond       float64       // requests a second that the server bears while it warms up; 0: any number
	WarmUpCrashFactor     float64       // multiple of WarmUpPerSecond above which the server crashes; 0: it does not
	Engine                *engine.Spec  // nil: a server without a model
	Plain                 *PlainSpec
}

// PlainSpec says what a server without a model is.
type PlainSpec struct {
	Slots, Queue int           // requests that run, and that wait, at a time
	Work         time.Duration // of one request in its slot
	AnswerBytes  int           // at least
}

// Slots returns how many requests the server works on at a time.
func (s *ServerSpec) Slots() int {
	if s.Engine != nil {
		return s.Engine.Slots
	}
	return s.Plain.Slots
}
