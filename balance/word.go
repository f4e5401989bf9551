package balance

import (
	"time"

	"gradeusher.example/gradeusher/balance/signals"
)

const (
	wordLasts = 3 * tickEvery   // an ejection at the members' word, beyond their verdict
	ownFresh  = 2 * time.Second // an own answer so young goes before the word of others
	comeBack  = 3 * time.Second // in which sidecars come back, in turn, to what they avoided at their word
)

// heed ejects whom the members' verdicts call silent or refusing. Panic counts it as any ejection.
func (b *Balancer) heed(now Time) {
	judged := b.book.Judged(now)
	for _, e := range b.endpoints {
		if judged[e.subject()] >= signals.Refusing && (e.served == 0 || now-e.served >= ownFresh) {
			e.until = max(e.until, now+wordLasts+b.view().Back(e.hash(), comeBack))
		}
	}
}

// fails is how an endpoint fails by what this sidecar saw itself, and when. Danger: one heavy request is as
// silent as a dead server; so two must have been out for longer than few are, and nothing have come since.
func (b *Balancer) fails(e *endpoint, now Time) (kind signals.Kind, count int, at Time) {
	for _, f := range e.flights {
		if q := b.requests[f.id]; q != nil && !f.lost() && f.sent > e.served &&
			(now-f.sent).Seconds() >= max(b.aim, heavy*b.work[q.Class]) {
			count++
		}
	}
	if count >= 2 {
		return signals.Silent, count, now
	}
	return e.struck, int(e.faults + 1), e.struckAt
}
