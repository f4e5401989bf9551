package balance

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
