package wal

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Kinds of errors of a Disk. Test for them with errors.Is of github.com/cockroachdb/errors: they are attached as marks, which the
// standard library does not see.
var (
	// ErrFull reports that the disk is full or that the log has reached its own size bound. Nothing has changed; the call succeeds
	// once there is space. Compact frees the space of the entries that it covers.
	ErrFull = errors.New("disk full")
	// ErrDamaged reports a log that is inconsistent anywhere other than at its torn end. Quarantine it and join under a new identity.
	ErrDamaged = errors.New("log damaged")
	// ErrSuperseded reports that another process has opened the log in the meantime. The caller must end its process; changes that
	// were not acknowledged may or may not be in the log that the other process loaded.
	ErrSuperseded = errors.New("log superseded")
	// ErrMisuse reports a call that this log cannot carry out: a gap in the sequence numbers, a truncation below the snapshot, a
	// change before Load or on a log opened with Options.ReadOnly.
	ErrMisuse = errors.New("invalid use of the log")
)

func damagedError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format+"; quarantine this log and join under a new identity", args...), ErrDamaged)
}

func misuseError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrMisuse)
}

func supersededError() error {
	return errors.Mark(errors.New("another process has opened this log: end one of the two"), ErrSuperseded)
}

// diskError wraps err with the operation that failed, and marks it as ErrFull if the disk had no space left.
func diskError(err error, operation string) error {
	if err == nil {
		return nil
	}
	err = errors.Wrap(err, operation)
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, io.ErrShortWrite) {
		return errors.Mark(errors.WithMessage(err, "disk full: make room"), ErrFull)
	}
	return err
}
