package controlstate

import "github.com/cockroachdb/errors"

// Kinds of errors of Apply and Decode. Test for them with errors.Is of github.com/cockroachdb/errors: they are attached as marks.
var (
	// ErrOutOfOrder reports a record that is not the next one. The sender must send the records in between, or a snapshot.
	ErrOutOfOrder = errors.New("record out of order")
	// ErrRefused reports a record that cannot be applied to the state, so it cannot have been accepted by Check on this state.
	ErrRefused = errors.New("record refused")
	// ErrCorrupt reports bytes that are not a complete encoding of a state. The caller must fetch them again.
	ErrCorrupt = errors.New("corrupt encoding")
)

func refusedError(r Record, reason string) error {
	return errors.Mark(errors.Newf("record %d cannot be applied: %s; fetch a snapshot from another replica", r.Seq, reason), ErrRefused)
}

func corruptError() error {
	return errors.Mark(errors.New("the bytes are not a complete encoding of a state: fetch the state again"), ErrCorrupt)
}
