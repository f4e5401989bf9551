package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/balance/signals"
)

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	settings     Settings
	actions      Actions
	rng          *rand.Rand
	endpoints    []*endpoint          // listed, by id
	byID         map[string]*endpoint // listed, or removed with attempts out
	inUse        []*endpoint          // members of the subsets
	groups       []*group             // of the best rule, and a last one of all endpoints
	fleet        *group               // the last of them
	warmingUp    group                // what cold endpoints' answers tell
	destinations []Destination        // of the groups
	pendingRules []Rule               // a route table that is not applied yet; nil: none is
	pendingSince Time                 // since the first of those that waited one after the other
	requests     map[RequestID]*request
	tenants      []tenant
	meanSeconds  []float64 // mean time of the answers in seconds, by class
	// Of each class, its answers' seconds and number, fading with each answer of any.
	classLatency         []group
	shortestTarget       float64            // the shortest aim
	zoneWeight           [2]float64         // weight of the own zone, which is 1, and of the others
	idleSeconds          float64            // the usual time of the fleet when idle: the least of late
	capacityInUse        float64            // registered size of the active endpoints for their warmth and zone
	arrivals             float64            // fading count of requests
	totalAllowance       float64            // sum of the tenants' allowances
	regroupedAt          Time               // when the subsets were last taken
	amongAll, amongAlike position           // among the members, and among those of its zone and level
	trafficLevel         int                // of its traffic, see Level
	levelCheckedAt       Time               // when that was last looked at
	lastResultAt         Time               // when an attempt last ended
	outOfService         map[string]Time    // ids that staff took out, and since when
	reports              *signals.Aggregate // of what the members say
	inPanic              bool               // so much is ejected that the fault is likely ours
	subscribed           bool
	sheddingUntil        Time              // until then lesser classes give way
	discoveryFailures    int               // of discovery calls, in a row
	hitters              *hitters.Detector // nil: off
}

const tickToken, discoveryToken uint64 = 0, 1

// New returns a Balancer, or an error that says what is wrong with the settings.
func New(set Settings, act Actions) (*Balancer, error) {
	b, err := newBalancer(set, act)
	if err != nil {
		return nil, fmt.Errorf("balance: %w", err)
	}
	b.setDestinations(b.destinationsOf(b.settings.Rules))
	act.Timer(time.Duration(b.rng.Float64()*float64(tickInterval)), tickToken)
	if set.SubscribeToDiscovery {
		// Danger: all sidecars start at once, and the list service serves few calls at a time.
		turn := (float64(set.Index) + b.rng.Float64()) / float64(set.PeerCount)
		act.Timer(time.Duration(turn*float64(max(set.DiscoveryDeadline/2, time.Second))), discoveryToken)
	}
	return b, nil
}

// newBalancer returns a Balancer that has met nobody yet.
func newBalancer(set Settings, act Actions) (*Balancer, error) {
	if set.Rules == nil {
		set.Rules = DefaultRules(set.Service, set.Zones, set.Kinds)
	}
	if err := checkSettings(set, act); err != nil {
		return nil, err
	}
	b := &Balancer{settings: set, actions: act, byID: map[string]*endpoint{}, requests: map[RequestID]*request{},
		rng: rand.New(rand.NewPCG(set.Seed, uint64(set.Index))), tenants: make([]tenant, len(set.Tenants)),
		zoneWeight: [2]float64{1, minZoneWeight}, reports: newReports(set)}
	var err error
	if b.hitters, err = hitters.New(set.Hitters); err != nil {
		return nil, err
	}
	for _, c := range set.Classes {
		b.shortestTarget = min(cmp.Or(b.shortestTarget, c.LatencyTarget.Seconds()), c.LatencyTarget.Seconds())
		b.meanSeconds = append(b.meanSeconds, c.LatencyTarget.Seconds()) // until answers tell
		b.classLatency = append(b.classLatency, group{
			latencySum: c.LatencyTarget.Seconds() / classLatencyStep, loadSum: 1 / classLatencyStep})
	}
	for _, t := range set.Tenants {
		b.totalAllowance += t.Allowance
	}
	return b, nil
}

// Timer takes in that a timer is due.
func (b *Balancer) Timer(now Time, token uint64) {
	switch token {
	case discoveryToken:
		if !b.subscribed {
			b.subscribed = true
			b.actions.Subscribe()
		}
	case tickToken:
		b.actions.Timer(tickInterval, tickToken)
		b.applyVerdicts(now)
		b.decay(now, tickInterval)
		b.adjustZoneWeight(now)
		if now >= b.regroupedAt+time.Second {
			b.regroup(now)
		}
		if b.RulesPending() {
			if applied, _ := b.applyPendingRules(now); applied {
				b.actions.Log("the route table that waited is applied")
			}
		}
	}
}
