package standin

import (
	"io"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
)

// handleOrders applies each order as it comes, one after the other, until there are no more.
func handleOrders(orders io.Reader, out *ctl.EventWriter, apply func(ctl.Order, *ctl.Event) error) error {
	return ctl.Lines(orders, func(o ctl.Order) error {
		acknowledgeOrder(o, out, apply)
		return nil
	})
}

// acknowledgeOrder applies an order and acknowledges that it took effect, or says why it did not.
func acknowledgeOrder(o ctl.Order, out *ctl.EventWriter, apply func(ctl.Order, *ctl.Event) error) {
	n := ctl.Event{ID: o.ID, UID: o.UID}
	if err := apply(o, &n); err != nil {
		n.Error = err.Error()
	}
	n.At = clock.Now()
	out.Send(n)
}
