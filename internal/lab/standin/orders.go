package standin

import (
	"io"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
)

// obeyAll does each order as it comes, one after the other, until there are no more.
func obeyAll(orders io.Reader, out *ctl.EventWriter, do func(ctl.Order, *ctl.Event) error) error {
	return ctl.Lines(orders, func(o ctl.Order) error {
		obey(o, out, do)
		return nil
	})
}

// obey does an order, and says that it took effect, or why not.
func obey(o ctl.Order, out *ctl.EventWriter, do func(ctl.Order, *ctl.Event) error) {
	n := ctl.Event{ID: o.ID, UID: o.UID}
	if err := do(o, &n); err != nil {
		n.Error = err.Error()
	}
	n.At = clock.Now()
	out.Send(n)
}
