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

const (
	statusInterval = time.Second
	statusTimeout  = 400 * time.Millisecond
	maxStatusBytes = 8 << 20 // of one status
)

// invariantMonitor reads what the processes' own invariants have counted. A process that starts again counts from 0, so the highest counts
// are kept.
type invariantMonitor struct {
	client admin.Client

	mu      sync.Mutex
	highest map[string]int64  // by invariant and process
	polls   int               // statuses that were read
	unread  map[string]string // by process, the first answer that is no status: why
}

// run polls all processes at an interval until ctx ends.
func (m *invariantMonitor) run(ctx context.Context, addresses map[string]string) {
	for clock.Sleep(ctx, statusInterval) {
		m.pollAll(ctx, addresses)
	}
}

// pollAll reads the status of all processes at the same time. addresses are by the names of the processes.
func (m *invariantMonitor) pollAll(ctx context.Context, addresses map[string]string) {
	var all sync.WaitGroup
	for name, address := range addresses {
		all.Go(func() { m.poll(ctx, name, address) })
	}
	all.Wait()
}

// errNotAStatus marks an answer that came whole and is no status.
var errNotAStatus = errors.New("the answer is no status")

// poll reads the status of one process. It does nothing if the process does not answer, as it is down, paused or partitioned. An answer that is no
// status is kept as a failure: the invariants of that process would be unseen for the whole run.
func (m *invariantMonitor) poll(ctx context.Context, name, address string) {
	counts, err := fetchViolations(ctx, address)
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(err, errNotAStatus) && m.unread[name] == "" {
		if m.unread == nil {
			m.unread = map[string]string{}
		}
		m.unread[name] = err.Error()
	}
	if err != nil {
		return
	}
	m.polls++
	if m.highest == nil {
		m.highest = map[string]int64{}
	}
	for invariant, n := range counts {
		key := invariant + " at " + name
		m.highest[key] = max(m.highest[key], n)
	}
}

// lines returns the invariants that were violated, and the processes whose status was none, as lines.
func (m *invariantMonitor) lines() (all []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.unread)) {
		all = append(all, statusUnreadable.line(name+": "+m.unread[name]))
	}
	for _, key := range slices.Sorted(maps.Keys(m.highest)) {
		if m.highest[key] > 0 {
			all = append(all, invariantViolated.line(fmt.Sprintf("%s, %d times", key, m.highest[key])))
		}
	}
	return all
}

// checkControlPlane fails unless a control-plane node is current and no zone is evacuated.
func (m *invariantMonitor) checkControlPlane(ctx context.Context, addresses []string) error {
	fleet, err := m.client.Fleet(ctx, addresses)
	switch {
	case err != nil:
		return err
	case !fleet.Current():
		return errors.New("no keeper is current")
	case len(fleet.Evacuated) > 0:
		return errors.Newf("zones %v are evacuated, and all evacuations were taken back", fleet.Evacuated)
	}
	return nil
}

// fetchViolations reads the status of a process, and returns what its invariants have counted, by name.
func fetchViolations(ctx context.Context, address string) (map[string]int64, error) {
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
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxStatusBytes))
	if err != nil {
		return nil, err
	}
	var status struct {
		Violations map[string]int64 `json:"violations"`
	}
	if err := json.Unmarshal(text, &status); err != nil || answer.StatusCode != http.StatusOK {
		return nil, errors.Mark(errors.Newf("status %d, %d bytes: %v", answer.StatusCode, len(text), err), errNotAStatus)
	}
	return status.Violations, nil
}
