package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"gradeusher.example/gradeusher/internal/sealed"
)

// cell is a sealed file with one value, for the next process. No path: nothing is kept.
type cell[T any] struct {
	path  string
	kind  sealed.Kind
	check func(T) error
}

// load is what was saved last. It tells false where there is nothing; errors tell of what was unsound, which is set aside.
func (c cell[T]) load() (v T, ok bool, err error) {
	if c.path == "" {
		return v, false, nil
	}
	text, err := os.ReadFile(c.path)
	if errors.Is(err, os.ErrNotExist) {
		return v, false, nil
	}
	if err != nil {
		return v, false, fmt.Errorf("cache: %w", err)
	}
	body, err := c.kind.Open(text)
	if err == nil {
		err = json.Unmarshal(body, &v)
	}
	if err == nil {
		err = c.check(v)
	}
	if err != nil {
		var none T
		aside, moved := sealed.SetAside(c.path)
		return none, false, errors.Join(fmt.Errorf("cache: %w; set aside as %s", err, aside), moved)
	}
	return v, true, nil
}

// save replaces what was saved.
func (c cell[T]) save(v T) error {
	if c.path == "" {
		return nil
	}
	body, err := json.Marshal(v)
	if err == nil {
		err = sealed.WriteFile(c.path, c.kind.Seal(body))
	}
	if err != nil {
		return fmt.Errorf("cache: %w", err)
	}
	return nil
}

// saver saves values by a goroutine of its own. Danger: a disk may take any time, in which news must go on.
type saver[T any] struct {
	values chan T // the one that waits
	ended  chan struct{}
}

func newSaver[T any](what string, log *slog.Logger, save func(T) error) *saver[T] {
	s := &saver[T]{values: make(chan T, 1), ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		bad := false
		for v := range s.values {
			err := save(v)
			if err != nil && !bad {
				log.Warn(what, "err", err) // once, until it works again
			}
			bad = err != nil
		}
	}()
	return s
}

// put has a value saved, in the place of one that still waits.
func (s *saver[T]) put(v T) { newest(s.values, v) }

// close returns once the last value is saved.
func (s *saver[T]) close() {
	close(s.values)
	<-s.ended
}
