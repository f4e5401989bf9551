package proc

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// SetDiskState makes the process's folder full ("full"), read-only ("readonly"), or as it was ("").
func (p *Process) SetDiskState(mode string) error {
	maxFileBytes := uint64(unix.RLIM_INFINITY)
	if mode == "full" {
		// No file of the process can grow. A disk that is full says so with another word (ENOSPC, not EFBIG).
		maxFileBytes = 0
	}
	limit := unix.Rlimit{Cur: maxFileBytes, Max: unix.RLIM_INFINITY}
	if err := unix.Prlimit(p.Pid(), unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("%s: file size limit: %w", p.Name, err)
	}
	return SetReadOnly(p.Folder, mode == "readonly")
}

const immutableFlag = 0x10 // FS_IMMUTABLE_FL of linux/fs.h

// SetReadOnly decides whether files can be made, renamed and removed in a folder. Rights do not bind the superuser: for it the folder is
// marked immutable (chattr(1)), which not every file system knows.
func SetReadOnly(folder string, readOnly bool) error {
	if os.Geteuid() != 0 {
		mode := os.FileMode(0o700)
		if readOnly {
			mode = 0o500
		}
		return os.Chmod(folder, mode)
	}
	folderFile, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = folderFile.Close() }() // nothing was written
	flags, err := unix.IoctlGetInt(int(folderFile.Fd()), unix.FS_IOC_GETFLAGS)
	if err != nil {
		return fmt.Errorf("read-only folder: %w", err)
	}
	want := flags &^ immutableFlag
	if readOnly {
		want |= immutableFlag
	}
	if want == flags {
		return nil
	}
	if err := unix.IoctlSetPointerInt(int(folderFile.Fd()), unix.FS_IOC_SETFLAGS, want); err != nil {
		return fmt.Errorf("read-only folder: %w", err)
	}
	return nil
}

// CanReadOnly returns why no folder under root can be made read-only; nil: it can.
func CanReadOnly(root string) error {
	probe := filepath.Join(root, "readonly")
	if err := os.Mkdir(probe, 0o700); err != nil {
		return err
	}
	if err := SetReadOnly(probe, true); err != nil {
		return errors.Join(err, os.Remove(probe))
	}
	return errors.Join(SetReadOnly(probe, false), os.Remove(probe))
}
