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

// listedModel is a model that a server has loaded.
type listedModel struct {
	Name     string   `json:"name"`
	Revision int      `json:"revision"`
	Adapters []string `json:"adapters"`
}

func models() []listedModel { return []listedModel{{"m", 1, []string{}}} }

// Instance is an entry of the platform's list.
type Instance struct {
	Target   string        `json:"target"`
	Address  string        `json:"address"`
	Zone     string        `json:"zone"`
	Revision string        `json:"revision"`
	Slots    int           `json:"slots"`
	Phase    string        `json:"phase"`
	ColdLeft int64         `json:"cold_left_ms"`
	Left     *int64        `json:"remaining_ms,omitempty"`
	Stage    string        `json:"stage,omitempty"`
	Models   []listedModel `json:"models,omitempty"`
	ID       string        `json:"id"`

	coldTill time.Duration // from which ColdLeft is told when an answer is made
}

// Platform is the stand-in of the platform's list: PROTOCOL.md "Service discovery".
type Platform struct {
	Lag       time.Duration // by which what it shows is old
	Rate      float64       // calls a second that it answers
	Page      int           // entries of a page
	CrashedIs time.Duration // how long a crashed server is still shown

	now      func() time.Duration
	servers  func() []Instance // as things stand
	evidence *rules.Evidence

	mu    sync.Mutex
	past  []snapshot // the first is what is shown
	calls []time.Duration
	total int
	over  int
}

type snapshot struct {
	at        time.Duration
	instances []Instance
}

// Observe takes in how things stand. It is to be called more often than Lag.
func (p *Platform) Observe() {
	now, instances := p.now(), p.servers()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.past = append(p.past, snapshot{now, instances})
	p.settle(now)
}

// settle drops what is older than what is shown.
func (p *Platform) settle(now time.Duration) {
	for len(p.past) > 1 && p.past[1].at <= now-p.Lag {
		p.past = p.past[1:]
	}
	for _, i := range p.past[0].instances {
		if i.Phase == draining && p.past[0].at <= now-p.Lag {
			p.evidence.Shown(i.ID, now)
		}
	}
}

const draining = "draining"

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
	p.total++
	if float64(len(p.calls)) > p.Rate {
		p.over++
		p.mu.Unlock()
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if len(p.past) == 0 {
		p.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.settle(now)
	shown := p.past[0].instances
	p.mu.Unlock()
	page, next := p.page(shown, r.URL.Query().Get("zone"), r.URL.Query().Get("page_token"))
	page = slices.Clone(page) // what is shown stays
	for i := range page {
		page[i].ColdLeft = max(0, page[i].coldTill-now).Milliseconds()
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
	return p.total, p.over
}

// instance is how a server stands; false: it is not listed.
func (s *Server) instance(crashedIs time.Duration) (Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.w.Now()
	switch {
	case s.id == "" || s.goneAt != rules.Never:
		return Instance{}, false
	case s.crashed != rules.Never && now-s.crashed > crashedIs:
		return Instance{}, false
	}
	i := Instance{Target: s.Service, Address: s.address, Zone: s.Zone, Revision: "v1", Slots: s.slots(), Phase: "serving",
		ID: s.id, coldTill: s.coldTill}
	if s.draining {
		i.Phase = draining
	}
	if s.leavesAt != rules.Never {
		left := max(0, s.leavesAt-now).Milliseconds()
		i.Left = &left
	}
	if s.Engine != nil {
		i.Stage, i.Models = "both", models()
	}
	return i, true
}
