// Package sealed is files that outlive a process: with a form, a checksum and a length, written whole or not at all. What is
// torn, foreign or of a later form is told from what is sound, and can be set aside.
package sealed

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// Kind is what a file holds. A reader of form R reads every file that needs R or less: later writers may add to the body
// what an earlier reader can pass over.
type Kind struct {
	Magic            string // a word without spaces
	FormatVersion    int    // that is written, and read
	MinReaderVersion int    // the least form that reads what is written
}

// ErrCorrupt is a file that is torn, truncated, foreign, or of a form that this program does not read.
var ErrCorrupt = errors.New("unsound")

// ErrNewerFormat is an unsound file that a later program can read.
var ErrNewerFormat = fmt.Errorf("%w: of a later form", ErrCorrupt)

const maxHeaderBytes = 200

// Seal is a body behind a line with its kind, checksum and length.
func (k Kind) Seal(body []byte) []byte {
	head := fmt.Sprintf("%s %d %d %016x %d\n", k.Magic, k.FormatVersion, k.MinReaderVersion, xxhash.Sum64(body), len(body))
	return append([]byte(head), body...)
}

// Open is the body of what Seal made. Errors wrap ErrCorrupt.
func (k Kind) Open(text []byte) ([]byte, error) {
	head, body, found := bytes.Cut(text, []byte("\n"))
	var word string
	var form, needs, size int
	var sum uint64
	if len(head) > maxHeaderBytes {
		head = head[:maxHeaderBytes]
	}
	if _, err := fmt.Sscanf(string(head), "%s %d %d %x %d", &word, &form, &needs, &sum, &size); err != nil || !found || word != k.Magic {
		return nil, fmt.Errorf("%w: it does not begin as a %s", ErrCorrupt, k.Magic)
	}
	switch {
	case needs > k.FormatVersion:
		return nil, fmt.Errorf("%w: it needs a program that reads form %d, this one reads %d", ErrNewerFormat, needs, k.FormatVersion)
	case len(body) != size:
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrCorrupt, len(body), size)
	case xxhash.Sum64(body) != sum:
		return nil, fmt.Errorf("%w: the checksum differs", ErrCorrupt)
	}
	return body, nil
}

// ReadFile is a file of at most so many bytes. Danger: a foreign one may have any size. Errors wrap ErrCorrupt where it has more.
func ReadFile(path string, most int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > most {
		return nil, fmt.Errorf("%w: %s has %d bytes", ErrCorrupt, path, info.Size())
	}
	return os.ReadFile(path)
}

// WriteFile replaces a file by a whole new one: after a crash there is the old one or the new one.
func WriteFile(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return nil
}

// Quarantine renames an unsound file or folder, so that it can be looked at, and returns its new name. One that was set aside
// before is replaced.
func Quarantine(path string) (string, error) {
	aside := path + ".unsound"
	if err := os.RemoveAll(aside); err != nil {
		return "", err
	}
	return aside, os.Rename(path, aside)
}
