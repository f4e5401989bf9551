package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"gradeusher.example/gradeusher/internal/lab/clock"
	"gradeusher.example/gradeusher/internal/system/admin"
)

const maxStatusBytes = 8 << 20

// invariantMonitor reads what the processes' own invariants have counted. A process that starts again counts from 0.
type invariantMonitor struct {
	client admin.Client

	mu      sync.Mutex
	highest map[string]int64 // highest count seen, by process and invariant
	polls   int
}

// run looks once in a while until ctx ends.
func (w *invariantMonitor) run(ctx context.Context, addresses map[string]string) {
	for clock.Sleep(ctx, statusInterval) {
		w.pollAll(ctx, addresses)
	}
}

// pollAll asks all processes at once; those that do not answer are passed over.
func (w *invariantMonitor) pollAll(ctx context.Context, addresses map[string]string) {
	var all sync.WaitGroup
	for name, address := range addresses {
		all.Go(func() { w.poll(ctx, name, address) })
	}
	all.Wait()
}

// poll asks one process.
func (w *invariantMonitor) poll(ctx context.Context, name, address string) {
	counts, err := violations(ctx, address)
	if err != nil {
		return // it is down, or held up
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if w.highest == nil {
		w.highest = map[string]int64{}
	}
	for invariant, n := range counts {
		key := invariant + " at " + name
		w.highest[key] = max(w.highest[key], n)
	}
}

// lines are the invariants that were violated.
func (w *invariantMonitor) lines() (all []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(w.highest)) {
		if w.highest[key] > 0 {
			all = append(all, fmt.Sprintf("VIOLATION: %s, %d times", key, w.highest[key]))
		}
	}
	return all
}

// checkSettled reports whether a control-plane node is current and holds no evacuation.
func (w *invariantMonitor) checkSettled(ctx context.Context, keepers []string) error {
	f, err := w.client.Fleet(ctx, keepers)
	switch {
	case err != nil:
		return err
	case !f.Current():
		return errors.New("no keeper is current")
	case len(f.Evacuated) > 0:
		return errors.Newf("zones %v are evacuated, and all evacuations were taken back", f.Evacuated)
	}
	return nil
}

// violations asks a process for its status, and gives what its invariants have counted by name.
func violations(ctx context.Context, address string) (map[string]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: statusTimeout + time.Second}
	answer, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	var status struct {
		Violations map[string]int64 `json:"violations"`
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, maxStatusBytes)).Decode(&status)
	return status.Violations, err
}
