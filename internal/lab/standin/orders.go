package standin

import (
	"fmt"
	"io"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
)

// orderHandler applies an order. It adds to the acknowledgement what the command returns; an error is sent as the acknowledgement's.
type orderHandler func(order ctl.Order, acknowledgement *ctl.Event) error

// handleOrders applies each order as it comes, one after the other, until there are no more. It returns the error of reading them.
func handleOrders(orders io.Reader, out *ctl.EventWriter, apply orderHandler) error {
	return ctl.Lines(orders, func(order ctl.Order) error {
		acknowledgeOrder(order, out, apply)
		return nil
	})
}

// acknowledgeOrder applies an order and acknowledges that it took effect, or says why it did not.
func acknowledgeOrder(order ctl.Order, out *ctl.EventWriter, apply orderHandler) {
	acknowledgement := ctl.Event{ID: order.ID, UID: order.UID}
	if err := apply(order, &acknowledgement); err != nil {
		acknowledgement.Error = err.Error()
	}
	acknowledgement.At = clock.Now()
	out.Send(acknowledgement)
}

// reportErrors returns a function that tells the lab of errors which a socket of the stand-in outlives.
func reportErrors(out *ctl.EventWriter) func(error) {
	return func(err error) {
		out.Send(ctl.Event{Kind: ctl.EventError, Error: err.Error(), At: clock.Now()})
	}
}

// unknownCommandError says that a stand-in does not obey a command.
func unknownCommandError(command ctl.Command) error { return fmt.Errorf("unknown order %q", command) }
