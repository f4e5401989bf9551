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
	set        Settings
	act        Actions
	rng        *rand.Rand
	endpoints  []*endpoint          // listed, by id
	known      map[string]*endpoint // listed, or removed with attempts out
	active     []*endpoint          // members of the subsets
	groups     []*group             // of the best rule, and a last one of all endpoints
	fleet      *group               // the last of them
	cold       group                // what cold endpoints' answers tell
	routed     []Destination        // of the groups
	waits      []Rule               // a route table that is not applied yet; nil: none is
	waitsFrom  Time                 // since the first of those that waited one after the other
	requests   map[RequestID]*request
	tenants    []tenant
	work       []float64       // mean time of the answers in seconds, by class
	works      []group         // of each class, its answers' seconds and number, fading with each answer of any
	aim        float64         // the shortest aim
	near       [2]float64      // weight of the own zone, which is 1, and of the others
	idle       float64         // the usual time of the fleet when idle: the least of late
	room       float64         // registered size of the active endpoints for their warmth and zone
	arrived    float64         // fading count of requests
	allowed    float64         // sum of the tenants' allowances
	grouped    Time            // when the subsets were last taken
	all, alike place           // among the members, and among those of its zone and level
	level      int             // of its traffic, see Level
	leveled    Time            // when that was last looked at
	heard      Time            // when an attempt last ended
	byHand     map[string]Time // ids that staff took out, and since when
	book       *signals.Book   // of what the members say
	panicking  bool            // so much is ejected that the fault is likely ours
	subscribed bool
	tight      Time           // until then lesser classes give way
	refusals   int            // of discovery calls, in a row
	hitters    *hitters.Judge // nil: off
}

// Hitters is what is known of clients that ask for much; nil without Settings.Hitters. The host tells it what the
// other sidecars told, and ends its windows.
func (b *Balancer) Hitters() *hitters.Judge { return b.hitters }

// request is a request that is not over, or has attempts out.
type request struct {
	Request
	class    *Class
	deadline Time
	over     bool          // beyond its tenant's allowance
	ended    bool          // has its final answer
	spent    bool          // part of its body is gone: it cannot be sent again
	took     time.Duration // its answer; 0: it has none
	out      int           // attempts without a result
	attempts []attempt
}

// attempt is one sending of a request.
type attempt struct {
	to     *endpoint
	sent   Time
	held   float64 // what the endpoint held, this attempt included
	flight *flight
	done   bool
	mayRun bool // done, and may have run
}

// flight is an attempt that is out, as its endpoint sees it.
type flight struct {
	id     RequestID
	number int // of the attempt
	sent   Time
	passed int  // answers that the endpoint has given to attempts sent after it
	called bool // off
	apart  bool // no answer is due: its body is still coming, or the answer is
}

// tenant meters this sidecar's part of a tenant's allowance.
type tenant struct {
	tokens float64
	at     Time
}

// endpoint is a server and what this sidecar has seen of it.
type endpoint struct {
	Endpoint
	inFlight int          // this sidecar's attempts out
	flights  []*flight    // those, in the order of their sending
	took     float64      // fading sum of the seconds that answers took
	held     float64      // and of the requests it held
	fresh    float64      // share of these two that counts still: 1 with each answer, and fading fast
	faults   float64      // count of faults, fading with successes
	until    Time         // ejected until
	served   Time         // when it last gave an answer to this sidecar; 0: never
	struck   signals.Kind // how it failed when this sidecar last ejected it, until it serves again
	struckAt Time
	turned   int     // requests turned away since it last served this sidecar
	worse    bool    // full or slow, by the word of members
	doubted  Time    // since when members' word ejects it; 0: it does not
	try      Time    // until then it is this sidecar's turn to try it all the same
	tried    Time    // when it last did
	said     bool    // to the members, as of the last Witness
	from     Time    // when it started as far as its warmth goes; 0: long ago
	out      bool    // taken out by hand
	warm     float64 // share of its capacity that it has
	due      float64 // part of a turn that it has earned since the last send to it, by its share of the sends
	abroad   int     // 1 in another zone, 0 in the sidecar's own
	home     *group  // the first whose tags it carries; its peers there are alike
	joins    []bool  // which groups' tags it carries
	active   bool    // in the subset of one of them
	open     bool    // may be chosen for the request in hand
}

// group is one destination of the best rule, or all endpoints.
type group struct {
	dest    Destination
	ready   []*endpoint // by id
	members []*endpoint // the sidecar's subset of them, in order of rotation
	size    [2]float64  // registered size of the ready ones for their warmth, in the own zone and elsewhere
	took    float64     // fading sum of the seconds that answers of endpoints at home in it took
	held    float64     // and of the requests held for a unit of size
	owed    float64     // seconds for which answers of those have been due, at the last tick
	whole   float64     // the largest registered size ever ready in it
	next    int         // whose turn it is
	credit  float64     // of the smooth weighted schedule
}

// RulesWait tells whether a route table waits for a ready endpoint.
func (b *Balancer) RulesWait() bool { return b.waits != nil }

// tagsOf are the tags that an endpoint carries.
func (b *Balancer) tagsOf(e Endpoint) map[string]string {
	return map[string]string{"service": b.set.Service, "region": e.Zone, "version": e.Kind}
}

// blank returns a Balancer that has met nobody yet.
func blank(set Settings, act Actions) (*Balancer, error) {
	if set.Rules == nil {
		set.Rules = DefaultRules(set.Service, set.Zones, set.Kinds)
	}
	if err := check(set, act); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, act: act, known: map[string]*endpoint{}, requests: map[RequestID]*request{},
		rng: rand.New(rand.NewPCG(set.Seed, uint64(set.Self))), tenants: make([]tenant, len(set.Tenants)),
		near: [2]float64{1, leastNear}, book: newBook(set)}
	var err error
	if b.hitters, err = hitters.New(set.Hitters); err != nil {
		return nil, err
	}
	for _, c := range set.Classes {
		b.aim = min(cmp.Or(b.aim, c.Aim.Seconds()), c.Aim.Seconds())
		b.work = append(b.work, c.Aim.Seconds()) // until answers tell
		b.works = append(b.works, group{took: c.Aim.Seconds() / workStep, held: 1 / workStep})
	}
	for _, t := range set.Tenants {
		b.allowed += t.Allowance
	}
	return b, nil
}
