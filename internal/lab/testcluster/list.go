package testcluster

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gradeusher.example/gradeusher/internal/lab/testcluster/rules"
)

// Platform is the stand-in of the platform's list: PROTOCOL.md "Service discovery".
type Platform struct {
	Lag              time.Duration // by which what it shows is old
	Rate             float64       // calls a second that it answers
	Page             int           // entries of a page
	CrashedListedFor time.Duration // how long a crashed server is still shown

	now      func() time.Duration
	servers  func() []Instance // as things stand
	evidence *rules.Evidence

	mu            sync.Mutex
	snapshots     []snapshot // the first is what is shown
	calls         []time.Duration
	totalCalls    int
	rejectedCalls int
}

type snapshot struct {
	at        time.Duration
	instances []Instance
}

// Observe records how things stand. It is to be called more often than Lag.
func (p *Platform) Observe() {
	now, instances := p.now(), p.servers()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshots = append(p.snapshots, snapshot{now, instances})
	p.dropStale(now)
}

// dropStale drops what is older than what is shown.
func (p *Platform) dropStale(now time.Duration) {
	for len(p.snapshots) > 1 && p.snapshots[1].at <= now-p.Lag {
		p.snapshots = p.snapshots[1:]
	}
	for _, i := range p.snapshots[0].instances {
		if i.Phase == phaseDraining && p.snapshots[0].at <= now-p.Lag {
			p.evidence.RecordDraining(i.ID, now)
		}
	}
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	now := p.now()
	p.calls = append(p.calls, now)
	for p.calls[0] <= now-time.Second {
		p.calls = p.calls[1:]
	}
	p.totalCalls++
	if float64(len(p.calls)) > p.Rate {
		p.rejectedCalls++
		p.mu.Unlock()
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if len(p.snapshots) == 0 {
		p.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.dropStale(now)
	shown := p.snapshots[0].instances
	p.mu.Unlock()
	page, next := p.page(shown, r.URL.Query().Get("zone"), r.URL.Query().Get("page_token"))
	page = slices.Clone(page) // what is shown stays
	for i := range page {
		page[i].WarmUpLeftMS = max(0, page[i].warmUntil-now).Milliseconds()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct { // to a caller that has gone
		Instances []Instance `json:"instances"`
		Next      *string    `json:"next_token"`
	}{page, next})
}

// page cuts out what a call asks for.
func (p *Platform) page(all []Instance, zone, token string) ([]Instance, *string) {
	some := []Instance{}
	for _, i := range all {
		if zone == "" || i.Zone == zone {
			some = append(some, i)
		}
	}
	from, _ := strconv.Atoi(strings.TrimPrefix(token, "p-"))
	from = max(0, min(from, len(some)))
	to := min(from+p.Page, len(some))
	if to == len(some) {
		return some[from:], nil
	}
	next := "p-" + strconv.Itoa(to)
	return some[from:to], &next
}

// Calls is how many calls came, and how many of them were over the rate.
func (p *Platform) Calls() (total, over int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalCalls, p.rejectedCalls
}
