package singleton

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
)

// SweepRole is the duty under which duties out of use are forgotten.
const SweepRole = "sweep"

const maxSweptRoles = 512 // duties in one call

// Sweep is the work of the sweeper: it has keepers forget duties that nobody has held or waited for during idle, looking once in
// every. The keepers are what it acts on, and take nothing under an epoch of it that is over.
func Sweep(c *client.Client, every, idle time.Duration, log *slog.Logger) Work {
	return func(ctx context.Context, t *HeldLease) error {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-t.HandoverRequested():
				return ErrHandedOver
			case <-ctx.Done():
				return ErrHandedOver
			}
			if err := sweep(ctx, c, t, idle, log); err != nil {
				return fmt.Errorf("sweep: %w", err)
			}
		}
	}
}

func sweep(ctx context.Context, c *client.Client, t *HeldLease, idle time.Duration, log *slog.Logger) error {
	n, err := c.Roles(ctx, "")
	if err != nil {
		return err
	}
	var names []string
	for _, d := range n.Roles {
		if d.Owner == nil && len(d.Waiting) == 0 && len(names) < maxSweptRoles && time.Since(time.UnixMilli(d.SinceMS)) >= idle {
			names = append(names, d.Name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	// The keepers look again whether each is idle.
	_, err = c.ChangeRole(ctx, client.Forget, t.Name, client.RoleCall{Process: t.runner.process, Epoch: t.Epoch, IdleRoles: names, IdleMS: idle.Milliseconds()})
	if err == nil {
		log.Info("swept", "duties", len(names), "first", names[0])
	}
	return err
}
