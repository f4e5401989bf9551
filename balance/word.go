package balance

import (
	"cmp"
	"time"

	"gradeusher.example/gradeusher/balance/signals"
)

const (
	comeBack = time.Second       // in which sidecars come back, in turn, to what the word had avoided
	tryEach  = 160 * time.Second // each user of a doubted endpoint tries it in turn: one in 20 in 8 s
	tryLeast = time.Second / 2   // but not more often for all users together
	tryHold  = 2 * time.Second   // a turn waits so long for a request
	tryMost  = 8 * time.Second   // nor more seldom: else nobody would know that it is back
	early    = 4.0               // times its class's mean time: enough to speak of, as one of three
	slowAt   = 4.0               // times the usual time of its group: far slower
)

// heed ejects whom the members call silent or refusing, as long as they do, but for what has served this
// sidecar in the last second. Panic counts it as any ejection. Full and slow is believed by who knows little
// of it. Who tries next goes by turns, of which each user has one in tryEach, sooner once one was served.
func (b *Balancer) heed(now Time) {
	judged, v := b.book.Judged(now), b.view()
	for _, e := range b.endpoints {
		kind, was := judged[e.subject()], e.doubted > 0
		own := e.served > 0 && now-e.served < time.Second
		e.worse = kind > signals.None && kind < signals.Refusing
		if kind < signals.Refusing || own {
			if e.doubted = 0; was && !own {
				e.until = max(e.until, now+v.Back(e.hash(), comeBack))
			}
			continue
		}
		e.doubted, e.until = cmp.Or(e.doubted, now), max(e.until, now+2*tickEvery)
		period := min(max(tryEach/time.Duration(max(v.Count, 1)), tryLeast), tryMost)
		if _, serves := b.book.Heard(e.subject()); serves > 0 {
			period = min(period, tryLeast) // one has had an answer: another makes it sure
		}
		if v.Mine(e.hash(), now, period) && now-e.tried >= period && e.awaited() == 0 {
			e.try = now + tryHold
		}
	}
}

// trial is a doubted endpoint that this sidecar is to try in its turn, by a request that may be sent again.
func (b *Balancer) trial(q *request, now Time) *endpoint {
	for _, e := range b.active {
		if e.doubted > 0 && now < e.try && e.ready() && q.class.Effect == Idempotent && len(q.attempts) == 0 {
			e.try, e.tried = 0, now
			return e
		}
	}
	return nil
}

// fails is how an endpoint fails by what this sidecar saw itself, how often, and when; or that it served it,
// where others say that it fails. Danger: a heavy request is as silent as a dead server; so it has been out
// for longer than most, and nothing came since.
func (b *Balancer) fails(e *endpoint, now Time) (signals.Kind, int, Time) {
	silent := 0
	for _, f := range e.flights {
		q, out := b.requests[f.id], (now - f.sent).Seconds()
		if q != nil && !f.lost() && f.sent > e.served && out >= early*b.work[q.Class] {
			silent++
		}
	}
	switch failing, _ := b.book.Heard(e.subject()); {
	case silent > 0:
		return signals.Silent, silent, now
	case e.struck > signals.None:
		return e.struck, 1 + int(e.faults), e.struckAt
	case e.turned > 0:
		return signals.Full, e.turned, e.struckAt
	case e.held*e.fresh >= prior && e.took*e.able() > slowAt*e.held*e.home.usual():
		return signals.Slow, 2, e.served
	case failing > 0 && e.served > e.doubted && now-e.served <= b.book.Bound:
		return signals.Serves, 1, e.served
	}
	return signals.None, 0, 0
}
