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
	ended  sync.WaitGroup
	wake   chan struct{}

	mu    sync.Mutex
	wants map[string]*wanted
}

// wanted is how a server should stand on the list.
type wanted struct {
	r      list.Registration
	state  list.State // that the keepers should show
	told   list.State // that they have taken
	dead   bool       // its process is gone without a word: its lease is left to end
	silent bool       // its machine reaches nobody
	round  int        // rises with each change of what is wanted
}

const registrarTry = 2 * time.Second

func newRegistrar(keepers []string, lease time.Duration) (*registrar, error) {
	c, err := client.New(keepers)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &registrar{client: c, lease: lease, stop: stop, wake: make(chan struct{}, 1), wants: map[string]*wanted{}}
	r.ended.Add(1)
	go func() {
		defer r.ended.Done()
		r.run(ctx)
	}()
	return r, nil
}

func (r *registrar) close() {
	r.stop()
	r.ended.Wait()
	r.client.Close()
}

// want changes what is wanted of a server.
func (r *registrar) want(uid string, change func(*wanted)) {
	if r == nil {
		return
	}
	r.mu.Lock()
	w := r.wants[uid]
	if w == nil {
		w = &wanted{}
		r.wants[uid] = w
	}
	change(w)
	w.round++
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// up has a server be on the list.
func (r *registrar) up(s *model.Spec, port int, bootMS int64) {
	size := s.SizeHint()
	r.want(s.UID, func(w *wanted) {
		w.r = list.Registration{Target: list.Target{UID: s.UID, Endpoint: fmt.Sprintf("127.0.0.1:%d", port), Zone: s.Zone, Model: s.Kind,
			State: list.Serving, Capacity: &size, BootMS: bootMS}, LeaseMS: r.lease.Milliseconds()}
		w.state, w.told, w.dead = list.Serving, "", false
	})
}

func (r *registrar) run(ctx context.Context) {
	renew := time.NewTicker(r.lease / 3)
	defer renew.Stop()
	for {
		again := r.tell(ctx)
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

// due are the servers that have something to tell, in the order of their ids.
func (r *registrar) due(is func(*wanted) bool) []wanted {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []wanted
	for _, w := range r.wants {
		if !w.dead && !w.silent && w.r.UID != "" && is(w) {
			all = append(all, *w)
		}
	}
	slices.SortFunc(all, func(a, b wanted) int {
		if a.r.UID < b.r.UID {
			return -1
		}
		return 1
	})
	return all
}

// tell tells the keepers what they have not taken. It tells true where something is left.
func (r *registrar) tell(ctx context.Context) (again bool) {
	ctx, cancel := context.WithTimeout(ctx, registrarTry)
	defer cancel()
	var news []list.Registration
	var of []wanted
	for _, w := range r.due(func(w *wanted) bool { return w.state == list.Serving && w.told != list.Serving }) {
		news, of = append(news, w.r), append(of, w)
	}
	if len(news) > 0 {
		if _, err := r.client.Register(ctx, news, nil); err != nil {
			again = true
		} else {
			for _, w := range of {
				r.taken(w, list.Serving)
			}
		}
	}
	for _, w := range r.due(func(w *wanted) bool { return w.state != list.Serving && w.told != w.state }) {
		turn := client.Drain
		if w.state == list.Deleted {
			turn = client.Deregister
		}
		var refused *client.RefusedError
		if _, err := r.client.Change(ctx, turn, w.r.UID, nil); err != nil && !errors.As(err, &refused) {
			again = true
			break
		}
		r.taken(w, w.state) // what is not there needs no drain
	}
	return again
}

// taken notes that the keepers have taken what was wanted, unless something else is by now.
func (r *registrar) taken(w wanted, state list.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.wants[w.r.UID]; now != nil && now.round == w.round {
		if now.told = state; state == list.Deleted {
			delete(r.wants, w.r.UID)
		}
	}
}

func (r *registrar) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(r.lease/3, 100*time.Millisecond))
	defer cancel()
	var all []client.Renewal
	of := map[string]wanted{}
	for _, w := range r.due(func(w *wanted) bool { return w.told == list.Serving || w.told == list.Draining }) {
		all, of[w.r.UID] = append(all, client.Renewal{UID: w.r.UID, BootMS: w.r.BootMS}), w
	}
	if len(all) == 0 {
		return
	}
	unknown, err := r.client.Renew(ctx, all)
	if err != nil {
		return // the next one may come through
	}
	for _, uid := range unknown {
		r.taken(of[uid], "") // to be told again
	}
}
