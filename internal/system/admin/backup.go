package admin

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/system/controlstate"
)

// Backup fetches the control state from the keeper with the control address, as it is after all that was acknowledged before
// the call. Errors are marked ErrUnreachable or ErrFormat.
func (c *Client) Backup(ctx context.Context, address string) (*controlstate.State, error) {
	ctx, cancel := context.WithTimeout(ctx, backupTimeout)
	defer cancel()
	data, err := c.get(ctx, address, backupPath, maxBackupBytes)
	if err != nil {
		return nil, err
	}
	return decodeState(data, "the answer of "+address)
}

// WriteBackup puts a backup into a file, which is there whole and synced, or not at all. A file that is there is not
// replaced.
func WriteBackup(file string, data []byte) (err error) {
	if _, err := os.Lstat(file); err == nil {
		return errors.Newf("%s is there already: name another file", file)
	}
	directory := filepath.Dir(file)
	temporary, err := os.CreateTemp(directory, ".backup-*")
	if err != nil {
		return errors.Wrapf(err, "no file can be made in %s: name a folder that can be written", directory)
	}
	defer func() {
		if err != nil {
			_ = temporary.Close()
		}
		_ = os.Remove(temporary.Name())
	}()
	_, err = temporary.Write(data)
	if err == nil {
		err = temporary.Sync()
	}
	if err == nil {
		err = temporary.Close()
	}
	if err == nil {
		err = os.Link(temporary.Name(), file) // unlike a rename, it replaces nothing
	}
	if err == nil {
		err = syncDirectory(directory)
	}
	return errors.Wrapf(err, "%s cannot be written: check the room and the rights there", file)
}

func syncDirectory(directory string) error {
	directoryFile, err := os.Open(directory)
	if err != nil {
		return err
	}
	return errors.CombineErrors(directoryFile.Sync(), directoryFile.Close())
}

// ReadBackup reads a file that WriteBackup made. Errors of its content are marked ErrFormat.
func ReadBackup(file string) (*controlstate.State, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "the backup cannot be read: check its name and rights")
	}
	return decodeState(data, file)
}

func decodeState(data []byte, what string) (*controlstate.State, error) {
	s, err := controlstate.Decode(data)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s is no backup of a control state", what), ErrFormat)
	}
	return s, nil
}
