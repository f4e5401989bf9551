package soak

import (
	"fmt"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster"
)

// homeZones are the zones of the region in which the most frequent kind of request has its home.
var homeZones = [...]string{"north-a", "north-b"}

const (
	homeRegion         = "north"
	homeServersPerZone = 4   // in each home zone; one of them has no model
	subnets            = 100 // second bytes of loopback addresses, so that runs side by side rarely share addresses
	firstSubnet        = 100
	summaryRate        = 5.0 // requests a second
	questionRate       = 240.0
	thumbRate          = 60.0
	slots              = 32
	step               = 3 * time.Millisecond
)

// Indexes into the routes and request kinds of the scenario.
const (
	summaryRoute = iota
	questionRoute
	thumbRoute
)

// NewScenario returns the deployment in which a seed is played: the small one, with more servers, more traffic, and a home region for the most
// frequent kind of request.
func NewScenario(seed uint64) *testcluster.Scenario {
	scenario := testcluster.SmallScenario(1)
	subnet := firstSubnet + int(seed%subnets)
	for i := range scenario.Machines {
		scenario.Machines[i].IP = fmt.Sprintf("127.%d.1.%d", subnet, i+1)
	}
	engine := *scenario.Servers[0].Engine
	engine.Step = step
	var servers []testcluster.ServerSpec
	serversOf := map[string]int{} // by zone
	add := func(spec testcluster.ServerSpec) {
		spec.Address = fmt.Sprintf("127.%d.2.%d:0", subnet, len(servers)+1)
		if spec.Engine != nil {
			spec.Engine = &engine
		}
		serversOf[spec.Zone]++
		servers = append(servers, spec)
	}
	for _, spec := range scenario.Servers {
		add(spec)
	}
	for _, zone := range homeZones {
		spec := scenario.Servers[0]
		spec.Zone, spec.Region = zone, homeRegion
		for serversOf[zone] < homeServersPerZone {
			add(spec)
		}
	}
	scenario.Servers = servers
	scenario.Config.Routes[questionRoute].Homes = []string{homeRegion}
	scenario.Kinds[summaryRoute].Rate = summaryRate
	scenario.Kinds[questionRoute].Rate = questionRate
	scenario.Kinds[thumbRoute].Rate = thumbRate
	scenario.AddTenants()
	setSlots(scenario, slots)
	return scenario
}

// setSlots gives every model server n slots, and a queue of n requests.
func setSlots(s *testcluster.Scenario, n int) {
	for _, spec := range s.Servers {
		if spec.Engine != nil {
			spec.Engine.Slots, spec.Engine.Queue = n, n
		}
	}
	s.Config.Services[0].Engine.Slots = n
}

// warmUpOf returns how long a model server warms up after its start.
func warmUpOf(s *testcluster.Scenario) time.Duration { return s.Servers[0].WarmUp }
