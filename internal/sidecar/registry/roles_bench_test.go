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

// BenchmarkRenewRoles has a process renew all of its duties in one call over HTTP, at a keeper of its own. log/op is how much the log grows
// by a renewal, in entries.
func BenchmarkRenewRoles(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := Defaults()
			c.Name, c.Folder, c.HTTP, c.Raft = "k1", b.TempDir(), "127.0.0.1:0", "127.0.0.1:0"
			c.Peers = []Peer{{"k1", "127.0.0.1:0", "127.0.0.1:1"}}
			c.AdvertiseHTTP = "127.0.0.1:1"
			c.Timing.HeartbeatMS = 400
			ctx, cancel := context.WithCancel(b.Context())
			ready, ended := make(chan string, 1), make(chan error, 1)
			go func() { ended <- Run(ctx, c, slog.New(slog.DiscardHandler), func(at string) { ready <- at }) }()
			defer func() { cancel(); <-ended }()
			k, err := client.New([]string{<-ready})
			if err != nil {
				b.Fatal(err)
			}
			defer k.Close()
			for i := range n {
				if _, err := k.ChangeRole(ctx, client.Campaign, fmt.Sprint("d", i), client.RoleCall{Process: "a#1", TTLMS: state.MaxRoleLease.Milliseconds()}); err != nil {
					b.Fatal(err)
				}
			}
			index := func() uint64 {
				all, failed := client.Status[Status](ctx, k)
				if len(failed) > 0 {
					b.Fatal(failed)
				}
				for _, s := range all {
					return s.Applied
				}
				return 0
			}
			before := index()
			for b.Loop() {
				if r, err := k.RenewRoles(ctx, "a#1"); err != nil || len(r.Owned) != n || !r.Owned[n-1].Renewed {
					b.Fatal(len(r.Owned), err)
				}
			}
			b.ReportMetric(float64(index()-before)/float64(b.N), "log/op")
		})
	}
}

// BenchmarkRoleLessor has a leader look at leases, which it does 20 times a second.
func BenchmarkRoleLessor(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, l, now := state.New(), &roleLessor{}, time.Unix(1000, 0)
			for i := range n {
				applyRole(m, state.Campaign, state.RoleCall{Name: fmt.Sprint("d", i), Process: "a#1", TTLMS: 3000})
			}
			for l.start(0); b.Loop(); {
				if c := l.evaluate(now, m); len(c.Ended) > 0 {
					b.Fatal(c)
				}
				_ = m.DueRoles(0)
			}
		})
	}
}
