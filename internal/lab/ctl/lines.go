package ctl

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
)

// Marshal returns a value as a JSON line.
func Marshal(value any) ([]byte, error) {
	line, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("line: %w", err)
	}
	return append(line, '\n'), nil
}

const maxLineBytes = 1 << 20 // of one line; longer ones fail with bufio.ErrTooLong

// Lines reads JSON lines until the input ends and passes each to handle. It stops at the first error: of handle, of the input, or of a line
// that cannot be decoded, whose number it names.
func Lines[T any](reader io.Reader, handle func(T) error) error {
	lines := bufio.NewScanner(reader)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		var value T
		if err := json.Unmarshal(lines.Bytes(), &value); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if err := handle(value); err != nil {
			return err
		}
	}
	return lines.Err()
}

// Records appends records to a file. It is safe for concurrent use. Each record is written at once, so those of a killed process are
// complete but for the last.
type Records struct {
	mu   sync.Mutex
	file *os.File
	err  error
}

// NewRecords opens the file, and creates it if need be. The caller closes the records.
func NewRecords(path string) (*Records, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	return &Records{file: file}, nil
}

// Add writes one record. Close returns the error of the first one that fails.
func (r *Records) Add(value any) {
	line, err := Marshal(value)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		_, err = r.file.Write(line)
	}
	if r.err == nil {
		r.err = err
	}
}

// Close closes the file. It returns the first error of Add as well.
func (r *Records) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.err, r.file.Close())
}

// ReadRecords reads all records of a file, in order.
func ReadRecords[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	defer func() { _ = file.Close() }() // it is only read
	var all []T
	err = Lines(file, func(value T) error {
		all = append(all, value)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("records: %s: %w", path, err)
	}
	return all, nil
}
