package lab

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/lab/proc"
)

// patience bounds how long a stand-in may take for anything.
const patience = 30 * time.Second

// child is a stand-in process that obeys orders.
type child struct {
	*proc.Process
	ready ctl.Event
	mu    sync.Mutex
	next  int
	wait  map[int]chan ctl.Event
	heard chan struct{} // closed when its output ends
}

// startChild starts a stand-in and waits until it is ready. tell gets the news that no order asked for.
func startChild(s *proc.Starter, spec proc.Spec, tell func(ctl.Event)) (*child, error) {
	spec.Piped = true
	p, err := s.Start(spec)
	if err != nil {
		return nil, err
	}
	c := &child{Process: p, wait: map[int]chan ctl.Event{}, heard: make(chan struct{})}
	ready := make(chan ctl.Event, 1)
	go func() {
		defer close(c.heard)
		defer p.Out.Close()
		_ = ctl.Lines(p.Out, func(n ctl.Event) error { // a line that cannot be read ends it, which waiters see
			switch {
			case n.ID != 0:
				c.mu.Lock()
				w := c.wait[n.ID]
				delete(c.wait, n.ID)
				c.mu.Unlock()
				if w != nil {
					w <- n
				}
			case n.Kind == "ready":
				ready <- n
			default:
				tell(n)
			}
			return nil
		})
	}()
	select {
	case c.ready = <-ready:
		return c, nil
	case <-c.heard:
	case <-time.After(patience):
	}
	p.Kill()
	return nil, fmt.Errorf("%s did not start: see its log", spec.Name)
}

// order gives an order and waits until it is done.
func (c *child) order(o ctl.Order) (ctl.Event, error) {
	wait := make(chan ctl.Event, 1)
	c.mu.Lock()
	c.next++
	o.ID = c.next
	c.wait[o.ID] = wait
	line, err := ctl.Marshal(o)
	if err == nil {
		_, err = c.In.Write(line)
	}
	c.mu.Unlock()
	if err != nil {
		return ctl.Event{}, fmt.Errorf("%s: %w", c.Name, err)
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case n := <-wait:
		if n.Error != "" {
			return n, fmt.Errorf("%s: %s", c.Name, n.Error)
		}
		return n, nil
	case <-c.heard:
		return ctl.Event{}, fmt.Errorf("%s: %w", c.Name, errGone)
	case <-timer.C:
		return ctl.Event{}, fmt.Errorf("%s: no word within %v", c.Name, patience)
	}
}

var errGone = errors.New("the process is gone")
