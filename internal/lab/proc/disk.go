package proc

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// The disk faults of a process, as steps of a plan name them.
const (
	DiskFull     = "full"     // no file can grow
	DiskReadOnly = "readonly" // nothing in its folder can be created, renamed or removed
)

// SetDiskFault injects a disk fault, DiskFull or DiskReadOnly, or ends it ("").
func (p *Process) SetDiskFault(mode string) error {
	maxFileBytes := uint64(unix.RLIM_INFINITY)
	if mode == DiskFull {
		// The limit fails writes with EFBIG, where a full disk fails them with ENOSPC.
		maxFileBytes = 0
	}
	limit := unix.Rlimit{Cur: maxFileBytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(p.Pid(), unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("%s: file size limit: %w", p.Name, err)
	}
	return SetReadOnly(p.Folder, mode == DiskReadOnly)
}

const immutableFlag = 0x10 // FS_IMMUTABLE_FL of linux/fs.h

// SetReadOnly makes a folder read-only or writable again. Permissions do not bind the superuser: for him the folder gets the
// immutable attribute (chattr(1)), which not every file system supports; it fails there.
func SetReadOnly(folder string, readOnly bool) error {
	if os.Geteuid() != 0 {
		mode := os.FileMode(0o700)
		if readOnly {
			mode = 0o500
		}
		return os.Chmod(folder, mode)
	}
	directory, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // it was only read
	flags, err := unix.IoctlGetInt(int(directory.Fd()), unix.FS_IOC_GETFLAGS)
	if err != nil {
		return fmt.Errorf("read-only folder: %w", err)
	}
	wanted := flags &^ immutableFlag
	if readOnly {
		wanted |= immutableFlag
	}
	if wanted == flags {
		return nil
	}
	if err := unix.IoctlSetPointerInt(int(directory.Fd()), unix.FS_IOC_SETFLAGS, wanted); err != nil {
		return fmt.Errorf("read-only folder: %w", err)
	}
	return nil
}

// CheckReadOnly returns why no folder under root can be made read-only; nil: it can.
func CheckReadOnly(root string) error {
	probe := filepath.Join(root, "readonly")
	if err := os.Mkdir(probe, 0o700); err != nil {
		return err
	}
	if err := SetReadOnly(probe, true); err != nil {
		return errors.Join(err, os.Remove(probe))
	}
	return errors.Join(SetReadOnly(probe, false), os.Remove(probe))
}
