package balance

import (
	"math"
	"time"
)

const (
	tickEvery   = 100 * time.Millisecond // housekeeping
	memory      = 6 * time.Second        // what requests and own answers have taught fades by 1/e in it
	recent      = time.Second            // what answers of all have, and own ones with none newer
	fullAt      = 2.5                    // of the usual time for its size when idle: below it none is full
	unseen      = 1.0                    // requests of others that each endpoint is taken to hold
	prior       = 2.0                    // requests held by which an endpoint's own record outweighs its peers'
	idleAfter   = 17                     // requests held in a mean that is true to a third
	idleKeep    = 10                     // memories in which what an idle fleet takes is forgotten by 1/e
	faultBar    = 1.6                    // faults that eject: two without some successes between them
	faultKeep   = 0.85                   // what a success leaves of the faults
	passedBy    = 4                      // later answers of its endpoint after which an attempt's own is lost
	reclaimAt   = 0.25                   // of its aim: a lost attempt is not called off sooner
	heavy       = 8.0                    // times its class's mean time: few requests take longer
	ejectFor    = 5 * time.Second        // an ejection lasts; the next fault after it is another
	ejectMost   = 0.5                    // of the ready size: with more ejected, the fault is likely our own
	spillAt     = 0.5                    // of the shortest aim: above it an endpoint is full
	crossAt     = 8.0                    // of the crossing charge, in aims: an answer sooner by that is worth it
	refuseAt    = 0.85                   // of the shortest aim: no answer expected later is worth its work
	workStep    = 0.05                   // weight of an answer in the mean times of classes
	overBar     = 0.5                    // bar of requests beyond an allowance, as a share of their class's
	surely      = 0.5                    // of the time left: a mean answer within it mostly comes in time
	levelSettle = 2 * memory             // a level stays so long at least: the traffic is known by then
	leastNear   = 0.001                  // weight of other zones at least: enough to know them
	shiftStep   = 0.03                   // of the way to go, what a tick moves the weight of other zones
)

// usual is the time to get through a request held for each unit of size: answer times over held.
func (g *group) usual() float64 { return g.took / math.Max(g.held, 1e-9) }

// tightBar is the expected answer time in seconds above which a class is refused while it is tight. Worth for
// each second that answers take counts: a class that has a quarter of the dearest's waits half as long.
func (b *Balancer) tightBar(class int) float64 {
	own := b.set.Classes[class].Worth / b.work[class]
	dearest := math.SmallestNonzeroFloat64
	for i, c := range b.set.Classes {
		dearest = math.Max(dearest, c.Worth/b.work[i])
	}
	return refuseAt * b.aim * math.Sqrt(own/dearest)
}

// expect is the answer time in seconds that a request sent now can expect, from what the endpoint's answers
// took for each request held. A little-used one is judged by its group, as kinds and zones are not equally
// loaded, and a little-used group by the fleet. Danger: a sidecar that believes the fleet too slow sends
// nothing and never learns better; the belief fades while no answer comes, as fast as what all have taught.
// Danger: a cold endpoint has no part in warm ones' queues, longest just then; cold ones are its peers.
func (b *Balancer) expect(e *endpoint, now Time) float64 {
	group := (e.home.took + e.home.owed + prior*b.fleet.usual()) / (e.home.held + prior)
	if e.warm < 1 {
		group = b.cold.took / (b.cold.held + prior)
	}
	if e.worse { // by the word of members. It weighs what its group would, and is alone no reason to refuse.
		group = max(group, 0.6*spillAt*b.aim*e.able())
	}
	drain := (e.took*e.fresh + e.owed(now) + prior*group/e.able()) / (e.held*e.fresh + prior)
	if e.awaited() == 0 {
		drain *= max(0, 1-(now-b.heard).Seconds()/recent.Seconds())
	}
	return (float64(e.awaited()+1) + unseen) * drain
}

// able is the registered size of what an endpoint can do now.
func (e *endpoint) able() float64 { return e.Size * math.Max(e.warm, 0.01) }

// lost tells whether so many later answers have passed an attempt that its own is not slow but lost, or none
// is due for now. Danger: one lost answer would close an endpoint that serves all others, until that attempt
// times out; a body that comes slowly, or an answer that is read slowly, would make it seem slow.
func (f *flight) lost() bool { return f.apart || f.passed >= passedBy }

// reclaim calls off what is lost at an endpoint where the request may be sent elsewhere. Danger: a
// heavy request is passed too, and its work would be done twice; so it gets many times what its class takes.
func (b *Balancer) reclaim(e *endpoint, now Time) {
	for _, f := range e.flights {
		q := b.requests[f.id]
		if !f.lost() || f.apart || f.called || q == nil || q.ended || q.class.Effect != Idempotent ||
			!b.set.CancelAllowed || len(q.attempts) >= b.set.MaxAttempts {
			continue
		}
		if (now - f.sent).Seconds() >= max(reclaimAt*q.class.Aim.Seconds(), heavy*b.work[q.Class]) {
			f.called = true
			b.act.Cancel(f.id, f.number)
		}
	}
}

