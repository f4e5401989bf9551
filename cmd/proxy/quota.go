package main

import (
	"context"
	"net"
	"strconv"
	"time"

	"gradeusher.example/gradeusher/internal/system/distribution"
	"gradeusher.example/gradeusher/internal/system/distribution/softstate"
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/system/quota/quotarpc"
)

// newQuotas creates the limiter of this proxy and the client that queries the limiters of its zone.
func (p *proxyProcess) newQuotas() {
	transport := quotarpc.NewTransport()
	p.limiter = quotarpc.NewLimiterServer(quotarpc.LimiterOptions{
		ID:               quota.LimiterID{Node: p.settings.Node, Incarnation: uint64(time.Now().UnixNano())},
		Bounds:           quotarpc.BoundsOf(p.settings.Bounds),
		Followed:         func() string { return p.subscriber.FollowedNode() },
		ControlPlanePort: p.settings.ControlPlanePort(),
		Transport:        transport,
		Log:              p.log,
	})
	p.quotas = quotarpc.NewClient(quotarpc.ClientOptions{
		Self:      p.settings.Node,
		Limiter:   p.limiter,
		Transport: transport,
		Log:       p.log,
	})
}

// updateQuotas passes the tenants of an update to the limiter, and the live proxies of this zone to the client.
func (p *proxyProcess) updateQuotas(update distribution.Update) {
	p.limiter.SetConfig(update.State.Config)
	p.quotas.SetPeers(p.zonePeers(update.Members))
}

// zonePeers selects the proxies of this zone that are ready and neither down nor draining.
func (p *proxyProcess) zonePeers(members []softstate.Member) []quotarpc.Peer {
	var peers []quotarpc.Peer
	for _, m := range members {
		if m.Zone != p.settings.Zone || m.Down || m.Draining || !m.Ready {
			continue
		}
		peers = append(peers, quotarpc.Peer{Node: m.Node, Address: net.JoinHostPort(m.IP, strconv.Itoa(p.settings.ProxyPort()))})
	}
	return peers
}

// releaseLeases returns the leases of this proxy, so that others need not wait until they expire.
func (p *proxyProcess) releaseLeases(ctx context.Context) {
	if err := p.limiter.Leave(ctx); err != nil {
		p.log.WithError(err).Info("proxy: failed to release the quota leases; they will expire")
	}
}
