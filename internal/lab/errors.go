package lab

import (
	"errors"
	"fmt"
	"time"
)

// The errors of Run, StartFleet and Fleet.Err that have no details. Errors that wrap them name the process or the folder.
var (
	ErrProcessEnded      = errors.New("the process is gone")         // a stand-in that was given an order
	ErrNoAcknowledgement = errors.New("no acknowledgement")          // of an order, within its time-out
	ErrNoLeader          = errors.New("no registry node leads")      // within leaderTimeout
	ErrKilled            = errors.New("had to be killed at the end") // a process that did not shut down within terminationTimeout
	ErrNotRemoved        = errors.New("could not be removed")        // the folder of an experiment
)

// StartError says that a process did not become ready. Its log says why.
type StartError struct {
	Process string // its name
	Failure string // what was seen of it, as the end of a sentence
}

// Error implements error.
func (e *StartError) Error() string { return e.Process + " " + e.Failure + ": see its log" }

// OrderError says that a stand-in could not do what an order says.
type OrderError struct {
	Process string // the stand-in's name
	Reason  string // its own words
}

// Error implements error.
func (e *OrderError) Error() string { return e.Process + ": " + e.Reason }

// RegistrationError says that too few servers registered before the load.
type RegistrationError struct {
	Registered, Expected int
	Within               time.Duration
}

// Error implements error.
func (e *RegistrationError) Error() string {
	return fmt.Sprintf("%d of %d servers registered within %v", e.Registered, e.Expected, e.Within)
}

// SettingError says that a file gives a setting of a sidecar's configuration that the lab sets itself.
type SettingError struct {
	Sidecar string // its name
	Setting string // its name on the wire
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("configuration of %s: the lab sets %s itself", e.Sidecar, e.Setting)
}

// RunCountError says that two experiments cannot be compared, as one has no run or as their numbers of runs differ.
type RunCountError struct {
	A, B int // number of runs
}

// Error implements error.
func (e *RunCountError) Error() string {
	return fmt.Sprintf("%d runs cannot be held against %d", e.A, e.B)
}

// UnknownRequestError says that the records of an experiment have no request of an id.
type UnknownRequestError struct {
	Folder string // of the report
	ID     string
}

// Error implements error.
func (e *UnknownRequestError) Error() string { return fmt.Sprintf("%s: no request %q", e.Folder, e.ID) }
