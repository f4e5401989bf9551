package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/balance/signals"
)

// tickInterval is how often estimates decay and endpoints are looked through.
const tickInterval = 100 * time.Millisecond

// regroupInterval is how often subsets are selected anew where nothing else changes them.
const regroupInterval = time.Second

// The tokens of timers.
const (
	tickToken uint64 = iota
	discoveryToken
)

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand

	endpoints []*endpoint          // listed, by id
	byID      map[string]*endpoint // listed, or removed with attempts in flight
	inUse     []*endpoint          // members of the subsets
	// capacityInUse is the size of the endpoints in use, for their warmth and the weight of their zone.
	capacityInUse float64

	groups       []*group      // of the best rule, and a last one of all endpoints
	fleet        *group        // the last group
	destinations []Destination // of the groups
	pendingRules []Rule        // a route table that is not applied yet; nil: none is
	pendingSince Time          // when the first of the tables came that have been pending without a break
	regroupedAt  Time          // when the subsets were last selected
	zoneWeight   [2]float64    // weight of the own zone, which is 1, and of the others, by zoneIndex

	requests map[RequestID]*request
	arrivals float64 // decaying count of requests

	latencyEstimates
	shedding
	inPanic bool // so much is ejected that the fault is likely this sidecar's own

	membership
	reports      *signals.Aggregate // of the other sidecars
	outOfService map[string]Time    // ids that operators took out, and since when

	subscribed        bool
	discoveryFailures int // in a row
}

// New returns a Balancer, or an error that says what is wrong with the settings: a SettingsError that is
// wrapped by the class, tenant or rule concerned.
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

// tick is the housekeeping of each tickInterval.
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
