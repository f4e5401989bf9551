package sidecar

import (
	"context"
	"fmt"
	"maps"
	"strings"

	"gradeusher.example/gradeusher/balance/routes"
	"gradeusher.example/gradeusher/internal/sidecar/client"
)

// routing is the state of following the registry's route table. Only the loop touches the fields below follower.
type routing struct {
	follower *client.RouteSubscriber // nil: this sidecar uses the rules in its settings

	applied   int64 // the generation that the Balancer uses; 0: the rules in the settings
	isPending bool  // a later generation is known, which the Balancer does not use yet
}

// followRoutes has the loop apply the part of the route table that concerns this sidecar, until ctx
// is done. The table cached by the previous process is applied first.
func (h *host) followRoutes(ctx context.Context, c *Config) (err error) {
	if c.Registry == nil || !c.Registry.Routes {
		return nil
	}
	tags := map[string]string{"region": c.Settings.Zone}
	maps.Copy(tags, c.Settings.Tags)
	for tag, v := range tags {
		if len(tags) > routes.MaxTags || tag == "" || strings.Contains(tag, ":") || len(tag) > routes.MaxTextBytes || len(v) > routes.MaxTextBytes {
			return fmt.Errorf("keepers: tags: %.60q: at most %d tags of at most %d bytes each, non-empty and without a colon", tag, routes.MaxTags, routes.MaxTextBytes)
		}
	}
	h.routing.follower, err = client.NewRouteSubscriber(client.RouteOptions{Registry: c.Registry.Addresses, Tags: tags, Service: c.Settings.Service,
		MaxAge: c.Registry.MaxAge, Cache: client.NewRouteCache(c.SharedDir, c.Name), Log: h.log,
		OnUpdate: func(u client.RouteUpdate) { h.post(func() { h.applyRoutes(u) }) }})
	if err != nil {
		return err
	}
	h.watchers.Go(func() { h.routing.follower.Run(ctx) })
	return nil
}

// move switches to other registry nodes. The caller passes valid addresses.
func (r *routing) move(address string) {
	if r.follower != nil {
		_ = r.follower.SetAddresses(strings.Split(address, ",")) // an error is the same as for the list, where it is logged
	}
}

// applyRoutes passes a route table to the Balancer, which may defer or reject it.
func (h *host) applyRoutes(u client.RouteUpdate) {
	err := h.balancer.SetRules(h.now, u.Rules)
	applied, why := err == nil, ""
	if !applied {
		why = err.Error()
	}
	if h.routing.isPending = !applied; applied {
		h.routing.applied = u.Generation
	}
	h.log.Info("routes: table received", "gen", u.Generation, "rules", len(u.Rules), "hash", u.Hash, "remembered", u.Cached, "applied", applied, "why", why)
}

// generation returns the generation that the Balancer uses. Only the loop calls it.
func (h *host) generation() int64 {
	r := &h.routing
	if r.isPending && !h.balancer.RulesPending() {
		r.isPending = false // the pending table has been applied since
	}
	if generation := r.follower.Status().Generation; !r.isPending && generation >= 0 {
		r.applied = generation // also when only the generation number is new
	}
	return r.applied
}

// routesInfo adds to the metrics which generation is known, which one the Balancer uses, and the counters of the subscription.
func (s *server) routesInfo(text *strings.Builder) {
	h, applied := s.host, int64(0)
	if h.routing.follower == nil || !h.ask(func() { applied = h.generation() }) {
		return
	}
	n := h.routing.follower.Status()
	for _, f := range []metric{{"route_generation", applied}, {"route_generation_held", n.Generation}, {"route_rules", int64(n.Rules)},
		{"route_age_ms", max(n.Age.Milliseconds(), -1)}} {
		fmt.Fprintf(text, "svc.%s:%d|g\n", f.name, f.value)
	}
	for _, f := range []metric{{"route_diffs", n.Diffs}, {"route_wholes", n.CompleteTables}, {"route_mismatches", n.Mismatches}} {
		fmt.Fprintf(text, "svc.%s:%d|c\n", f.name, f.value)
	}
}
