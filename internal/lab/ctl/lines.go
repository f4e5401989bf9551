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

// Marshal is a value as a line.
func Marshal(value any) ([]byte, error) {
	line, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("line: %w", err)
	}
	return append(line, '\n'), nil
}

const maxLineBytes = 1 << 20

// Lines reads JSON lines until the input ends, and hands each to do. It is an error if one cannot be read.
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

// Records is a file of records. It is safe for concurrent use. Each is written at once: what a killed process saw is kept.
type Records struct {
	mu   sync.Mutex
	file *os.File
	err  error
}

// NewRecords makes the file.
func NewRecords(path string) (*Records, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	return &Records{file: file}, nil
}

// Add writes one.
func (r *Records) Add(value any) {
	line, err := Marshal(value)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		_, err = r.file.Write(line)
	}
	r.err = errors.Join(r.err, err)
}

// Close returns the first errors of all that was added.
func (r *Records) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.err, r.file.Close())
}

// ReadRecords reads all records of a file.
func ReadRecords[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	defer file.Close()
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
