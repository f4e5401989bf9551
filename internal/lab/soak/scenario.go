package soak

import (
	"fmt"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// homeZones are the zones of the region in which the most frequent kind of request has its home.
var homeZones = [...]string{"north-a", "north-b"}

const (
	home         = "north"
	perZone      = 3   // model servers of each home zone
	subnets      = 100 // so that runs side by side rarely share addresses
	firstSubnet  = 100
	summaryRate  = 5.0 // requests a second
	questionRate = 240.0
	thumbRate    = 60.0
	slots        = 32
	step         = 3 * time.Millisecond
)

// NewScenario gives the deployment in which a seed is played: the small one, with more servers, more traffic, and a home for the
// most frequent kind of request.
func NewScenario(seed uint64) *testcluster.Scenario {
	s := testcluster.SmallScenario(1)
	subnet := firstSubnet + int(seed%subnets)
	for i := range s.Machines {
		s.Machines[i].IP = fmt.Sprintf("127.%d.1.%d", subnet, i+1)
	}
	engine := *s.Servers[0].Engine
	engine.Step = step
	var servers []testcluster.ServerSpec
	held := map[string]int{}
	add := func(spec testcluster.ServerSpec) {
		spec.Address = fmt.Sprintf("127.%d.2.%d:0", subnet, len(servers)+1)
		if spec.Engine != nil {
			spec.Engine = &engine
		}
		held[spec.Zone]++
		servers = append(servers, spec)
	}
	for _, spec := range s.Servers {
		add(spec)
	}
	for _, zone := range homeZones {
		spec := s.Servers[0]
		for spec.Zone, spec.Region = zone, home; held[zone] < perZone+1; { // one of them has no model
			add(spec)
		}
	}
	s.Servers = servers
	s.Config.Routes[1].Homes = []string{home}
	for i, rate := range []float64{summaryRate, questionRate, thumbRate} {
		s.Kinds[i].Rate = rate
	}
	setSlots(s, slots)
	return s
}

// setSlots gives every model server so many slots, and as many places to wait.
func setSlots(s *testcluster.Scenario, n int) {
	for _, spec := range s.Servers {
		if spec.Engine != nil {
			spec.Engine.Slots, spec.Engine.Queue = n, n
		}
	}
	s.Config.Services[0].Engine.Slots = n
}

// coldFor is how long a model server warms up after its start.
func coldFor(s *testcluster.Scenario) time.Duration { return s.Servers[0].WarmUp }
