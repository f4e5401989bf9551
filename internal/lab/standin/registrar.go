package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/model"
	"gradeusher.example/gradeusher/internal/sidecar/client"
	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// registrar keeps the servers of a host registered with keepers, as the servers' own agents would. What is wanted of each is
// kept and told until a keeper has taken it, however long they are down.
type registrar struct {
	client *client.Client
	lease  time.Duration
	stop   context.CancelFunc
	tasks  sync.WaitGroup
	wake   chan struct{}

	mu      sync.Mutex
	desired map[string]*desiredEntry
}

// desiredEntry is how a server should stand on the list.
type desiredEntry struct {
	registration list.Registration
	state        list.State // that the keepers should show
	acknowledged list.State // that they have taken
	crashed      bool       // its process is gone without a word: its lease is left to end
	isolated     bool       // its machine reaches nobody
	generation   int        // rises with each change of what is wanted
}

const reconcileTimeout = 2 * time.Second

func newRegistrar(registryNodes []string, lease time.Duration) (*registrar, error) {
	c, err := client.New(registryNodes)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &registrar{client: c, lease: lease, stop: stop, wake: make(chan struct{}, 1), desired: map[string]*desiredEntry{}}
	r.tasks.Add(1)
	go func() {
		defer r.tasks.Done()
		r.run(ctx)
	}()
	return r, nil
}

func (r *registrar) close() {
	r.stop()
	r.tasks.Wait()
	r.client.Close()
}

// updateDesired changes what is wanted of a server.
func (r *registrar) updateDesired(uid string, change func(*desiredEntry)) {
	if r == nil {
		return
	}
	r.mu.Lock()
	w := r.desired[uid]
	if w == nil {
		w = &desiredEntry{}
		r.desired[uid] = w
	}
	change(w)
	w.generation++
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// register has a server be on the list.
func (r *registrar) register(s *model.Spec, port int, bootMS int64) {
	size := s.SizeHint()
	r.updateDesired(s.UID, func(w *desiredEntry) {
		w.registration = list.Registration{Target: list.Target{UID: s.UID, Endpoint: fmt.Sprintf("127.0.0.1:%d", port), Zone: s.Zone, Model: s.Kind,
			State: list.Serving, Capacity: &size, BootMS: bootMS}, LeaseMS: r.lease.Milliseconds()}
		w.state, w.acknowledged, w.crashed = list.Serving, "", false
	})
}

func (r *registrar) run(ctx context.Context) {
	renew := time.NewTicker(r.lease / 3)
	defer renew.Stop()
	for {
		again := r.reconcile(ctx)
		var retry <-chan time.Time
		if again {
			retry = time.After(100 * time.Millisecond)
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

// selectEntries are the servers that have something to tell, in the order of their ids.
func (r *registrar) selectEntries(is func(*desiredEntry) bool) []desiredEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []desiredEntry
	for _, w := range r.desired {
		if !w.crashed && !w.isolated && w.registration.UID != "" && is(w) {
			all = append(all, *w)
		}
	}
	slices.SortFunc(all, func(a, b desiredEntry) int {
		if a.registration.UID < b.registration.UID {
			return -1
		}
		return 1
	})
	return all
}

// reconcile tells the keepers what they have not taken. It tells true where something is left.
func (r *registrar) reconcile(ctx context.Context) (again bool) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	var news []list.Registration
	var of []desiredEntry
	for _, w := range r.selectEntries(func(w *desiredEntry) bool { return w.state == list.Serving && w.acknowledged != list.Serving }) {
		news, of = append(news, w.registration), append(of, w)
	}
	if len(news) > 0 {
		if _, err := r.client.Register(ctx, news, nil); err != nil {
			again = true
		} else {
			for _, w := range of {
				r.acknowledge(w, list.Serving)
			}
		}
	}
	for _, w := range r.selectEntries(func(w *desiredEntry) bool { return w.state != list.Serving && w.acknowledged != w.state }) {
		turn := client.Drain
		if w.state == list.Deleted {
			turn = client.Deregister
		}
		var refused *client.RefusedError
		if _, err := r.client.Change(ctx, turn, w.registration.UID, nil); err != nil && !errors.As(err, &refused) {
			again = true
			break
		}
		r.acknowledge(w, w.state) // what is not there needs no drain
	}
	return again
}

// acknowledge notes that the keepers have acknowledge what was wanted, unless something else is by now.
func (r *registrar) acknowledge(w desiredEntry, state list.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.desired[w.registration.UID]; now != nil && now.generation == w.generation {
		if now.acknowledged = state; state == list.Deleted {
			delete(r.desired, w.registration.UID)
		}
	}
}

func (r *registrar) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(r.lease/3, 100*time.Millisecond))
	defer cancel()
	var all []client.Renewal
	of := map[string]desiredEntry{}
	for _, w := range r.selectEntries(func(w *desiredEntry) bool { return w.acknowledged == list.Serving || w.acknowledged == list.Draining }) {
		all, of[w.registration.UID] = append(all, client.Renewal{UID: w.registration.UID, BootMS: w.registration.BootMS}), w
	}
	if len(all) == 0 {
		return
	}
	unknown, err := r.client.Renew(ctx, all)
	if err != nil {
		return // the next one may come through
	}
	for _, uid := range unknown {
		r.acknowledge(of[uid], "") // to be told again
	}
}
