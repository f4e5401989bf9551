package plan

import "fmt"

// Routes is the route table of the registry, and how it changes. Sidecars belong to applications in turn, and each application has
// a rule of its own.
type Routes struct {
	Apps    int        `toml:"apps"`    // applications; 0: there are no routes
	EveryS  float64    `toml:"every_s"` // from one generation to the next
	UntilS  float64    `toml:"until_s"` // no generation is made later; 0: than the end of the load
	Narrow  bool       `toml:"narrow"`  // tables lead to the first kind of servers alone
	Wide    bool       `toml:"wide"`    // each changes the weights of all rules; else mostly one
	Nowhere [2]float64 `toml:"nowhere"` // from when to when tables lead to no server
	BoundS  float64    `toml:"bound_s"` // after the last generation and the last fault, within which each sidecar has to have the table
}

// AppOf is the application that a sidecar belongs to.
func (p *Plan) AppOf(sidecar int) string { return fmt.Sprintf("app-%d", sidecar%p.File.Routes.Apps) }

// RoutesUntil is when the last generation may be made, in seconds.
func (p *Plan) RoutesUntil() float64 {
	if until := p.File.Routes.UntilS; until > 0 {
		return until
	}
	return p.File.Seconds
}

// checkRoutes rejects route tables that make no sense.
func (f *File) checkRoutes() *Error {
	r := &f.Routes
	switch {
	case r.Apps == 0:
		return nil
	case f.Registry.Count == 0:
		return f.errorAt("routes", -1, "apps", "there are no keepers that could hold routes: [keepers] needs count")
	case r.EveryS < 0.01 || r.EveryS > maxSeconds:
		return f.errorAt("routes", -1, "every_s", "every_s is %v, not within 0.01 to %v", r.EveryS, maxSeconds)
	case r.UntilS < 0 || r.UntilS > f.Seconds:
		return f.errorAt("routes", -1, "until_s", "until_s %v is not within the load", r.UntilS)
	case r.BoundS <= 0 || r.BoundS > maxSeconds:
		return f.errorAt("routes", -1, "bound_s", "bound_s %v: how long it may take until each sidecar is told", r.BoundS)
	case r.Nowhere[0] < 0 || r.Nowhere[1] < r.Nowhere[0] || r.Nowhere[1] > f.Seconds:
		return f.errorAt("routes", -1, "nowhere", "nowhere %v is no range within the load", r.Nowhere)
	}
	return nil
}
