package standin

import (
	"io"
	"net/http"
	"testing"

	"go.uber.org/goleak"

	"gradeusher.example/gradeusher/internal/lab/ctl"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// orderSender is a stand-in that runs within the test and is given orders one by one.
type orderSender struct {
	t      *testing.T
	orders io.WriteCloser
	events chan ctl.Event
	lastID int
	ended  chan error
}

// startStandIn runs a stand-in until the test ends. It returns once that is ready, with the ready event.
func startStandIn(t *testing.T, run func(in io.Reader, out io.Writer) error) (*orderSender, ctl.Event) {
	t.Helper()
	in, orders := io.Pipe()
	from, out := io.Pipe()
	sender := &orderSender{t: t, orders: orders, events: make(chan ctl.Event, 100), ended: make(chan error, 1)}
	go func() {
		sender.ended <- run(in, out)
		_ = out.Close() // never fails
	}()
	go func() {
		defer close(sender.events)
		_ = ctl.Lines(from, func(event ctl.Event) error {
			sender.events <- event
			return nil
		})
	}()
	t.Cleanup(func() {
		_ = orders.Close() // never fails
		if err := <-sender.ended; err != nil {
			t.Error(err)
		}
		for range sender.events {
		}
	})
	return sender, <-sender.events
}

// send gives an order and returns its acknowledgement. An order that is refused fails the test.
func (s *orderSender) send(order ctl.Order) ctl.Event {
	s.t.Helper()
	s.lastID++
	order.ID = s.lastID
	line, err := ctl.Marshal(order)
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := s.orders.Write(line); err != nil {
		s.t.Fatal(err)
	}
	event := <-s.events
	if event.ID != s.lastID || event.Error != "" {
		s.t.Fatalf("%s: %+v", order.Do, event)
	}
	return event
}

// newRequest is a GET request that is cancelled as the test ends.
func newRequest(t *testing.T, url string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	return req
}

// closeAtEnd closes something as the test ends.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() }) // which the test may have closed already
}
