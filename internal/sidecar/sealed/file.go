// Package sealed reads and writes files that outlive a process and may be damaged or written by another version of the program. A sealed file is a
// header line with its kind, format version, checksum (xxhash64) and length, and a body. It is replaced atomically; a file that is
// truncated, changed, foreign or of a newer format is recognized, and can be quarantined.
package sealed

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// Kind is what a file holds. A reader of version R reads every file whose MinReaderVersion is R or less: a later version of the program may add to the
// body what an earlier one can ignore, and raises MinReaderVersion only where the earlier one would lose what matters.
type Kind struct {
	Magic            string // a word without spaces, at the beginning of the file
	FormatVersion    int    // the version that this program writes, and reads
	MinReaderVersion int    // the lowest version that reads what this program writes
}

// ErrCorrupt is wrapped where a file is truncated, changed, foreign or of a format that this program does not read.
var ErrCorrupt = errors.New("unsound")

// ErrNewerFormat is the ErrCorrupt of a file that a later version of the program can read.
var ErrNewerFormat = fmt.Errorf("%w: of a later form", ErrCorrupt)

const maxHeaderBytes = 200 // that are parsed; a sealed file's header is shorter

// header is the first line of a sealed file.
type header struct {
	magic            string
	formatVersion    int
	minReaderVersion int
	checksum         uint64
	length           int // of the body
}

func parseHeader(line []byte) (header, error) {
	line = line[:min(len(line), maxHeaderBytes)]
	var h header
	_, err := fmt.Sscanf(string(line), "%s %d %d %x %d", &h.magic, &h.formatVersion, &h.minReaderVersion, &h.checksum, &h.length)
	return h, err
}

// Seal returns the content of a file with a body.
func (k Kind) Seal(body []byte) []byte {
	line := fmt.Sprintf("%s %d %d %016x %d\n", k.Magic, k.FormatVersion, k.MinReaderVersion, xxhash.Sum64(body), len(body))
	return append([]byte(line), body...)
}

// Open returns the body of what Seal returned. Errors wrap ErrCorrupt.
func (k Kind) Open(content []byte) ([]byte, error) {
	line, body, found := bytes.Cut(content, []byte("\n"))
	h, err := parseHeader(line)
	switch {
	case err != nil || !found || h.magic != k.Magic:
		return nil, fmt.Errorf("%w: it does not begin as a %s", ErrCorrupt, k.Magic)
	case h.minReaderVersion > k.FormatVersion:
		return nil, fmt.Errorf("%w: it needs a program that reads form %d, this one reads %d", ErrNewerFormat, h.minReaderVersion, k.FormatVersion)
	case len(body) != h.length:
		return nil, fmt.Errorf("%w: %d bytes of %d", ErrCorrupt, len(body), h.length)
	case xxhash.Sum64(body) != h.checksum:
		return nil, fmt.Errorf("%w: the checksum differs", ErrCorrupt)
	}
	return body, nil
}

// ReadFile reads a file of at most maxBytes, since a foreign one may have any size. Errors wrap ErrCorrupt where it has more, or are those of os.
func ReadFile(path string, maxBytes int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxBytes {
		return nil, fmt.Errorf("%w: %s has %d bytes", ErrCorrupt, path, info.Size())
	}
	return os.ReadFile(path)
}

// WriteFile replaces a file atomically: after a crash there is the old one or the new one.
func WriteFile(path string, content []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	err = errors.Join(err, file.Close())
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(file.Name()))
	}
	return nil
}

const quarantineSuffix = ".unsound"

// Quarantine renames a corrupt file or folder, so that it can be examined, and returns its new name. An earlier one of that name is deleted.
func Quarantine(path string) (string, error) {
	quarantined := path + quarantineSuffix
	if err := os.RemoveAll(quarantined); err != nil {
		return "", err
	}
	return quarantined, os.Rename(path, quarantined)
}
