package standin

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/lab/ctl"
	"gradeusher.example/gradeusher/internal/sidecar/client"
)

// Watchers follows keepers with many clients in one process until the orders end. Each of of is one client's keepers, with
// slashes between them.
func Watchers(orders io.Reader, news, log io.Writer, of []string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	for _, addresses := range of {
		f, err := client.NewListSubscriber(client.ListOptions{Registry: strings.Split(addresses, "/"), ShrinkLimits: client.DefaultShrinkLimits,
			Log: slog.New(slog.NewTextHandler(log, nil)), OnUpdate: func(client.ListUpdate) {}})
		if err != nil {
			return err
		}
		all.Add(1)
		go func() {
			defer all.Done()
			f.Run(ctx)
		}()
	}
	ctl.NewEventWriter(news).Send(ctl.Event{Kind: "ready", At: clock.Now()})
	err := ctl.Lines(orders, func(ctl.Order) error { return nil })
	cancel()
	all.Wait()
	return err
}
