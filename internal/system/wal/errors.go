package wal

import (
	"io"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Kinds of errors of a Disk; test with errors.Is of cockroachdb/errors, which sees marks.
var (
	// ErrFull: no room. The log holds what it held; the call works again once there is room.
	ErrFull = errors.New("disk full")
	// ErrDamaged: what the disk holds contradicts itself elsewhere than at its torn end. Put it aside and start
	// under a new identity.
	ErrDamaged = errors.New("log damaged")
	// ErrSuperseded: another process has opened the log since. End this one; what it holds that was not acknowledged may or may
	// not be in the log of the other.
	ErrSuperseded = errors.New("log superseded")
	// ErrMisuse: the call cannot be done on this log (a gap in the numbers, a cut below the snapshot, before Load).
	ErrMisuse = errors.New("wrong use of the log")
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

// diskError says what failed, and marks it where there was no room.
func diskError(err error, what string) error {
	if err == nil {
		return nil
	}
	err = errors.Wrap(err, what)
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, io.ErrShortWrite) {
		return errors.Mark(errors.WithMessage(err, "disk full: make room"), ErrFull)
	}
	return err
}
