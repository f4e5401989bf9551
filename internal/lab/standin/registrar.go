package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/model"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// registrar keeps the servers of a host registered with registry nodes, as the servers' own agents would. It reconciles what the
// registry has acknowledged with what is desired of each server until both agree, however long the registry is down.
// A nil registrar accepts desired changes and does nothing.
type registrar struct {
	client *client.Client
	lease  time.Duration
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	wake   chan struct{} // holds one value when something desired changed

	mu      sync.Mutex
	desired map[string]*desiredEntry // by UID
}

// desiredEntry is how a server should stand in the registry.
type desiredEntry struct {
	registration list.Registration
	state        list.State // that the registry should show
	acknowledged list.State // that the registry has confirmed
	crashed      bool       // its process ended without deregistering: its lease is left to expire
	isolated     bool       // its machine reaches nobody
	generation   int        // rises with each change of what is desired
}

// canSend reports whether the server's agent runs and reaches the registry, with something to register.
func (e *desiredEntry) canSend() bool { return !e.crashed && !e.isolated && e.registration.UID != "" }

const (
	reconcileTimeout       = 2 * time.Second        // for the calls of one reconciliation
	reconcileRetryInterval = 100 * time.Millisecond // from a failed one to the next
	minRenewTimeout        = 100 * time.Millisecond // for a renewal where leases are short
	renewalsPerLease       = 3
)

// newRegistrar returns a registrar that has started. The caller closes it.
func newRegistrar(registryNodes []string, lease time.Duration) (*registrar, error) {
	registry, err := client.New(registryNodes)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &registrar{client: registry, lease: lease, cancel: cancel, wake: make(chan struct{}, 1), desired: map[string]*desiredEntry{}}
	started.tasks.Add(1)
	go func() {
		defer started.tasks.Done()
		started.run(ctx)
	}()
	return started, nil
}

// close ends the registrar. What the registry has is left to its leases.
func (r *registrar) close() {
	r.cancel()
	r.tasks.Wait()
	r.client.Close()
}

// updateDesired changes what is desired of a server.
func (r *registrar) updateDesired(uid string, change func(*desiredEntry)) {
	if r == nil {
		return
	}
	r.mu.Lock()
	entry := r.desired[uid]
	if entry == nil {
		entry = &desiredEntry{}
		r.desired[uid] = entry
	}
	change(entry)
	entry.generation++
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// register has a server be registered as serving, at a port of this host.
func (r *registrar) register(spec *model.Spec, port int, bootMS int64) {
	capacity := spec.SizeHint()
	r.updateDesired(spec.UID, func(e *desiredEntry) {
		e.registration = list.Registration{Target: list.Target{UID: spec.UID, Endpoint: fmt.Sprintf("127.0.0.1:%d", port), Zone: spec.Zone,
			Model: spec.Kind, State: list.Serving, Capacity: &capacity, BootMS: bootMS}, LeaseMS: r.lease.Milliseconds()}
		e.state, e.acknowledged, e.crashed = list.Serving, "", false
	})
}

// run reconciles whenever something desired changed, and after a failure, and renews leases, until ctx is done.
func (r *registrar) run(ctx context.Context) {
	renew := time.NewTicker(r.lease / renewalsPerLease)
	defer renew.Stop()
	for {
		complete := r.reconcile(ctx)
		var retry <-chan time.Time
		if !complete {
			retry = time.After(reconcileRetryInterval)
		}
		select {
		case <-r.wake:
		case <-retry:
		case <-renew.C:
			r.renew(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// selectEntries copies the entries that match and that may be sent, in the order of their UIDs.
func (r *registrar) selectEntries(match func(*desiredEntry) bool) []desiredEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []desiredEntry
	for _, entry := range r.desired {
		if entry.canSend() && match(entry) {
			selected = append(selected, *entry)
		}
	}
	slices.SortFunc(selected, func(a, b desiredEntry) int { return strings.Compare(a.registration.UID, b.registration.UID) })
	return selected
}

// reconcile sends the registry what it has not acknowledged, and reports whether that is complete.
func (r *registrar) reconcile(ctx context.Context) (complete bool) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	registered := r.registerServing(ctx)
	return r.sendStateChanges(ctx) && registered
}

// registerServing registers the servers that should serve in one call. It reports false where that failed.
func (r *registrar) registerServing(ctx context.Context) bool {
	entries := r.selectEntries(func(e *desiredEntry) bool { return e.state == list.Serving && e.acknowledged != list.Serving })
	if len(entries) == 0 {
		return true
	}
	registrations := make([]list.Registration, len(entries))
	for i, entry := range entries {
		registrations[i] = entry.registration
	}
	if _, err := r.client.Register(ctx, registrations, nil); err != nil {
		return false
	}
	for _, entry := range entries {
		r.acknowledge(entry, list.Serving)
	}
	return true
}

// sendStateChanges drains and deregisters servers one by one. It reports false, and leaves the rest, at the first that failed.
func (r *registrar) sendStateChanges(ctx context.Context) bool {
	for _, entry := range r.selectEntries(func(e *desiredEntry) bool { return e.state != list.Serving && e.acknowledged != e.state }) {
		change := client.Drain
		if entry.state == list.Deleted {
			change = client.Deregister
		}
		_, err := r.client.Change(ctx, change, entry.registration.UID, nil)
		if refused := new(client.RefusedError); err != nil && !errors.As(err, &refused) {
			return false
		}
		r.acknowledge(entry, entry.state) // an entry that is not there needs no drain
	}
	return true
}

// acknowledge records the state that the registry has confirmed, unless another one is desired by now.
func (r *registrar) acknowledge(sent desiredEntry, state list.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.desired[sent.registration.UID]
	if current == nil || current.generation != sent.generation {
		return
	}
	current.acknowledged = state
	if state == list.Deleted {
		delete(r.desired, sent.registration.UID)
	}
}

// renew renews the leases of all registered servers in one call. A failed call is left to the next renewal.
func (r *registrar) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(r.lease/renewalsPerLease, minRenewTimeout))
	defer cancel()
	var renewals []client.Renewal
	byUID := map[string]desiredEntry{}
	registered := func(e *desiredEntry) bool { return e.acknowledged == list.Serving || e.acknowledged == list.Draining }
	for _, entry := range r.selectEntries(registered) {
		uid := entry.registration.UID
		renewals = append(renewals, client.Renewal{UID: uid, BootMS: entry.registration.BootMS})
		byUID[uid] = entry
	}
	if len(renewals) == 0 {
		return
	}
	unknown, err := r.client.Renew(ctx, renewals)
	if err != nil {
		return
	}
	for _, uid := range unknown {
		r.acknowledge(byUID[uid], "") // so that it is registered again
	}
}
