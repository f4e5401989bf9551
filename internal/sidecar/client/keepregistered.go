package client

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// KeepRegistered keeps a registration alive until ctx is done: it renews the lease three times in its length, and registers again where
// the keepers say that the lease is over. While no keeper answers it goes on asking; the server is then drained when the
// lease ends, and comes back with the next registration.
func (c *Client) KeepRegistered(ctx context.Context, r list.Registration) {
	every := time.Duration(r.LeaseMS) * time.Millisecond / 3
	for {
		// Drawn, so that servers that came together do not renew together for good.
		timer := time.NewTimer(every*3/4 + rand.N(every/4+1))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		call, cancel := context.WithTimeout(ctx, 2*every)
		unknown, err := c.Renew(call, []Renewal{{r.UID, r.BootMS}})
		if err == nil && slices.Contains(unknown, r.UID) {
			_, _ = c.Register(call, []list.Registration{r}, nil) // what fails is tried with the next renewal
		}
		cancel()
	}
}
