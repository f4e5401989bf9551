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

// child is a stand-in process that obeys orders. Orders may be given concurrently.
type child struct {
	*proc.Process
	outputEnded chan struct{} // closed when its output ends

	mu      sync.Mutex
	lastID  int                    // of the orders
	waiting map[int]chan ctl.Event // where the acknowledgement of an order goes, by the order's id
}

// startChild starts a stand-in and waits until it is ready. onEvent gets the events that no order asked for, one after the other. It
// fails with a *StartError where the stand-in ends before, or after standInTimeout.
func startChild(starter *proc.Starter, spec proc.Spec, onEvent func(ctl.Event)) (*child, error) {
	spec.Piped = true
	process, err := starter.Start(spec)
	if err != nil {
		return nil, err
	}
	started := &child{Process: process, waiting: map[int]chan ctl.Event{}, outputEnded: make(chan struct{})}
	ready := make(chan ctl.Event, 1)
	go started.readEvents(ready, onEvent)
	select {
	case <-ready:
		return started, nil
	case <-started.outputEnded:
	case <-time.After(standInTimeout):
	}
	process.Kill()
	return nil, &StartError{Process: spec.Name, Failure: "did not start"}
}

// readEvents hands on the stand-in's events until its output ends, or until a line of it cannot be read, which waiters take for its end.
func (c *child) readEvents(ready chan<- ctl.Event, onEvent func(ctl.Event)) {
	defer close(c.outputEnded)
	defer func() { _ = c.Out.Close() }() // it was read to its end
	_ = ctl.Lines(c.Out, func(event ctl.Event) error {
		switch {
		case event.ID != 0:
			c.handleAcknowledgement(event)
		case event.Kind == ctl.EventReady:
			ready <- event
		default:
			onEvent(event)
		}
		return nil
	})
}

// handleAcknowledgement hands an acknowledgement to the caller who waits for it, if one still does.
func (c *child) handleAcknowledgement(event ctl.Event) {
	c.mu.Lock()
	acknowledged := c.waiting[event.ID]
	delete(c.waiting, event.ID)
	c.mu.Unlock()
	if acknowledged != nil {
		acknowledged <- event
	}
}

// startStandIn starts a stand-in by the arguments of the command stand-in, and waits until it is ready. The process ends with the fleet.
func (f *Fleet) startStandIn(name string, args []string) (*child, error) {
	spec := proc.Spec{Name: name, Path: f.self.Path, Log: f.log(name), Env: f.env("TMPDIR=" + f.work), Args: append([]string{"stand-in"}, args...)}
	started, err := startChild(f.starter, spec, f.handleEvent)
	if err != nil {
		return nil, err
	}
	f.all.Add(started.Process)
	return started, nil
}

// order gives an order and waits until it took effect. It fails with an *OrderError where the stand-in could not obey, with
// ErrProcessEnded or the error of the pipe where it has ended, and with ErrNoAcknowledgement after standInTimeout.
func (c *child) order(order ctl.Order) (ctl.Event, error) {
	acknowledged, err := c.sendOrder(order)
	if err != nil {
		return ctl.Event{}, fmt.Errorf("%s: %w", c.Name, err)
	}
	timer := time.NewTimer(standInTimeout)
	defer timer.Stop()
	select {
	case event := <-acknowledged:
		if event.Error != "" {
			return event, &OrderError{Process: c.Name, Reason: event.Error}
		}
		return event, nil
	case <-c.outputEnded:
		return ctl.Event{}, fmt.Errorf("%s: %w", c.Name, ErrProcessEnded)
	case <-timer.C:
		return ctl.Event{}, fmt.Errorf("%s: %w within %v", c.Name, ErrNoAcknowledgement, standInTimeout)
	}
}

// sendOrder writes an order under a new id, and returns where its acknowledgement will arrive.
func (c *child) sendOrder(order ctl.Order) (<-chan ctl.Event, error) {
	acknowledged := make(chan ctl.Event, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	order.ID = c.lastID
	c.waiting[order.ID] = acknowledged
	line, err := ctl.Marshal(order)
	if err != nil {
		return nil, err
	}
	_, err = c.In.Write(line)
	return acknowledged, err
}
