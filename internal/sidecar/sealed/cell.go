package sealed

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
)

// Cell is a sealed file with one value, as JSON.
type Cell[T any] struct {
	Path     string // "": nothing is kept
	Kind     Kind
	MaxBytes int64         // bytes of the file that are read, above 0
	Check    func(T) error // whether a value that was read makes sense; nil: each does
}

// Read is the value. It leaves the file as it is. Errors wrap ErrCorrupt where another writer made it, fs.ErrNotExist where there is none,
// or are the reader's.
func (c Cell[T]) Read() (v T, err error) {
	text, err := ReadFile(c.Path, c.MaxBytes)
	if err != nil {
		return v, err
	}
	body, err := c.Kind.Open(text)
	if err != nil {
		return v, err
	}
	if err = json.Unmarshal(body, &v); err == nil && c.Check != nil {
		err = c.Check(v)
	}
	if err != nil {
		var none T
		return none, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return v, nil
}

// Load is the value as the next process takes it up. It tells false where there is none. Errors tell of a file that was unsound, which
// is set aside, or that could not be read, which stays.
func (c Cell[T]) Load() (v T, ok bool, err error) {
	if c.Path == "" {
		return v, false, nil
	}
	switch v, err = c.Read(); {
	case err == nil:
		return v, true, nil
	case errors.Is(err, fs.ErrNotExist):
		return v, false, nil
	case !errors.Is(err, ErrCorrupt):
		return v, false, err
	}
	aside, moved := Quarantine(c.Path)
	if moved != nil {
		return v, false, errors.Join(err, moved)
	}
	return v, false, fmt.Errorf("%w; set aside as %s", err, aside)
}

// Save replaces the value.
func (c Cell[T]) Save(v T) error {
	if c.Path == "" {
		return nil
	}
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return WriteFile(c.Path, c.Kind.Seal(body))
}
