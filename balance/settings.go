package balance

import (
	"errors"
	"fmt"
	"math"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/balance/routes"
)

// Settings configures a Balancer.
type Settings struct {
	Seed      uint64
	Index     int // index of this sidecar among its peers, starting at 0
	PeerCount int // number of sidecars, including this one
	Zone      string
	Zones     []string
	Kinds     []string
	Classes   []Class
	Tenants   []Tenant

	Service string            // the service whose requests are balanced
	Tags    map[string]string // the client's own tags apart from its region: service, version
	Rules   []Rule            // nil: DefaultRules(Service, Zones, Kinds)

	MaxAttempts   int // per request, at least 1
	CancelAllowed bool

	SubscribeToDiscovery bool          // list changes are sent only to subscribers
	DiscoveryDeadline    time.Duration // each sidecar must have called discovery by then; an older list counts as expired

	WarmUpTime       time.Duration // how long an endpoint takes to warm up after its start
	StartCapacity    float64       // share of its capacity that an endpoint starts with, from 0 to 1
	OverloadMultiple float64       // an endpoint that is warming up is overloaded by more than this multiple of its
	OverloadTime     time.Duration // current capacity during OverloadTime

	ReportTTL time.Duration // older reports of peers are ignored; 0: 2 s

	ZoneCrossingCost float64 // cost of serving a request in another zone, as a share of its value

	Hitters *hitters.Settings // detection of heavy clients; nil disables it
}

// Class describes one class of requests.
type Class struct {
	Name          string
	Effect        Effect
	Scope         Scope         // Deduplicated only
	DedupeWindow  time.Duration // Deduplicated only: how long after the first send duplicates are dropped
	LatencyTarget time.Duration // an answer within this time has the full value
	Deadline      time.Duration // the client's deadline, across all attempts
	Value         float64
	LateValue     float64 // share of the value that an answer after the target still has, from 0 to 1
}

// Tenant describes one tenant.
type Tenant struct {
	Name      string
	Allowance float64 // requests per second, across all sidecars, up to which requests have their full value
}

// ErrNoActions is returned by New when it is given no Actions.
var ErrNoActions = errors.New("no Actions given")

// SettingsError reports an invalid field of the settings.
type SettingsError struct {
	Field   string
	Problem string
}

func (e *SettingsError) Error() string { return "field " + e.Field + ": " + e.Problem }

func badField(field, format string, args ...any) error {
	return &SettingsError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// checkSettings validates the settings. Its error names the invalid field.
func checkSettings(set Settings, actions Actions) error {
	switch {
	case actions == nil:
		return ErrNoActions
	case len(set.Classes) == 0:
		return badField("Classes", "no classes")
	case set.PeerCount < 1:
		return badField("PeerCount", "%d is less than 1", set.PeerCount)
	case set.Index < 0 || set.Index >= set.PeerCount:
		return badField("Index", "%d is not a valid index for %d sidecars", set.Index, set.PeerCount)
	case set.MaxAttempts < 1:
		return badField("MaxAttempts", "%d is less than 1", set.MaxAttempts)
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
		return badField("Deadline", "%v is shorter than the latency target of %v", class.Deadline, class.LatencyTarget)
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

// checkRules validates a route table. Its error names the invalid rule and field.
func checkRules(rules []Rule) error {
	for i, rule := range rules {
		if err := routes.CheckRule(rule); err != nil {
			return fmt.Errorf("rule %d, %q: %w", i, rule.Name, err)
		}
	}
	return nil
}

// isBetween reports whether x is a number from low to high.
func isBetween(x, low, high float64) bool { return x >= low && x <= high }

func checkShare(field string, x float64) error {
	if !isBetween(x, 0, 1) {
		return badField(field, "%v is not a share from 0 to 1", x)
	}
	return nil
}

func checkAmount(field string, x float64) error {
	if !isBetween(x, 0, math.MaxFloat64) {
		return badField(field, "%v is not a non-negative number", x)
	}
	return nil
}

func checkDuration(field string, d time.Duration) error {
	if d < 0 {
		return badField(field, "%v is negative", d)
	}
	return nil
}

// DefaultRules returns the route table that is used if none is given: one destination per zone and kind, weighted by size.
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
