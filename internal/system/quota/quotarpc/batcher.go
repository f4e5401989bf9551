package quotarpc

import (
	"context"
	"sync"

	"gradeusher.example/gradeusher/internal/system/quota"
)

// maxWaitingPerTenant is the maximum number of requests of one tenant that wait at a client.
const maxWaitingPerTenant = 1024

// ticket is a request that is waiting for its admission.
type ticket struct {
	done      <-chan struct{}      // closed when the request is no longer waiting
	admission chan quota.Admission // has capacity for one value
}

// isCancelled reports whether the request is no longer waiting.
func (t ticket) isCancelled() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// batcher combines waiting requests into calls, one at a time for each tenant: requests that arrive during a call go into the next one.
//
// Invariant: a ticket is in at most one batch, and the number of tickets admitted in a batch is the number that its call admitted.
type batcher struct {
	take  func(tenant string, count int) TakeResult // decides on count requests, in bounded time
	knobs TestingKnobs

	mu      sync.Mutex
	waiting map[string][]ticket // by tenant; a tenant with an entry, even an empty one, has a goroutine that makes its calls
	closed  bool
	calls   sync.WaitGroup
}

func newBatcher(take func(tenant string, count int) TakeResult, knobs TestingKnobs) *batcher {
	return &batcher{take: take, knobs: knobs, waiting: map[string][]ticket{}}
}

// admit waits for the admission of one request until ctx ends.
func (b *batcher) admit(ctx context.Context, tenant string) quota.Admission {
	waiting := ticket{done: ctx.Done(), admission: make(chan quota.Admission, 1)}
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

// enqueue adds a ticket to the next call of its tenant. It returns false if too many are waiting or the batcher is closed.
func (b *batcher) enqueue(tenant string, waiting ticket) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tickets, calling := b.waiting[tenant]
	if b.closed || len(tickets) >= maxWaitingPerTenant {
		return false
	}
	b.waiting[tenant] = append(tickets, waiting)
	if !calling {
		b.calls.Go(func() { b.makeCalls(tenant) })
	}
	return true
}

// makeCalls makes calls for a tenant's tickets until none are waiting.
func (b *batcher) makeCalls(tenant string) {
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

// nextBatch removes and returns the waiting tickets. If there are none, it deletes the tenant's entry and returns false.
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

// withoutCancelled removes the cancelled tickets from a batch, so that no token is spent on them.
func withoutCancelled(batch []ticket) []ticket {
	kept := batch[:0]
	for _, waiting := range batch {
		if !waiting.isCancelled() {
			kept = append(kept, waiting)
		}
	}
	return kept
}

// deliver sends each ticket of a batch its verdict.
func (b *batcher) deliver(batch []ticket, taken TakeResult) {
	if b.knobs.AdmitEntireBatch && taken.Admitted > 0 {
		taken.Admitted = len(batch)
	}
	for i, waiting := range batch {
		waiting.admission <- taken.admission(i)
	}
}

// close makes later requests fail, and waits until the calls in flight have ended.
func (b *batcher) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.calls.Wait()
}
