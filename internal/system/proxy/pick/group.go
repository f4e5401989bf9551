package pick

import (
	"time"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/promptpool"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/rendezvous"
	"gradeusher.example/gradeusher/internal/system/proxy/pick/retrybudget"
)

const (
	initialServiceTimeMS = 60   // before any answer
	serviceTimeWeight    = 32   // answers over which the service time is averaged
	maxCursorStart       = 1024 // groups start their turns at a number below it

	maxCapacityPerSlot = 5.0  // what servers are estimated to take until one says that it is full
	minCapacityPerSlot = 2.0  // one that has less may be full for other reasons
	capacityIncrement  = 0.01 // for each answer, as a server may have been full for other reasons
)

// group is the servers of one service.
type group struct {
	service         *config.Service // nil: the configuration does not name it
	servers         []*server       // in the list's order
	cursor          int             // index of the server whose turn is next
	budget          retrybudget.Budget
	serviceTimeMS   float64       // from an attempt to its end, learned
	capacityPerSlot float64       // requests that a server takes, running and waiting, for each of its slots; learned
	idleTimeout     time.Duration // for how long idle connections to its servers are kept

	mix        promptpool.Mix                         // which kinds of prompts come
	pools      [promptpool.MaxRegions]promptpool.Pool // by region
	division   promptpool.Division                    // of long prompts over regions
	demand     promptpool.Demand                      // of this proxy
	peerDemand SharedDemand                           // of all others
}

// group is the group of a service, a new one if need be.
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

// engine describes the model servers of the service; nil: its servers are none.
func (g *group) engine() *config.Engine {
	if g.service == nil {
		return nil
	}
	return g.service.Engine
}

// observeServiceTime takes in the time of an answer. One that took much longer than usual counts for less.
func (g *group) observeServiceTime(tookMS float64) {
	g.serviceTimeMS += (min(tookMS, 10*g.serviceTimeMS+100) - g.serviceTimeMS) / serviceTimeWeight
}

// observeFull takes in that a server was full with a number of requests.
func (g *group) observeFull(requests, slots int) {
	g.capacityPerSlot = max(minCapacityPerSlot, min(g.capacityPerSlot, float64(requests)/float64(slots)))
}

// observeServed takes in that a server was not full.
func (g *group) observeServed() {
	g.capacityPerSlot = min(g.capacityPerSlot+capacityIncrement, maxCapacityPerSlot)
}
