package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/balance/signals"
)

// tickInterval is how often estimates decay and endpoints are re-evaluated.
const tickInterval = 100 * time.Millisecond

// regroupInterval is how often subsets are reselected if nothing else triggers it.
const regroupInterval = time.Second

// Timer tokens.
const (
	tickToken uint64 = iota
	discoveryToken
)

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand

	endpoints []*endpoint          // listed endpoints, sorted by id
	byID      map[string]*endpoint // listed endpoints, and removed ones with attempts in flight
	inUse     []*endpoint          // members of the subsets
	// capacityInUse is the total size of the endpoints in use, scaled by their warmth and the weight of their
	// zone.
	capacityInUse float64

	groups       []*group      // the groups of the best rule, followed by one of all endpoints
	fleet        *group        // the last group: all endpoints
	destinations []Destination // the destinations of the groups
	pendingRules []Rule        // a route table that is not applied yet; nil if there is none
	pendingSince Time          // since when tables have been pending without a break
	regroupedAt  Time          // when the subsets were last selected
	zoneWeight   [2]float64    // by zoneIndex: 1 for the own zone, and the weight of other zones

	requests map[RequestID]*request
	arrivals float64 // decaying count of requests

	latencyEstimates
	shedding
	inPanic bool // so much is ejected that the fault is probably on this sidecar's side

	membership
	reports      *signals.Aggregate // reports of the other sidecars
	outOfService map[string]Time    // ids that operators took out of service, and since when

	subscribed        bool
	discoveryFailures int // consecutive failures
}

// New returns a Balancer. It returns an error if the settings are invalid: a SettingsError, wrapped with the
// class, tenant or rule it concerns.
func New(set Settings, actions Actions) (*Balancer, error) {
	b, err := newBalancer(set, actions)
	if err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	b.setDestinations(b.destinationsOf(b.settings.Rules))
	actions.Timer(time.Duration(b.rng.Float64()*float64(tickInterval)), tickToken)
	if set.SubscribeToDiscovery {
		actions.Timer(b.firstDiscoveryDelay(), discoveryToken)
	}
	return b, nil
}

// newBalancer returns a Balancer without groups and endpoints.
func newBalancer(set Settings, actions Actions) (*Balancer, error) {
	if set.Rules == nil {
		set.Rules = DefaultRules(set.Service, set.Zones, set.Kinds)
	}
	if err := checkSettings(set, actions); err != nil {
		return nil, err
	}
	detector, err := hitters.New(set.Hitters)
	if err != nil {
		return nil, err
	}
	return &Balancer{
		settings:         set,
		actions:          actions,
		rng:              rand.New(rand.NewPCG(set.Seed, uint64(set.Index))),
		byID:             map[string]*endpoint{},
		requests:         map[RequestID]*request{},
		zoneWeight:       [2]float64{ownZone: 1, otherZones: minZoneWeight},
		reports:          signals.NewAggregate(set.Zone, cmp.Or(set.ReportTTL, defaultReportTTL)),
		latencyEstimates: newLatencyEstimates(set.Classes),
		shedding:         newShedding(set.Tenants, detector),
	}, nil
}

// Timer handles a timer that expired. Unknown tokens are ignored.
func (b *Balancer) Timer(now Time, token uint64) {
	switch token {
	case discoveryToken:
		b.subscribe()
	case tickToken:
		b.actions.Timer(tickInterval, tickToken)
		b.tick(now)
	}
}

// tick does the periodic work of each tickInterval.
func (b *Balancer) tick(now Time) {
	b.applyVerdicts(now)
	b.decay(now, tickInterval)
	b.adjustZoneWeight(now)
	if now >= b.regroupedAt+regroupInterval {
		b.regroup(now)
	}
	if b.RulesPending() && b.applyPendingRules(now) == nil {
		b.actions.Log("the route table that waited is applied")
	}
}
