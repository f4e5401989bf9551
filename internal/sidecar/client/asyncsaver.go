package client

import "log/slog"

// asyncSaver saves values by a goroutine of its own. Danger: a disk may take any time, in which news must go on.
type asyncSaver[T any] struct {
	values chan T // the one that waits
	ended  chan struct{}
}

func newAsyncSaver[T any](what string, log *slog.Logger, save func(T) error) *asyncSaver[T] {
	s := &asyncSaver[T]{values: make(chan T, 1), ended: make(chan struct{})}
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
func (s *asyncSaver[T]) put(v T) { putLatest(s.values, v) }

// close returns once the last value is saved.
func (s *asyncSaver[T]) close() {
	close(s.values)
	<-s.ended
}
