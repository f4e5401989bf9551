package pick

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/promptpool"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/retrybudget"
)

const (
	initialServiceTimeMS = 60   // until the first response
	serviceTimeWeight    = 32   // number of responses over which the service time is averaged
	maxCursorStart       = 1024 // the initial cursor of a group is below this number

	maxCapacityPerSlot = 5.0  // assumed capacity of servers until one reports that it is full
	minCapacityPerSlot = 2.0  // a server with less capacity may be full for other reasons
	capacityIncrement  = 0.01 // per response, because a server may have been full for other reasons
)

// group is the set of servers of one service.
type group struct {
	service         *config.Service // nil: not in the configuration
	servers         []*server       // in list order
	cursor          int             // index of the server whose turn is next
	budget          retrybudget.Budget
	serviceTimeMS   float64       // average time from the start of an attempt to its end, learned
	capacityPerSlot float64       // running and waiting requests that a server accepts per slot, learned
	idleTimeout     time.Duration // how long idle connections to its servers are kept

	mix        promptpool.Mix                         // which kinds of prompts arrive
	pools      [promptpool.MaxRegions]promptpool.Pool // by region
	division   promptpool.Division                    // of long prompts among regions
	demand     promptpool.Demand                      // of this proxy
	peerDemand SharedDemand                           // of all other proxies
}

// group returns the group of a service, and creates it if necessary.
func (p *Picker) group(service string) *group {
	g := p.groups[service]
	if g == nil {
		g = &group{
			cursor:          int(rendezvous.Weight(p.settings.Seed, rendezvous.Hash(service)) % maxCursorStart),
			budget:          retrybudget.New(p.settings.RetryWindow),
			serviceTimeMS:   initialServiceTimeMS,
			capacityPerSlot: maxCapacityPerSlot,
			idleTimeout:     DefaultIdleTimeout,
		}
		p.groups[service] = g
	}
	return g
}

// engine returns the engine configuration of the service; nil if its servers are not model servers.
func (g *group) engine() *config.Engine {
	if g.service == nil {
		return nil
	}
	return g.service.Engine
}

// observeServiceTime adds the time of a response to the average. A response that took much longer than usual is weighted less.
func (g *group) observeServiceTime(tookMS float64) {
	g.serviceTimeMS += (min(tookMS, 10*g.serviceTimeMS+100) - g.serviceTimeMS) / serviceTimeWeight
}

// observeFull records that a server was full with a number of requests.
func (g *group) observeFull(requests, slots int) {
	g.capacityPerSlot = max(minCapacityPerSlot, min(g.capacityPerSlot, float64(requests)/float64(slots)))
}

// observeServed records that a server was not full.
func (g *group) observeServed() {
	g.capacityPerSlot = min(g.capacityPerSlot+capacityIncrement, maxCapacityPerSlot)
}
