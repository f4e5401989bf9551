package testcluster

import (
	"fmt"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster/engine"
	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Scenario is a deployment, and the traffic that clients send to it.
type Scenario struct {
	Machines []Machine
	Bounds   rules.Bounds
	Config   *rules.Config // in force; changes of the configuration replace it
	Servers  []ServerSpec
	Kinds    []RequestKind
}

const (
	scenarioHost = "assistant.example"
	modelService = "usher-lm"
	thumbService = "thumbs"
	healthPath   = "/health"

	modelMaxConns   = 200
	thumbMaxConns   = 130
	idleTimeout     = 15 * time.Second
	warmUpSeconds   = 3
	warmUpPerSecond = 20 // requests a second that a model server bears while it warms up
)

// scenarioZones are the zones of the small scenario, with their regions.
var scenarioZones = [...]struct{ zone, region string }{{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}}

// SmallScenario returns a deployment of two regions, three zones, four machines of which three have a disk, six model servers and three servers
// without a model. Clients send rate requests a second in all.
func SmallScenario(rate float64) *Scenario {
	scenario := &Scenario{Bounds: rules.Bounds{Contact: 4 * time.Second, Drain: 4 * time.Second, ConfigApply: 3 * time.Second,
		RevertSlack: 250 * time.Millisecond, Evacuate: 5 * time.Second, Grace: 8 * time.Second, LossSlack: 200 * time.Millisecond,
		Stretch: 6 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 64, ColdExcess: 1.5, ColdSlack: 5,
		QuotaWindow: 5 * time.Second, QuotaExcess: 0.1, QuotaSlack: 20}}
	for i := range 4 {
		location := scenarioZones[min(i, len(scenarioZones)-1)]
		machine := Machine{IP: fmt.Sprintf("127.0.1.%d", i+1), Zone: location.zone, Region: location.region, HasDisk: i < len(scenarioZones)}
		scenario.Machines = append(scenario.Machines, machine)
	}
	spec := &engine.Spec{Slots: 16, Queue: 16, MemoryTokens: 100_000, Stride: 5, Step: 5 * time.Millisecond, PerRunning: 50 * time.Microsecond,
		PrefillRate: 50, Chunk: 512}
	scenario.Servers = scenarioServers(spec)
	scenario.Config = scenarioConfig(spec)
	routes := scenario.Config.Routes
	scenario.Kinds = []RequestKind{
		{Route: &routes[0], Rate: 0.1 * rate, Deadline: 8 * time.Second, Retries: 1, Prefixes: 8, PrefixTokens: 4000, OwnTokens: 1000, AnswerTokens: 120, BodyBytes: 4000},
		{Route: &routes[1], Rate: 0.6 * rate, Deadline: 5 * time.Second, Retries: 1, Prefixes: 30, PrefixTokens: 90, OwnTokens: 290, AnswerTokens: 45, BodyBytes: 1000},
		{Route: &routes[2], Rate: 0.3 * rate, Deadline: 2500 * time.Millisecond, Retries: 1, BodyBytes: 100},
	}
	return scenario
}

// scenarioServers returns two model servers of the spec, and a server without a model, in each zone.
func scenarioServers(spec *engine.Spec) []ServerSpec {
	var servers []ServerSpec
	for i := range 2 * len(scenarioZones) {
		location := scenarioZones[i%len(scenarioZones)]
		servers = append(servers, ServerSpec{Service: modelService, Zone: location.zone, Region: location.region, Address: fmt.Sprintf("127.0.2.%d:0", i+1),
			HealthPath: healthPath, MaxConns: modelMaxConns, IdleTimeout: idleTimeout, ReportsLoad: true,
			WarmUp: warmUpSeconds * time.Second, WarmUpPerSecond: warmUpPerSecond, WarmUpCrashFactor: 4, Engine: spec})
	}
	for i, location := range scenarioZones {
		servers = append(servers, ServerSpec{Service: thumbService, Zone: location.zone, Region: location.region, Address: fmt.Sprintf("127.0.3.%d:0", i+1),
			HealthPath: healthPath, MaxConns: thumbMaxConns, IdleTimeout: idleTimeout, ReportsLoad: true,
			Plain: &PlainSpec{Slots: 6, Queue: 12, Work: 20 * time.Millisecond, AnswerBytes: 800}})
	}
	return servers
}

// scenarioConfig returns the operator's configuration of the scenario.
func scenarioConfig(spec *engine.Spec) *rules.Config {
	stream := func(name, prefix string, priority, latencyTarget, timeout int, resumable bool) rules.Route {
		return rules.Route{Name: name, Host: scenarioHost, Prefix: prefix, Category: "streaming", Timeout: timeout, Aim: latencyTarget, Priority: priority,
			Target: modelService, MaxTries: 2, Sticky: true, Resumable: resumable, GapAim: 600, Homes: []string{}}
	}
	return &rules.Config{Revision: 1,
		Routes: []rules.Route{
			stream("chapter-summary", "/summary/", 1, 1000, 8000, true),
			stream("clip-question", "/question/", 0, 800, 5000, false),
			{Name: "thumb-fetch", Host: scenarioHost, Prefix: "/thumb/", Category: "idempotent", Timeout: 2500, Aim: 400, Priority: 2,
				Target: thumbService, MaxTries: 2, Homes: []string{}},
		},
		Services: []rules.Service{
			{Name: modelService, HealthPath: healthPath, MaxConns: modelMaxConns, Protocol: "h1", ColdFor: warmUpSeconds, ColdPerSecond: warmUpPerSecond,
				Engine: &rules.Engine{Slots: spec.Slots, CacheTokens: spec.MemoryTokens, TokenBytes: 163840, LinkMbps: 1e6, Stride: spec.Stride,
					Models: []rules.Model{{Name: "m"}}}},
			{Name: thumbService, HealthPath: healthPath, MaxConns: thumbMaxConns, Protocol: "h1"},
		},
		Limits: rules.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3000, Idle: int(idleTimeout.Milliseconds())},
	}
}
