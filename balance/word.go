package balance

import (
	"time"

	"gradeusher.example/gradeusher/balance/signals"
)

const comeBack = 3 * time.Second // in which sidecars come back, in turn, to what the word had avoided

// heed ejects whom the members' verdicts call silent or refusing, as long as they do, but for what has served
// this sidecar in the last second. Panic counts it as any ejection.
func (b *Balancer) heed(now Time) {
	judged := b.book.Judged(now)
	for _, e := range b.endpoints {
		if judged[e.subject()] >= signals.Refusing && (e.served == 0 || now-e.served >= time.Second) {
			e.until = max(e.until, now+2*tickEvery+b.view().Back(e.hash(), comeBack))
		}
	}
}

// fails is how an endpoint fails by what this sidecar saw itself, how often, and when. Danger: a heavy
// request is as silent as a dead server; so it has been out for longer than most, and nothing came since.
func (b *Balancer) fails(e *endpoint, now Time) (signals.Kind, int, Time) {
	silent := 0
	for _, f := range e.flights {
		if q := b.requests[f.id]; q != nil && !f.lost() && f.sent > e.served &&
			(now-f.sent).Seconds() >= max(b.aim, heavy*b.work[q.Class]) {
			silent++
		}
	}
	if silent > 0 {
		return signals.Silent, silent, now
	}
	return e.struck, 1 + int(e.faults), e.struckAt
}
