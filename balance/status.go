package balance

// Knows reports whether an endpoint is listed or has been taken out of service.
func (b *Balancer) Knows(id string) bool {
	if _, isOut := b.outOfService[id]; isOut {
		return true
	}
	e := b.byID[id]
	return e != nil && e.State != Removed
}

// CountListed returns the number of listed endpoints, and how many of them currently get no requests because they are out
// of service, draining or ejected.
func (b *Balancer) CountListed(now Time) (listed, avoided int) {
	for _, e := range b.endpoints {
		if !e.isReady() || e.isEjected(now) && !b.inPanic {
			avoided++
		}
	}
	return len(b.endpoints), avoided
}
