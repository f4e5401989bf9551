package pick

import "gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"

// prefixHomes are the servers that are to cache a shared prefix, the same at all proxies; nil: none.
type prefixHomes struct{ first, second *server }

// homesOf finds the homes of the prefix with a key: the first two by rendezvous hashing among the servers that the request may go to at all,
// all regions together. A prefix that is prefilled in two regions is prefilled twice, which costs more than the way between them.
func (p *Picker) homesOf(key uint64, input *pickInput, g *group, placement *promptPlacement) (homes prefixHomes) {
	var firstWeight, secondWeight uint64
	for _, s := range g.servers {
		if !p.mayBeHome(s, input, placement) {
			continue
		}
		switch weight := rendezvous.Weight(key, s.hash); {
		case homes.first == nil || weight > firstWeight:
			homes.second, secondWeight = homes.first, firstWeight
			homes.first, firstWeight = s, weight
		case homes.second == nil || weight > secondWeight:
			homes.second, secondWeight = s, weight
		}
	}
	return homes
}

// mayBeHome reports whether s can serve a request's prompt for as long as is known.
func (p *Picker) mayBeHome(s *server, input *pickInput, placement *promptPlacement) bool {
	return p.isAvailable(s) && !s.warmingUp(input.now) && placement.matches(s) && input.request.allowsRegion(s.Region)
}
