package quotarpc

import (
	"context"
	"sync"

	"gradeusher.example/gradeusher/internal/system/quota"
)

// maxWaitingPerTenant bounds the requests of one tenant that wait at a client.
const maxWaitingPerTenant = 1024

// ticket is a request that waits for its admission.
type ticket struct {
	gone      <-chan struct{}      // closed when nobody waits any more
	admission chan quota.Admission // room for one
}

// isCancelled reports whether nobody waits any more.
func (t ticket) isCancelled() bool {
	select {
	case <-t.gone:
		return true
	default:
		return false
	}
}

// batcher forms calls of the requests that wait, one at a time for each tenant: what comes during a call is in the next one.
// Invariant: a ticket is in one batch at most, and the result of a batch admits as many of its tickets as it says.
type batcher struct {
	take  func(tenant string, count int) Taken // decides on some requests, in bounded time
	knobs TestingKnobs

	mu      sync.Mutex
	waiting map[string][]ticket // by tenant; for a tenant with an entry, empty or not, a goroutine calls
	closed  bool
	calls   sync.WaitGroup
}

func newBatcher(take func(tenant string, count int) Taken, knobs TestingKnobs) *batcher {
	return &batcher{take: take, knobs: knobs, waiting: map[string][]ticket{}}
}

// admit waits for the admission of one request, and no longer than ctx.
func (b *batcher) admit(ctx context.Context, tenant string) quota.Admission {
	waiting := ticket{gone: ctx.Done(), admission: make(chan quota.Admission, 1)}
	if !b.enqueue(tenant, waiting) {
		return quota.Admission{Verdict: quota.Unavailable}
	}
	select {
	case admission := <-waiting.admission:
		return admission
	case <-ctx.Done():
		return quota.Admission{Verdict: quota.Unavailable}
	}
}

// enqueue adds a ticket to the next call of its tenant; false: too many wait, or the batcher was closed.
func (b *batcher) enqueue(tenant string, waiting ticket) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tickets, calling := b.waiting[tenant]
	if b.closed || len(tickets) >= maxWaitingPerTenant {
		return false
	}
	b.waiting[tenant] = append(tickets, waiting)
	if !calling {
		b.calls.Go(func() { b.callWhileWaiting(tenant) })
	}
	return true
}

// callWhileWaiting calls for a tenant's tickets until none waits.
func (b *batcher) callWhileWaiting(tenant string) {
	for {
		batch, found := b.nextBatch(tenant)
		if !found {
			return
		}
		batch = withoutCancelled(batch)
		if len(batch) > 0 {
			b.deliver(batch, b.take(tenant, len(batch)))
		}
	}
}

// nextBatch takes the tickets that wait; false: there are none, and the tenant's entry is gone.
func (b *batcher) nextBatch(tenant string) (batch []ticket, found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch = b.waiting[tenant]
	if len(batch) == 0 {
		delete(b.waiting, tenant)
		return nil, false
	}
	b.waiting[tenant] = nil
	return batch, true
}

// withoutCancelled leaves out the tickets that nobody waits for any more, so that no token is spent on them.
func withoutCancelled(batch []ticket) []ticket {
	kept := batch[:0]
	for _, waiting := range batch {
		if !waiting.isCancelled() {
			kept = append(kept, waiting)
		}
	}
	return kept
}

// deliver gives each ticket of a batch its part of the outcome.
func (b *batcher) deliver(batch []ticket, taken Taken) {
	if b.knobs.AdmitEntireBatch && taken.Admitted > 0 {
		taken.Admitted = len(batch)
	}
	for i, waiting := range batch {
		waiting.admission <- taken.admission(i)
	}
}

// close has later requests refused, and waits until the calls under way have ended.
func (b *batcher) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.calls.Wait()
}
