package balance

// Knows tells whether an endpoint is listed, or taken out of service.
func (b *Balancer) Knows(id string) bool {
	if _, isOut := b.outOfService[id]; isOut {
		return true
	}
	e := b.byID[id]
	return e != nil && e.State != Removed
}

// CountListed counts the endpoints on the list, and those of them that get nothing now: out of service, draining, or ejected.
func (b *Balancer) CountListed(now Time) (listed, avoided int) {
	for _, e := range b.endpoints {
		if !e.isReady() || e.isEjected(now) && !b.inPanic {
			avoided++
		}
	}
	return len(b.endpoints), avoided
}
