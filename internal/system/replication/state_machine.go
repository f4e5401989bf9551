package replication

import (
	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// State is a state of the replicated state machine. It is deterministic, and a value that is never changed once made.
type State interface {
	// Check decides on a change by this state.
	Check(change controlstate.Change) controlstate.Verdict
	// Apply returns the state after a record. An error means that the record cannot follow this state, and ends the node's part.
	Apply(rec controlstate.Record) (State, error)
	// Encode returns the bytes that Machine.Decode reads.
	Encode() []byte
}

// Machine makes states.
type Machine interface {
	// Empty is the state before the first record.
	Empty() State
	// Decode reads what State.Encode has written.
	Decode(data []byte) (State, error)
}

// controlMachine fits controlstate's states to the core.
type controlMachine struct{}

type controlState struct{ *controlstate.State }

func (controlMachine) Empty() State { return controlState{controlstate.Empty()} }

func (controlMachine) Decode(data []byte) (State, error) {
	s, err := controlstate.Decode(data)
	return controlState{s}, err
}

func (s controlState) Apply(rec controlstate.Record) (State, error) {
	next, err := s.State.Apply(rec)
	return controlState{next}, err
}
