package admin

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// Backup fetches the control state from the node with the control address. It contains all changes that were acknowledged before the
// call. Errors are marked ErrUnreachable or ErrFormat.
func (c *Client) Backup(ctx context.Context, address string) (*controlstate.State, error) {
	ctx, cancel := context.WithTimeout(ctx, backupTimeout)
	defer cancel()
	data, err := c.get(ctx, address, backupPath, maxBackupBytes)
	if err != nil {
		return nil, err
	}
	return decodeState(data, "the answer of "+address)
}

// WriteBackup writes a backup to a new file atomically: afterwards the file is complete and synced, or does not exist. It does not
// replace an existing file.
func WriteBackup(file string, data []byte) error {
	if _, err := os.Lstat(file); err == nil {
		return errors.Newf("%s already exists: choose another file name", file)
	}
	directory := filepath.Dir(file)
	temporary, err := os.CreateTemp(directory, ".backup-*")
	if err != nil {
		return errors.Wrapf(err, "cannot create a file in %s: choose a writable directory", directory)
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	err = writeSynced(temporary, data)
	if err == nil {
		err = os.Link(temporary.Name(), file) // unlike a rename, a link never replaces a file
	}
	if err == nil {
		err = syncDirectory(directory)
	}
	return errors.Wrapf(err, "cannot write %s: check the free space and the permissions there", file)
}

// writeSynced writes data to a new file, syncs the file and closes it.
func writeSynced(file *os.File, data []byte) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.CombineErrors(err, file.Close())
}

// syncDirectory makes the entries of a directory durable.
func syncDirectory(directory string) error {
	opened, err := os.Open(directory)
	if err != nil {
		return err
	}
	return errors.CombineErrors(opened.Sync(), opened.Close())
}

// ReadBackup reads a file that WriteBackup wrote. Errors about its content are marked ErrFormat.
func ReadBackup(file string) (*controlstate.State, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read the backup: check its name and permissions")
	}
	return decodeState(data, file)
}

// decodeState decodes a backup; source names its origin in errors, which are marked ErrFormat.
func decodeState(data []byte, source string) (*controlstate.State, error) {
	s, err := controlstate.Decode(data)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s is not a backup of a control state", source), ErrFormat)
	}
	return s, nil
}
