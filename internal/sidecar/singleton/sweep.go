package singleton

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// SweepRole is the name of the role whose owner has idle roles forgotten.
const SweepRole = "sweep"

const maxSweptRoles = 512 // in one call

// Sweep returns the work of the sweeper: once in an interval it has the registry forget roles that had no owner and no candidates for idle. The
// registry is the resource that it acts on, and refuses an epoch of it that is over.
func Sweep(registry *client.Client, interval, idle time.Duration, log *slog.Logger) Work {
	return func(ctx context.Context, lease *OwnedLease) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-lease.HandoverRequested():
				return ErrHandedOver
			case <-ctx.Done():
				return ErrHandedOver
			}
			if err := sweepOnce(ctx, registry, lease, idle, log); err != nil {
				return fmt.Errorf("sweep: %w", err)
			}
		}
	}
}

func sweepOnce(ctx context.Context, registry *client.Client, lease *OwnedLease, idle time.Duration, log *slog.Logger) error {
	update, err := registry.Roles(ctx, "")
	if err != nil {
		return err
	}
	names := idleRoles(update.Roles, idle)
	if len(names) == 0 {
		return nil
	}
	// The registry checks again whether each role is idle.
	_, err = registry.ChangeRole(ctx, client.Forget, lease.Name,
		client.RoleCall{Process: lease.runner.process, Epoch: lease.Epoch, IdleRoles: names, IdleMS: idle.Milliseconds()})
	if err != nil {
		return err
	}
	log.Info("swept", "duties", len(names), "first", names[0])
	return nil
}

func idleRoles(roles []state.Role, idle time.Duration) []string {
	var names []string
	for i := range roles {
		role := &roles[i]
		unused := role.Owner == nil && len(role.Waiting) == 0
		if unused && time.Since(time.UnixMilli(role.SinceMS)) >= idle && len(names) < maxSweptRoles {
			names = append(names, role.Name)
		}
	}
	return names
}
