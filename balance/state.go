package balance

import (
	"cmp"
	"math/rand/v2"
	"time"

	"gradeusher.example/gradeusher/balance/hitters"
	"gradeusher.example/gradeusher/balance/signals"
)

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	settings             Settings
	actions              Actions
	rng                  *rand.Rand
	endpoints            []*endpoint          // listed, by id
	byID                 map[string]*endpoint // listed, or removed with attempts out
	inUse                []*endpoint          // members of the subsets
	groups               []*group             // of the best rule, and a last one of all endpoints
	fleet                *group               // the last of them
	warmingUp            group                // what cold endpoints' answers tell
	destinations         []Destination        // of the groups
	pendingRules         []Rule               // a route table that is not applied yet; nil: none is
	pendingSince         Time                 // since the first of those that waited one after the other
	requests             map[RequestID]*request
	tenants              []tenant
	meanSeconds          []float64          // mean time of the answers in seconds, by class
	classLatency         []group            // of each class, its answers' seconds and number, fading with each answer of any
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

// HeavyHitters is what is known of clients that ask for much; nil without Settings.HeavyHitters. The host tells it what the
// other sidecars told, and ends its windows.
func (b *Balancer) HeavyHitters() *hitters.Detector { return b.hitters }

// request is a request that is not over, or has attempts out.
type request struct {
	Request
	class           *Class
	deadline        Time
	overAllowance   bool          // beyond its tenant's allowance
	finished        bool          // has its final answer
	bodyConsumed    bool          // part of its body is gone: it cannot be sent again
	latency         time.Duration // its answer; 0: it has none
	pendingAttempts int           // attempts without a result
	attempts        []attempt
}

// attempt is one sending of a request.
type attempt struct {
	endpoint        *endpoint
	sentAt          Time
	load            float64 // what the endpoint held, this attempt included
	flight          *flight
	done            bool
	mayHaveExecuted bool // done, and may have run
}

// flight is an attempt that is out, as its endpoint sees it.
type flight struct {
	requestID   RequestID
	attempt     int // of the attempt
	sentAt      Time
	overtaken   int  // answers that the endpoint has given to attempts sent after it
	cancelled   bool // off
	noAnswerDue bool // no answer is due: its body is still coming, or the answer is
}

// tenant meters this sidecar's part of a tenant's allowance.
type tenant struct {
	tokens     float64
	refilledAt Time
}

// endpoint is a server and what this sidecar has seen of it.
type endpoint struct {
	Endpoint
	inFlight         int          // this sidecar's attempts out
	flights          []*flight    // those, in the order of their sending
	latencySum       float64      // fading sum of the seconds that answers took
	loadSum          float64      // and of the requests it held
	freshness        float64      // share of these two that counts still: 1 with each answer, and fading fast
	failures         float64      // count of faults, fading with successes
	ejectedUntil     Time         // ejected until
	lastServed       Time         // when it last gave an answer to this sidecar; 0: never
	failureKind      signals.Kind // how it failed when this sidecar last ejected it, until it serves again
	failedAt         Time
	rejections       int     // requests turned away since it last served this sidecar
	reportedDegraded bool    // full or slow, by the word of members
	condemnedSince   Time    // since when members' word ejects it; 0: it does not
	probeUntil       Time    // until then it is this sidecar's turn to try it all the same
	probedAt         Time    // when it last did
	reported         bool    // to the members, as of the last Witness
	warmUpStart      Time    // when it started as far as its warmth goes; 0: long ago
	outOfService     bool    // taken out by hand
	warmth           float64 // share of its capacity that it has
	turnCredit       float64 // part of a turn that it has earned since the last send to it, by its share of the sends
	zoneIndex        int     // 1 in another zone, 0 in the sidecar's own
	homeGroup        *group  // the first whose tags it carries; its peers there are alike
	inGroup          []bool  // which groups' tags it carries
	inSubset         bool    // in the subset of one of them
	eligible         bool    // may be chosen for the request in hand
}

// group is one destination of the best rule, or all endpoints.
type group struct {
	destination   Destination
	ready         []*endpoint // by id
	members       []*endpoint // the sidecar's subset of them, in order of rotation
	readyCapacity [2]float64  // registered size of the ready ones for their warmth, in the own zone and elsewhere
	latencySum    float64     // fading sum of the seconds that answers of endpoints at home in it took
	loadSum       float64     // and of the requests held for a unit of size
	owedSeconds   float64     // seconds for which answers of those have been due, at the last tick
	maxReadySize  float64     // the largest registered size ever ready in it
	nextTurn      int         // whose turn it is
	credit        float64     // of the smooth weighted schedule
}

// RulesPending tells whether a route table waits for a ready endpoint.
func (b *Balancer) RulesPending() bool { return b.pendingRules != nil }

// tagsOf are the tags that an endpoint carries.
func (b *Balancer) tagsOf(e Endpoint) map[string]string {
	return map[string]string{"service": b.settings.Service, "region": e.Zone, "version": e.Kind}
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
		rng: rand.New(rand.NewPCG(set.Seed, uint64(set.Self))), tenants: make([]tenant, len(set.Tenants)),
		zoneWeight: [2]float64{1, minZoneWeight}, reports: newReports(set)}
	var err error
	if b.hitters, err = hitters.New(set.Hitters); err != nil {
		return nil, err
	}
	for _, c := range set.Classes {
		b.shortestTarget = min(cmp.Or(b.shortestTarget, c.LatencyTarget.Seconds()), c.LatencyTarget.Seconds())
		b.meanSeconds = append(b.meanSeconds, c.LatencyTarget.Seconds()) // until answers tell
		b.classLatency = append(b.classLatency, group{latencySum: c.LatencyTarget.Seconds() / classLatencyStep, loadSum: 1 / classLatencyStep})
	}
	for _, t := range set.Tenants {
		b.totalAllowance += t.Allowance
	}
	return b, nil
}
