package standin

import (
	"io"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
)

// handleOrders does each order as it comes, one after the other, until there are no more.
func handleOrders(orders io.Reader, out *ctl.Out, do func(ctl.Order, *ctl.News) error) error {
	return ctl.Lines(orders, func(o ctl.Order) error {
		acknowledgeOrder(o, out, do)
		return nil
	})
}

// acknowledgeOrder does an order, and says that it took effect, or why not.
func acknowledgeOrder(o ctl.Order, out *ctl.Out, do func(ctl.Order, *ctl.News) error) {
	n := ctl.News{ID: o.ID, UID: o.UID}
	if err := do(o, &n); err != nil {
		n.Error = err.Error()
	}
	n.At = clock.Now()
	out.Say(n)
}
