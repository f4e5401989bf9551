package testcluster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Directory is a process that answers GET /resolve, as clients know it.
type Directory struct {
	Address, Zone, Region string
}

const (
	resolveWithin = time.Second // for each of at most three
	mostResolves  = 3
	ownIdle       = 4 * time.Second // clients close connections that idled so long
)

// resolver asks directories.
type resolver struct {
	host, zone, region string
	http               *http.Client
}

// entry is how the clients of one zone come into the system: the directory's answer, and their open connections.
type entry struct {
	resolver
	ttlMost     time.Duration
	directories []Directory // nearer ones first
	now         func() time.Duration
	surplus     func(address string, bytes int) // bytes came while no request waited

	mu        sync.Mutex
	rng       *rand.Rand
	addresses []string
	failed    map[string]bool // since the last answer
	idle      []*conn
	answered  chan struct{} // closed with the first answer
	resolved  int
	missed    int // resolves that no directory answered
}

// nearer orders directories for a zone.
func nearer(all []Directory, zone, region string) []Directory {
	rank := func(d Directory) int {
		switch {
		case d.Zone == zone:
			return 0
		case d.Region == region:
			return 1
		}
		return 2
	}
	out := slices.Clone(all)
	slices.SortStableFunc(out, func(a, b Directory) int { return rank(a) - rank(b) })
	return out
}

// run resolves again and again until ctx ends.
func (e *entry) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		ttl := e.resolve(ctx)
		if ttl <= 0 {
			ttl = 200 * time.Millisecond
		}
		timer.Reset(min(ttl, e.ttlMost))
	}
}

// resolve asks at most three directories; 0: none answered.
func (e *entry) resolve(ctx context.Context) time.Duration {
	for _, d := range e.directories[:min(mostResolves, len(e.directories))] {
		addresses, ttl, err := e.ask(ctx, d.Address)
		if err != nil {
			continue
		}
		e.take(addresses)
		return ttl
	}
	e.mu.Lock()
	e.missed++
	if len(e.directories) > mostResolves { // later ones get their turn
		e.directories = append(e.directories[mostResolves:], e.directories[:mostResolves]...)
	}
	e.mu.Unlock()
	return 0
}

var errResolve = errors.New("the directory's answer names no addresses: ask another")

func (e *resolver) ask(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveWithin)
	defer cancel()
	query := url.Values{"name": {e.host}, "region": {e.region}, "zone": {e.zone}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, errResolve
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	if len(answer.Addresses) == 0 || answer.TTL <= 0 {
		return nil, 0, errResolve
	}
	return answer.Addresses, time.Duration(answer.TTL * float64(time.Second)), nil
}

// take goes by a new answer: connections to addresses that it lacks are used no more.
func (e *entry) take(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resolved == 0 {
		close(e.answered)
	}
	e.resolved++
	e.addresses, e.failed = addresses, map[string]bool{}
	e.idle = slices.DeleteFunc(e.idle, func(c *conn) bool {
		gone := !slices.Contains(addresses, c.address)
		if gone {
			e.close(c)
		}
		return gone
	})
}

// close ends an idle connection, and tells of bytes that nobody asked for.
func (e *entry) close(c *conn) {
	if bytes, _ := c.waits(); bytes > 0 {
		e.surplus(c.address, bytes)
	}
	_ = c.tcp.Close()
}

// kept takes an open connection; nil: there is none.
func (e *entry) kept() *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		most := ownIdle
		if c.idleFor > 0 {
			most = min(most, c.idleFor-min(c.idleFor/4, 500*time.Millisecond))
		}
		bytes, closed := c.waits()
		if !closed && bytes == 0 && e.now()-c.idleAt < most {
			return c
		}
		e.close(c)
	}
	return nil
}

// put keeps a connection for later.
func (e *entry) put(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.addresses, c.address) {
		e.close(c)
		return
	}
	c.idleAt = e.now()
	e.idle = append(e.idle, c)
}

// pick draws an address for a new connection from those that have not failed.
func (e *entry) pick() (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var good []string
	for _, a := range e.addresses {
		if !e.failed[a] {
			good = append(good, a)
		}
	}
	if len(good) == 0 {
		good = e.addresses
	}
	if len(good) == 0 {
		return "", false
	}
	return good[e.rng.IntN(len(good))], true
}

func (e *entry) fail(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed[address] = true
}

// end closes what is open.
func (e *entry) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.idle {
		e.close(c)
	}
	e.idle = nil
	e.http.CloseIdleConnections()
}
