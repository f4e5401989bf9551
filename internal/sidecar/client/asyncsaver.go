package client

import "log/slog"

// asyncSaver saves values in a goroutine of its own, because a disk may take any time, in which a subscriber must go on.
type asyncSaver[T any] struct {
	values chan T // the one that is saved next
	ended  chan struct{}
}

// newAsyncSaver starts the goroutine, which close ends. Of errors that follow each other the first is logged, under the name of what is saved.
func newAsyncSaver[T any](name string, log *slog.Logger, save func(T) error) *asyncSaver[T] {
	s := &asyncSaver[T]{values: make(chan T, 1), ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		failing := false
		for value := range s.values {
			err := save(value)
			if err != nil && !failing {
				log.Warn(name, "err", err)
			}
			failing = err != nil
		}
	}()
	return s
}

// put has a value saved, in place of one that still waits. It never blocks.
func (s *asyncSaver[T]) put(value T) { putLatest(s.values, value) }

// close returns once the last value is saved.
func (s *asyncSaver[T]) close() {
	close(s.values)
	<-s.ended
}

// putLatest puts a value in a channel of capacity 1, in place of one that was not received yet. It never blocks.
func putLatest[T any](c chan T, value T) {
	for {
		select {
		case c <- value:
			return
		default:
		}
		select {
		case <-c:
		default:
		}
	}
}
