package balance

// Here is what is told of a Balancer, and what it starts from where nothing is said. Nothing is decided here.

// DefaultRules is the table used where none is given: a group for each zone and kind, weighted by size.
func DefaultRules(service string, zones, kinds []string) []Rule {
	var groups []Destination
	for _, zone := range zones {
		for _, kind := range kinds {
			groups = append(groups, Destination{Weight: 1, PerSize: true,
				Match: Match{"service": service, "region": zone, "version": kind}})
		}
	}
	return []Rule{{Name: "default", Source: Match{"service": "*"}, Service: Match{"service": service},
		Destinations: groups}}
}

// Knows tells whether an endpoint is listed or out by hand.
func (b *Balancer) Knows(id string) bool {
	e := b.byID[id]
	return contains(b.outOfService, id) || e != nil && e.State != Removed
}

// CountListed counts the endpoints on the list, and those of them that get nothing now: out by hand, draining, or
// ejected.
func (b *Balancer) CountListed(now Time) (all, avoided int) {
	for _, e := range b.endpoints {
		if !e.isReady() || now < e.ejectedUntil && !b.inPanic {
			avoided++
		}
	}
	return len(b.endpoints), avoided
}
