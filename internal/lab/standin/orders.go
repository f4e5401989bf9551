package standin

import (
	"io"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
)

// handleOrders applies each order as it comes, one after the other, until there are no more.
func handleOrders(orders io.Reader, out *ctl.Out, apply func(ctl.Order, *ctl.News) error) error {
	return ctl.Lines(orders, func(o ctl.Order) error {
		acknowledgeOrder(o, out, apply)
		return nil
	})
}

// acknowledgeOrder applies an order and acknowledges that it took effect, or says why it did not.
func acknowledgeOrder(o ctl.Order, out *ctl.Out, apply func(ctl.Order, *ctl.News) error) {
	n := ctl.News{ID: o.ID, UID: o.UID}
	if err := apply(o, &n); err != nil {
		n.Error = err.Error()
	}
	n.At = clock.Now()
	out.Say(n)
}
