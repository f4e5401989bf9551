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

// Watchers runs many subscribers of the registry in one process until the orders end. Each element of registries is one subscriber's
// registry nodes, with slashes between them. Watchers returns the first error of a subscriber's options or of reading orders.
func Watchers(orders io.Reader, news, log io.Writer, registries []string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	for _, nodes := range registries {
		subscriber, err := client.NewListSubscriber(client.ListOptions{Registry: strings.Split(nodes, "/"),
			ShrinkLimits: client.DefaultShrinkLimits, Log: slog.New(slog.NewTextHandler(log, nil)), OnUpdate: func(client.ListUpdate) {}})
		if err != nil {
			return err
		}
		running.Add(1)
		go func() {
			defer running.Done()
			subscriber.Run(ctx)
		}()
	}
	ctl.NewEventWriter(news).Send(ctl.Event{Kind: ctl.EventReady, At: clock.Now()})
	err := ctl.Lines(orders, func(ctl.Order) error { return nil })
	cancel()
	running.Wait()
	return err
}
