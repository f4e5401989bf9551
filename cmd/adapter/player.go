package main

import (
	"fmt"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/internal/sidecar/wire"
)

// noInstance is the number of the current instance before a batch names one.
const noInstance = -1

// player passes the events of batches to the instances.
type player struct {
	out       *wire.Writer
	instances map[int]*instance
	now       balance.Time // of the batch
	current   int          // number of the instance that events are for
}

// play handles an event. It returns an error if the event is invalid.
func (p *player) play(event *wire.Event) error {
	switch event.Kind {
	case wire.BatchStart:
		p.now, p.current = event.Now, noInstance
	case wire.EndOfBatch:
		if err := p.out.End(); err != nil {
			return fmt.Errorf("write the reply: %w", err)
		}
	case wire.Instance:
		p.current = event.Instance
	case wire.Stop:
		delete(p.instances, p.current)
	case wire.Open:
		started, err := newInstance(p.current, p.out, event)
		if err != nil {
			return fmt.Errorf("instance %d: %w", p.current, err)
		}
		p.instances[p.current] = started
	default:
		target := p.instances[p.current]
		if target == nil {
			return fmt.Errorf("event for instance %d, which is not running", p.current)
		}
		if err := target.handle(p.now, event); err != nil {
			return fmt.Errorf("instance %d: %w", p.current, err)
		}
	}
	return nil
}
