package lab

import (
	"fmt"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

// standInTimeout bounds how long a stand-in may take to start, or to acknowledge an order.
const standInTimeout = 30 * time.Second

// child is a stand-in process that obeys orders.
type child struct {
	*proc.Process
	ready       ctl.Event
	mu          sync.Mutex
	lastID      int
	waiting     map[int]chan ctl.Event
	outputEnded chan struct{} // closed when its output ends
}

// startChild starts a stand-in and waits until it is ready. onEvent gets the events that no order asked for.
func startChild(s *proc.Starter, spec proc.Spec, onEvent func(ctl.Event)) (*child, error) {
	spec.Piped = true
	process, err := s.Start(spec)
	if err != nil {
		return nil, err
	}
	started := &child{Process: process, waiting: map[int]chan ctl.Event{}, outputEnded: make(chan struct{})}
	ready := make(chan ctl.Event, 1)
	go func() {
		defer close(started.outputEnded)
		defer func() { _ = process.Out.Close() }()               // it was read to its end
		_ = ctl.Lines(process.Out, func(event ctl.Event) error { // a line that cannot be read ends it, which waiters see
			switch {
			case event.ID != 0:
				started.mu.Lock()
				w := started.waiting[event.ID]
				delete(started.waiting, event.ID)
				started.mu.Unlock()
				if w != nil {
					w <- event
				}
			case event.Kind == ctl.EventReady:
				ready <- event
			default:
				onEvent(event)
			}
			return nil
		})
	}()
	select {
	case started.ready = <-ready:
		return started, nil
	case <-started.outputEnded:
	case <-time.After(standInTimeout):
	}
	process.Kill()
	return nil, &StartError{Process: spec.Name, Failure: "did not start"}
}

// order gives an order and waits until it is done.
func (c *child) order(o ctl.Order) (ctl.Event, error) {
	wait := make(chan ctl.Event, 1)
	c.mu.Lock()
	c.lastID++
	o.ID = c.lastID
	c.waiting[o.ID] = wait
	line, err := ctl.Marshal(o)
	if err == nil {
		_, err = c.In.Write(line)
	}
	c.mu.Unlock()
	if err != nil {
		return ctl.Event{}, fmt.Errorf("%s: %w", c.Name, err)
	}
	timer := time.NewTimer(standInTimeout)
	defer timer.Stop()
	select {
	case n := <-wait:
		if n.Error != "" {
			return n, &OrderError{Process: c.Name, Reason: n.Error}
		}
		return n, nil
	case <-c.outputEnded:
		return ctl.Event{}, fmt.Errorf("%s: %w", c.Name, ErrProcessEnded)
	case <-timer.C:
		return ctl.Event{}, fmt.Errorf("%s: %w within %v", c.Name, ErrNoAcknowledgement, standInTimeout)
	}
}
