package replication

import (
	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// State is a state of the replicated state machine. It is deterministic and immutable.
type State interface {
	// Check decides on a change in this state.
	Check(change controlstate.Change) controlstate.Verdict
	// Apply returns the state after a record. An error means that the record cannot follow this state, and ends the node's
	// participation.
	Apply(rec controlstate.Record) (State, error)
	// Encode returns the bytes that Machine.Decode reads.
	Encode() []byte
}

// Machine creates states.
type Machine interface {
	// Empty returns the state before the first record.
	Empty() State
	// Decode reads what State.Encode has written.
	Decode(data []byte) (State, error)
}

// controlMachine adapts the states of controlstate to the core.
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
