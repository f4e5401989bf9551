package sealed

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
)

// Cell is a sealed file with one value, as JSON.
type Cell[T any] struct {
	Path     string // "": nothing is stored
	Kind     Kind
	MaxBytes int64         // of the file, above 0; a longer one is corrupt
	Check    func(T) error // returns an error for an invalid value; nil: every value is valid
}

// Read returns the value, and leaves the file as it is. Errors wrap ErrCorrupt, fs.ErrNotExist where there is no file, or are those of os.
func (c Cell[T]) Read() (T, error) {
	var none T
	content, err := ReadFile(c.Path, c.MaxBytes)
	if err != nil {
		return none, err
	}
	body, err := c.Kind.Open(content)
	if err != nil {
		return none, err
	}
	var value T
	if err := json.Unmarshal(body, &value); err != nil {
		return none, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if c.Check != nil {
		if err := c.Check(value); err != nil {
			return none, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
	}
	return value, nil
}

// Load returns the value, and whether there is one, and quarantines a corrupt file. An error is that of such a file, or of one that cannot be read,
// which stays.
func (c Cell[T]) Load() (value T, found bool, err error) {
	if c.Path == "" {
		return value, false, nil
	}
	value, err = c.Read()
	switch {
	case err == nil:
		return value, true, nil
	case errors.Is(err, fs.ErrNotExist):
		return value, false, nil
	case !errors.Is(err, ErrCorrupt):
		return value, false, err
	}
	quarantined, renameErr := Quarantine(c.Path)
	if renameErr != nil {
		return value, false, errors.Join(err, renameErr)
	}
	return value, false, fmt.Errorf("%w; set aside as %s", err, quarantined)
}

// Save replaces the value atomically.
func (c Cell[T]) Save(value T) error {
	if c.Path == "" {
		return nil
	}
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return WriteFile(c.Path, c.Kind.Seal(body))
}
