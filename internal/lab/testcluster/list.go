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
	Lag              time.Duration // by which the list is out of date
	Rate             float64       // calls a second that it answers; more are rejected
	Page             int           // entries of a page
	CrashedListedFor time.Duration // for which a crashed server is still listed

	now      func() time.Duration
	servers  func() []Instance // the entries as of now
	evidence *rules.Evidence

	mu            sync.Mutex
	snapshots     []snapshot      // in order of time; the first is served
	calls         []time.Duration // times of the calls within the last second
	totalCalls    int
	rejectedCalls int
}

// snapshot is the entries as of one moment.
type snapshot struct {
	at        time.Duration
	instances []Instance
}

// Observe takes a snapshot of the servers. It has to be called several times within Lag.
func (p *Platform) Observe() {
	now, instances := p.now(), p.servers()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshots = append(p.snapshots, snapshot{now, instances})
	p.dropStale(now)
}

// dropStale drops the snapshots before the one that is to be served, and records the servers that this one shows as draining. It is called
// with p.mu held.
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
	if !p.admit(now) {
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
	page = slices.Clone(page) // Snapshots are not changed.
	for i := range page {
		page[i].WarmUpLeftMS = max(0, page[i].warmUntil-now).Milliseconds()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(listPage{page, next}) // It fails only if the caller has gone.
}

// admit counts a call, and reports whether it is within the rate. It is called with p.mu held.
func (p *Platform) admit(now time.Duration) bool {
	p.calls = append(p.calls, now)
	for p.calls[0] <= now-time.Second {
		p.calls = p.calls[1:]
	}
	p.totalCalls++
	if float64(len(p.calls)) > p.Rate {
		p.rejectedCalls++
		return false
	}
	return true
}

// listPage is an answer of the list.
type listPage struct {
	Instances []Instance `json:"instances"`
	Next      *string    `json:"next_token"` // nil: this is the last page
}

const pageTokenPrefix = "p-" // before the index of a page's first entry

// page returns the entries of a zone (empty: of all zones) from a page token on, and the token of the next page, nil if there is none.
func (p *Platform) page(all []Instance, zone, token string) (entries []Instance, next *string) {
	entries = []Instance{}
	for _, entry := range all {
		if zone == "" || entry.Zone == zone {
			entries = append(entries, entry)
		}
	}
	from, _ := strconv.Atoi(strings.TrimPrefix(token, pageTokenPrefix))
	from = max(0, min(from, len(entries)))
	to := min(from+p.Page, len(entries))
	if to == len(entries) {
		return entries[from:], nil
	}
	nextToken := pageTokenPrefix + strconv.Itoa(to)
	return entries[from:to], &nextToken
}

// Calls returns how many calls came, and how many of them were above the rate.
func (p *Platform) Calls() (total, over int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalCalls, p.rejectedCalls
}
