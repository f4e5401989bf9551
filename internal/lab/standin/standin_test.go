package standin

import (
	"io"
	"testing"

	"go.uber.org/goleak"
	"gradeusher.example/gradeusher/internal/lab/ctl"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// orders is a stand-in that runs within the test and is given orders one by one.
type orders struct {
	t    *testing.T
	to   io.WriteCloser
	news chan ctl.News
	n    int
	over chan error
}

// startStandIn runs a stand-in until the test ends. It returns once that is ready.
func startStandIn(t *testing.T, run func(in io.Reader, out io.Writer) error) (*orders, ctl.News) {
	t.Helper()
	in, to := io.Pipe()
	from, out := io.Pipe()
	o := &orders{t: t, to: to, news: make(chan ctl.News, 100), over: make(chan error, 1)}
	go func() {
		o.over <- run(in, out)
		out.Close()
	}()
	go func() {
		defer close(o.news)
		_ = ctl.Lines(from, func(n ctl.News) error {
			o.news <- n
			return nil
		})
	}()
	t.Cleanup(func() {
		to.Close()
		if err := <-o.over; err != nil {
			t.Error(err)
		}
		for range o.news {
		}
	})
	return o, <-o.news
}

func (o *orders) give(order ctl.Order) ctl.News {
	o.t.Helper()
	o.n++
	order.ID = o.n
	line, err := ctl.Marshal(order)
	if err != nil {
		o.t.Fatal(err)
	}
	if _, err := o.to.Write(line); err != nil {
		o.t.Fatal(err)
	}
	n := <-o.news
	if n.ID != o.n || n.Error != "" {
		o.t.Fatalf("%s: %+v", order.Do, n)
	}
	return n
}
