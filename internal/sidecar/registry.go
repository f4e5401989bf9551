package sidecar

import (
	"context"
	"net"
	"time"

	"gradeusher.example/gradeusher/balance"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	fleet "gradeusher.example/gradeusher/internal/sidecar/list"
)

// followRegistry has the loop apply the registry's list, until ctx is done. A list cached by the
// previous process takes precedence over the servers in the configuration, because it is newer.
func (h *host) followRegistry(ctx context.Context, c *Config) error {
	k := c.Registry
	var err error
	h.registry, err = client.NewListSubscriber(client.ListOptions{Registry: k.Addresses, ShrinkLimits: k.ShrinkLimits, MaxAge: k.MaxAge, Log: h.log,
		Cache: client.NewListCache(c.SharedDir, c.Name),
		OnUpdate: func(u client.ListUpdate) {
			l := List{Complete: u.Complete}
			for _, t := range u.Targets {
				l.Targets = append(l.Targets, k.target(t))
			}
			kind := balance.ListChanges
			switch {
			case u.Cached:
				kind = balance.ListCached
			case u.Complete:
				kind = balance.ListFull
			}
			h.post(func() { h.applyList(kind, l) })
		}})
	if err != nil {
		return err
	}
	h.watchers.Add(1)
	go func() {
		defer h.watchers.Done()
		h.registry.Run(ctx)
	}()
	return nil
}

// target converts a server of the registry's list.
func (r *Registry) target(t fleet.Target) Target {
	converted := Target{ID: t.UID, Address: t.Endpoint, Zone: t.Zone, Kind: t.Model, Cell: t.PodGroup, Size: 1}
	switch t.State {
	case fleet.Serving:
		converted.State = balance.Ready
	case fleet.Draining:
		converted.State = balance.Draining
	default:
		converted.State = balance.Removed
	}
	if t.Capacity != nil {
		converted.Size = *t.Capacity
	}
	if t.BootMS > 0 {
		converted.Started = time.UnixMilli(t.BootMS)
	}
	if _, port, err := net.SplitHostPort(t.Endpoint); err == nil && r.Reach != "" {
		converted.Address = net.JoinHostPort(r.Reach, port)
	}
	return converted
}