// learn takes in how an attempt ended.
func (b *Balancer) learn(a *attempt, r Result, now Time) {
	e := a.to
	b.heard = now
	if r.Outcome == Served || r.Outcome == TimedOut && !a.flight.lost() {
		e.took += r.Took.Seconds()
		e.held += a.held
		e.fresh = 1
	}
	if r.Outcome == Served { // Danger: what a silent endpoint never answers would make its sound peers seem slow
		peers := []*group{e.home, b.fleet}
		if e.warm < 1 {
			peers = []*group{&b.cold}
		}
		for _, g := range peers {
			g.took += r.Took.Seconds()
			g.held += a.held / e.able()
		}
	}
	switch r.Outcome {
	case Saturated: // its queue is full: as bad as an answer at the aim
		e.took, e.fresh, e.turned, e.struckAt = e.took+b.aim, 1, e.turned+1, now
	case Served:
		e.faults, e.served, e.struck, e.turned = e.faults*faultKeep, now, 0, 0
	case Errored, TimedOut, ConnectFailed, Reset:
		if r.Outcome == TimedOut && a.sent > e.served {
			e.struck, e.struckAt = failure[r.Outcome], now
		}
		// Danger: an endpoint that fails fast looks idle and draws all requests.
		if e.faults += math.Pow(faultKeep, float64(a.flight.passed)); e.faults >= faultBar {
			e.until = now + ejectFor
			e.faults = 1 // the next fault after its return ejects it again
			e.struck, e.struckAt = failure[r.Outcome], now
			b.act.Log("ejected " + e.ID)
			b.regroup(now)
		}
	}
}

// timed takes in how many seconds an answer of a class took. Danger: what a jam taught of a class that is
// then refused would have it refused for good; without answers of its own it is taken for all classes' mean.
func (b *Balancer) timed(class int, took float64) {
	b.works[class].took += took / (1 - workStep)
	b.works[class].held += 1 / (1 - workStep)
	var all group
	for i := range b.works {
		b.works[i].fade(1 - workStep)
		all.took, all.held = all.took+b.works[i].took, all.held+b.works[i].held
	}
	for i, w := range b.works {
		b.work[i] = (w.took + all.usual()) / (w.held + 1)
	}
}

// fade lets go of the knowledge that is older by some time, and recounts warmth and the share ejected.
// Danger: what a jam has taught must not outlast it. Endpoints that seem full get nothing and cannot tell
// better: one is believed what its own answers told while they are recent, and then what the others tell.
// Danger: where most endpoints seem bad, the fault is likely our own; then ejection is suspended.
func (b *Balancer) fade(now Time, older time.Duration) {
	var out, all float64
	kept := func(memory time.Duration) float64 { return math.Exp(-older.Seconds() / memory.Seconds()) }
	b.arrived, b.room = b.arrived*kept(memory), 0
	b.cold.fade(kept(recent))
	for _, g := range b.groups {
		g.fade(kept(recent))
	}
	keep := kept(memory)
	for _, e := range b.active {
		e.took, e.held, e.fresh = e.took*keep, e.held*keep, e.fresh*kept(recent)
		e.warm = b.warmth(e, now)
		e.home.owed += e.owed(now)
		b.room += e.Size * e.warm * b.near[e.abroad]
		if all += e.Size; now < e.until {
			out += e.Size
		}
	}
	// Danger: if full went by the present usual time, queues everywhere would raise the bar, and none be full.
	if u := b.fleet.usual(); b.fleet.held >= idleAfter {
		if b.idle += (u - b.idle) * (1 - kept(memory)) / idleKeep; b.idle > u || b.idle == 0 {
			b.idle = u
		}
	}
	b.panicking = out > ejectMost*all
}

func (g *group) fade(keep float64) { g.took, g.held, g.owed = g.took*keep, g.held*keep, 0 }

// warmth is the share of its capacity that an endpoint has: it rises evenly from its start.
func (b *Balancer) warmth(e *endpoint, now Time) float64 {
	age := now - e.from
	if e.from <= 0 || age >= b.set.ColdTime {
		return 1
	}
	return b.set.StartCapacity + (1-b.set.StartCapacity)*max(age.Seconds(), 0)/b.set.ColdTime.Seconds()
}

// coldRoom tells whether an endpoint is warm, or has its next turn for the share of its capacity that it has.
// Danger: sidecars that all turn to a cold endpoint, as it alone seems free, push it over. When each keeps to
// its turns, it gets no more for its warmth than half the fall multiple of the fleet's mean, whatever the
// number of sidecars.
func (b *Balancer) coldRoom(e *endpoint) bool { return e.warm >= 1 || e.due >= 1 }
