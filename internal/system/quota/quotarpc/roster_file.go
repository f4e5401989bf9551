package quotarpc

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const (
	rosterName          = "allocator.json"
	rosterVersion       = 1
	rosterTemporaryName = rosterName + ".tmp"
	// rosterFolderMode and rosterFileMode allow access only to the user that runs the process.
	rosterFolderMode = 0o700
	rosterFileMode   = 0o600
)

// ErrRosterDamaged marks a stored roster that cannot be read.
var ErrRosterDamaged = errors.New("quota: the stored roster is damaged; it will be rewritten")

// RosterFile is a RosterStore in a folder of its own. Only one process may use it at a time.
type RosterFile struct{ folder string }

// NewRosterFile returns a store in the given folder, which the first Save creates.
func NewRosterFile(folder string) *RosterFile { return &RosterFile{folder: folder} }

// rosterDocument is the content of the roster file.
type rosterDocument struct {
	Version  int      `json:"version"`
	Identity string   `json:"identity"`
	Epoch    uint64   `json:"epoch"`
	Nodes    []string `json:"nodes"`
}

// Load implements RosterStore. The error is ErrRosterDamaged if the file is not a valid document of this version.
func (f *RosterFile) Load() (Roster, bool, error) {
	content, err := os.ReadFile(filepath.Join(f.folder, rosterName))
	if errors.Is(err, os.ErrNotExist) {
		return Roster{}, false, nil
	}
	if err != nil {
		return Roster{}, false, err
	}
	var document rosterDocument
	if err := json.Unmarshal(content, &document); err != nil || document.Version != rosterVersion {
		return Roster{}, false, errors.Mark(errors.Newf("cannot decode the roster file (version %d): %v", document.Version, err), ErrRosterDamaged)
	}
	return Roster{Identity: document.Identity, Epoch: document.Epoch, Nodes: document.Nodes}, true, nil
}

// Save implements RosterStore: it writes a temporary file and renames it to replace the previous one.
func (f *RosterFile) Save(roster Roster) error {
	document := rosterDocument{Version: rosterVersion, Identity: roster.Identity, Epoch: roster.Epoch, Nodes: roster.Nodes}
	content, err := json.Marshal(document)
	if err != nil {
		return err
	}
	if err := f.makeFolder(); err != nil {
		return err
	}
	temporary := filepath.Join(f.folder, rosterTemporaryName)
	if err := writeSynced(temporary, content); err != nil {
		return err
	}
	if err := os.Rename(temporary, filepath.Join(f.folder, rosterName)); err != nil {
		return err
	}
	return syncFolder(f.folder)
}

// makeFolder creates the folder durably if it does not exist.
func (f *RosterFile) makeFolder() error {
	if err := os.Mkdir(f.folder, rosterFolderMode); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return syncFolder(filepath.Dir(f.folder))
}

// writeSynced writes a file and makes its content durable.
func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, rosterFileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	return errors.CombineErrors(err, file.Close())
}

// syncFolder makes the directory entries of a folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(folder.Sync(), folder.Close())
}
