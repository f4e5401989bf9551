package balance

import (
	"errors"
	"fmt"
	"math"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/balance/routes"
)

// Settings are what a Balancer gets at its start.
type Settings struct {
	Seed      uint64
	Index     int // of this sidecar among its peers, from 0
	PeerCount int // how many sidecars there are, this one included
	Zone      string
	Zones     []string
	Kinds     []string
	Classes   []Class
	Tenants   []Tenant

	Service string            // the service that is balanced
	Tags    map[string]string // the client's own tags besides its region: service, version
	Rules   []Rule            // nil: DefaultRules(Service, Zones, Kinds)

	MaxAttempts   int // of a request, at least 1
	CancelAllowed bool

	SubscribeToDiscovery bool          // list changes come only to a subscriber
	DiscoveryDeadline    time.Duration // a list older than this counts as expired: by then each sidecar must have asked

	WarmUpTime       time.Duration // an endpoint is warm this long after its start
	StartCapacity    float64       // share of its capacity that it starts with, from 0 to 1
	OverloadMultiple float64       // an endpoint that warms up and is sent more than this multiple of its capacity
	OverloadTime     time.Duration // for this long becomes overloaded

	ReportTTL time.Duration // a peer's report that is older counts for nothing; 0: 2 s

	ZoneCrossingCost float64 // of a request served in another zone, as a share of its value

	Hitters *hitters.Settings // how clients that ask for much of the fleet's work are found; nil: they are not
}

// Class describes one class of requests.
type Class struct {
	Name          string
	Effect        Effect
	Scope         Scope         // Deduplicated only
	DedupeWindow  time.Duration // Deduplicated only: how long a duplicate is dropped, from the first send
	LatencyTarget time.Duration // an answer within it has the full value
	Deadline      time.Duration // of the client, over all attempts
	Value         float64
	LateValue     float64 // share of the value that an answer after the target still has, from 0 to 1
}

// Tenant describes one tenant.
type Tenant struct {
	Name      string
	Allowance float64 // requests a second, over all sidecars together, up to which they have their full value
}

// ErrNoActions says that New was given no host.
var ErrNoActions = errors.New("no actions")

// SettingsError says which field of the settings cannot be used, and why.
type SettingsError struct {
	Field   string
	Problem string
}

func (e *SettingsError) Error() string { return "field " + e.Field + ": " + e.Problem }

func badField(field, format string, args ...any) error {
	return &SettingsError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// checkSettings returns what is wrong with the settings, naming the field.
func checkSettings(set Settings, actions Actions) error {
	switch {
	case actions == nil:
		return ErrNoActions
	case len(set.Classes) == 0:
		return badField("Classes", "no classes")
	case set.PeerCount < 1:
		return badField("PeerCount", "%d sidecars", set.PeerCount)
	case set.Index < 0 || set.Index >= set.PeerCount:
		return badField("Index", "sidecar %d of %d", set.Index, set.PeerCount)
	case set.MaxAttempts < 1:
		return badField("MaxAttempts", "%d attempts", set.MaxAttempts)
	}
	if err := checkShare("StartCapacity", set.StartCapacity); err != nil {
		return err
	}
	for i, class := range set.Classes {
		if err := checkClass(class); err != nil {
			return fmt.Errorf("class %d, %q: %w", i, class.Name, err)
		}
	}
	for i, tenant := range set.Tenants {
		if err := checkAmount("Allowance", tenant.Allowance); err != nil {
			return fmt.Errorf("tenant %d, %q: %w", i, tenant.Name, err)
		}
	}
	return errors.Join(
		checkAmount("OverloadMultiple", set.OverloadMultiple),
		checkAmount("ZoneCrossingCost", set.ZoneCrossingCost),
		checkDuration("DiscoveryDeadline", set.DiscoveryDeadline),
		checkDuration("WarmUpTime", set.WarmUpTime),
		checkDuration("OverloadTime", set.OverloadTime),
		checkRules(set.Rules),
	)
}

func checkClass(class Class) error {
	switch {
	case class.LatencyTarget <= 0:
		return badField("LatencyTarget", "%v is not above 0", class.LatencyTarget)
	case class.Deadline < class.LatencyTarget:
		return badField("Deadline", "%v is before the latency target of %v", class.Deadline, class.LatencyTarget)
	case class.Effect < Idempotent || class.Effect > AtMostOnce:
		return badField("Effect", "%d is unknown", class.Effect)
	case class.Scope < ScopeAll || class.Scope > ScopeCell:
		return badField("Scope", "%d is unknown", class.Scope)
	}
	if err := checkShare("LateValue", class.LateValue); err != nil {
		return err
	}
	return errors.Join(checkAmount("Value", class.Value), checkDuration("DedupeWindow", class.DedupeWindow))
}

// checkRules returns what is wrong with a route table, naming the rule and its field.
func checkRules(rules []Rule) error {
	for i, rule := range rules {
		if err := routes.CheckRule(rule); err != nil {
			return fmt.Errorf("rule %d, %q: %w", i, rule.Name, err)
		}
	}
	return nil
}

// isBetween tells whether x is a number from low to high.
func isBetween(x, low, high float64) bool { return x >= low && x <= high }

func checkShare(field string, x float64) error {
	if !isBetween(x, 0, 1) {
		return badField(field, "%v is no share from 0 to 1", x)
	}
	return nil
}

func checkAmount(field string, x float64) error {
	if !isBetween(x, 0, math.MaxFloat64) {
		return badField(field, "%v is not a number from 0 up", x)
	}
	return nil
}

func checkDuration(field string, d time.Duration) error {
	if d < 0 {
		return badField(field, "%v is negative", d)
	}
	return nil
}

// DefaultRules is the table that is used where none is given: a group for each zone and kind, weighted by size.
func DefaultRules(service string, zones, kinds []string) []Rule {
	var destinations []Destination
	for _, zone := range zones {
		for _, kind := range kinds {
			destinations = append(destinations, Destination{
				Weight:  1,
				PerSize: true,
				Match:   Match{"service": service, "region": zone, "version": kind},
			})
		}
	}
	return []Rule{{
		Name:         "default",
		Source:       Match{"service": "*"},
		Service:      Match{"service": service},
		Destinations: destinations,
	}}
}
