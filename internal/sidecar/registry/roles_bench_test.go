package registry

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/state"
)

// startBenchNode runs a node until the benchmark ends, and returns a client of it.
func startBenchNode(b *testing.B) *client.Client {
	b.Helper()
	config := singleNodeConfig(b.TempDir())
	config.Timing.HeartbeatMS = 400
	ctx, cancel := context.WithCancel(context.Background())
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() {
		ended <- Run(ctx, config, slog.New(slog.DiscardHandler), func(address string) { ready <- address })
	}()
	b.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
	c, err := client.New([]string{<-ready})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	return c
}

// appliedIndex returns how many entries of the log the node has applied.
func appliedIndex(b *testing.B, c *client.Client) uint64 {
	b.Helper()
	statuses, failed := client.Status[Status](b.Context(), c)
	if len(failed) > 0 {
		b.Fatal(failed)
	}
	for _, status := range statuses {
		return status.Applied
	}
	return 0
}

// BenchmarkRenewRoles has a process renew all of its roles in one call over HTTP, at a node of its own. log/op is how much the log grows by a
// renewal, in entries.
func BenchmarkRenewRoles(b *testing.B) {
	for _, roles := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(roles), func(b *testing.B) {
			registry := startBenchNode(b)
			call := client.RoleCall{Process: "a#1", TTLMS: state.MaxRoleLease.Milliseconds()}
			for i := range roles {
				if _, err := registry.ChangeRole(b.Context(), client.Campaign, fmt.Sprint("d", i), call); err != nil {
					b.Fatal(err)
				}
			}
			before := appliedIndex(b, registry)
			for b.Loop() {
				if renewal, err := registry.RenewRoles(b.Context(), "a#1"); err != nil || len(renewal.Owned) != roles || !renewal.Owned[roles-1].Renewed {
					b.Fatal(len(renewal.Owned), err)
				}
			}
			b.ReportMetric(float64(appliedIndex(b, registry)-before)/float64(b.N), "log/op")
		})
	}
}

// BenchmarkRoleLessor has a leader evaluate the leases of roles, which it does 20 times a second.
func BenchmarkRoleLessor(b *testing.B) {
	for _, roles := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(roles), func(b *testing.B) {
			machine, lessor, now := state.New(), &roleLessor{}, time.Unix(1000, 0)
			for i := range roles {
				applyRole(machine, state.Campaign, state.RoleCall{Name: fmt.Sprint("d", i), Process: "a#1", TTLMS: 3000})
			}
			lessor.start(0)
			for b.Loop() {
				if call := lessor.evaluate(now, machine); len(call.Ended) > 0 {
					b.Fatal(call)
				}
				_ = machine.DueRoles(0)
			}
		})
	}
}
