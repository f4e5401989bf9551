package pick

import "gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"

// prefixHomes are the servers that should cache a shared prefix, the same for all proxies; nil: none.
type prefixHomes struct{ first, second *server }

// findHomes returns the homes of the prefix with this key: the first two by rendezvous hashing among
// all servers that the request may go to, across all regions. A prefix that had a home in each of
// two regions would be prefilled twice, which costs more than the network path between them.
func (p *Picker) findHomes(key uint64, input *pickInput, g *group, placement *promptPlacement) (homes prefixHomes) {
	var firstWeight, secondWeight uint64
	for _, s := range g.servers {
		if !p.canBeHome(s, input, placement) {
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

// canBeHome reports whether s can be a home for a request's prompt, as far as is
// known: it is available, warm, meant for such prompts and in an allowed region.
func (p *Picker) canBeHome(s *server, input *pickInput, placement *promptPlacement) bool {
	return p.isAvailable(s) && !s.warmingUp(input.now) && placement.matches(s) && input.request.allowsRegion(s.Region)
}
