package balance

import (
	"errors"
	"fmt"
	"math"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/balance/routes"
)

// Settings are what a Balancer is told at its start.
type Settings struct {
	Seed      uint64
	Index     int // the number of this sidecar among its peers, from 0
	PeerCount int // how many sidecars there are, this one included
	Zone      string
	Zones     []string
	Kinds     []string
	Classes   []Class
	Tenants   []Tenant

	Service string            // the service balanced
	Tags    map[string]string // the client's own tags besides its region: service, version
	Rules   []Rule            // nil: DefaultRules(Service, Zones, Kinds)

	MaxAttempts   int
	CancelAllowed bool

	SubscribeToDiscovery bool          // list changes come only to a subscriber
	DiscoveryDeadline    time.Duration // without a call for this long, old listings count as told

	WarmUpTime       time.Duration // a started endpoint is warm after this time
	StartCapacity    float64       // and starts at this share of its capacity
	OverloadMultiple float64       // a cold endpoint sent more than this multiple of what it can do
	OverloadTime     time.Duration // for this long falls over

	ReportTTL time.Duration // what members said longer ago counts for nothing; 0: 2 s

	ZoneCrossingCost float64 // price of crossing zones, as a share of a request's worth

	Hitters *hitters.Settings // how clients that ask for much of the fleet's work are found; nil: they are not
}

// Class describes one class of requests.
type Class struct {
	Name          string
	Effect        Effect
	Scope         Scope         // Deduplicated only
	DedupeWindow  time.Duration // Deduplicated only: how long a repeat is dropped, from the first send
	LatencyTarget time.Duration // an answer within the aim earns the full worth
	Deadline      time.Duration // the client's patience over all its tries
	Value         float64
	LateValue     float64 // share of the worth that an answer past the aim still earns
}

// Tenant describes one tenant. Allowance is the rate, over all sidecars together, up to which its requests
// have their full worth.
type Tenant struct {
	Name      string
	Allowance float64 // requests a second
}

// checkSettings says what is wrong with the settings, naming the field.
func checkSettings(set Settings, act Actions) error {
	switch {
	case act == nil:
		return errors.New("no actions")
	case len(set.Classes) == 0:
		return errors.New("field Classes: no classes")
	case set.PeerCount < 1:
		return fmt.Errorf("field Peers: %d sidecars", set.PeerCount)
	case set.Index < 0 || set.Index >= set.PeerCount:
		return fmt.Errorf("field Self: sidecar %d of %d", set.Index, set.PeerCount)
	case set.MaxAttempts < 1:
		return fmt.Errorf("field MaxAttempts: %d attempts", set.MaxAttempts)
	case !isBetween(set.StartCapacity, 0, 1):
		return fmt.Errorf("field StartCapacity: %v is no share from 0 to 1", set.StartCapacity)
	}
	for i, c := range set.Classes {
		if err := checkClass(c); err != nil {
			return fmt.Errorf("class %d, %q: %w", i, c.Name, err)
		}
	}
	for i, t := range set.Tenants {
		if err := checkAmount("Allowance", t.Allowance); err != nil {
			return fmt.Errorf("tenant %d, %q: %w", i, t.Name, err)
		}
	}
	return errors.Join(checkAmount("FallMultiple", set.OverloadMultiple), checkAmount("CrossCharge", set.ZoneCrossingCost),
		checkTime("MustAsk", set.DiscoveryDeadline),
		checkTime("ColdTime", set.WarmUpTime),
		checkTime("FallTime", set.OverloadTime), checkRules(set.Rules))
}

// isBetween tells whether x is a number from low to high.
func isBetween(x, low, high float64) bool { return x >= low && x <= high }

func checkAmount(field string, x float64) error {
	if !isBetween(x, 0, math.MaxFloat64) {
		return fmt.Errorf("field %s: %v is not a number from 0 up", field, x)
	}
	return nil
}

func checkTime(field string, d time.Duration) error {
	if d < 0 {
		return fmt.Errorf("field %s: %v is negative", field, d)
	}
	return nil
}

func checkClass(c Class) error {
	switch {
	case c.LatencyTarget <= 0:
		return fmt.Errorf("field Aim: %v is not above 0", c.LatencyTarget)
	case c.Deadline < c.LatencyTarget:
		return fmt.Errorf("field Deadline: %v is before the aim of %v", c.Deadline, c.LatencyTarget)
	case c.Effect < Idempotent || c.Effect > AtMostOnce:
		return fmt.Errorf("field Effect: %d is unknown", c.Effect)
	case c.Scope < ScopeAll || c.Scope > ScopeCell:
		return fmt.Errorf("field Scope: %d is unknown", c.Scope)
	case !isBetween(c.LateValue, 0, 1):
		return fmt.Errorf("field LateWorth: %v is no share from 0 to 1", c.LateValue)
	}
	return errors.Join(checkAmount("Worth", c.Value), checkTime("DedupeWindow", c.DedupeWindow))
}

// checkRules says what is wrong with a rule table, naming the rule and its field.
func checkRules(rules []Rule) error {
	for i, r := range rules {
		if err := routes.CheckRule(r); err != nil {
			return fmt.Errorf("rule %d, %q: %w", i, r.Name, err)
		}
	}
	return nil
}

// Here is what is told of a Balancer, and what it starts from where nothing is said. Nothing is decided here.

// DefaultRules is the table used where none is given: a group for each zone and kind, weighted by size.
func DefaultRules(service string, zones, kinds []string) []Rule {
	var groups []Destination
	for _, zone := range zones {
		for _, kind := range kinds {
			groups = append(groups, Destination{Weight: 1, PerSize: true,
				Match: Match{"service": service, "region": zone, "version": kind}})
		}
	}
	return []Rule{{Name: "default", Source: Match{"service": "*"}, Service: Match{"service": service},
		Destinations: groups}}
}
