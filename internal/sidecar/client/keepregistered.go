package client

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// KeepRegistered renews the lease of a server three times in its length until ctx is done, and registers the server again where the registry says
// that the lease is over. While no node answers it goes on; the server drains when its lease ends, and serves again with the next
// registration.
func (c *Client) KeepRegistered(ctx context.Context, registration list.Registration) {
	interval := time.Duration(registration.LeaseMS) * time.Millisecond / 3
	// Jitter, so that servers that came together do not go on renewing together.
	for sleep(ctx, interval*3/4+rand.N(interval/4+1)) {
		c.renewOrRegister(ctx, registration, 2*interval)
	}
}

// renewOrRegister ignores errors: the next renewal tries again.
func (c *Client) renewOrRegister(ctx context.Context, registration list.Registration, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	unknown, err := c.Renew(ctx, []Renewal{{registration.UID, registration.BootMS}})
	if err == nil && slices.Contains(unknown, registration.UID) {
		_, _ = c.Register(ctx, []list.Registration{registration}, nil)
	}
}
