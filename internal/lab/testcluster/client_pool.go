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
	resolveTimeout       = time.Second // for one directory's answer
	maxResolves          = 3           // directories that one resolve asks
	failedResolveBackoff = 200 * time.Millisecond
	clientIdleTimeout    = 4 * time.Second // after which clients do not use a connection again
	maxIdleMargin        = 500 * time.Millisecond
)

// resolver asks directories for the proxies that clients of a zone are to use.
type resolver struct {
	host, zone, region string
	http               *http.Client
}

// clientPool is the clients of one zone: the proxies' addresses that a directory gave them, and their idle connections.
type clientPool struct {
	resolver
	maxTTL      time.Duration // for which an answer is used, at most
	directories []Directory   // in the order in which they are asked
	now         func() time.Duration
	onSurplus   func(address string, bytes int) // is called when bytes have come on an idle connection

	mu           sync.Mutex
	rng          *rand.Rand
	addresses    []string        // of the newest answer
	failed       map[string]bool // addresses that failed since the newest answer
	idle         []*clientConn
	resolvedOnce chan struct{} // closed with the first answer
	resolved     bool          // resolvedOnce is closed
}

// sortByDistance returns directories with those of the zone first, and then those of the region.
func sortByDistance(all []Directory, zone, region string) []Directory {
	rank := func(d Directory) int {
		switch {
		case d.Zone == zone:
			return 0
		case d.Region == region:
			return 1
		}
		return 2
	}
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b Directory) int { return rank(a) - rank(b) })
	return sorted
}

// run resolves whenever the answer's TTL is over, until ctx ends.
func (p *clientPool) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		ttl := p.resolve(ctx)
		if ttl <= 0 {
			ttl = failedResolveBackoff
		}
		timer.Reset(min(ttl, p.maxTTL))
	}
}

// resolve asks directories until one answers, and returns the TTL of its answer. If none of maxResolves answers, it returns 0, and the next
// resolve asks the directories after them.
func (p *clientPool) resolve(ctx context.Context) time.Duration {
	for _, d := range p.directories[:min(maxResolves, len(p.directories))] {
		addresses, ttl, err := p.query(ctx, d.Address)
		if err != nil {
			continue
		}
		p.applyAddresses(addresses)
		return ttl
	}
	p.mu.Lock()
	if len(p.directories) > maxResolves {
		p.directories = append(p.directories[maxResolves:], p.directories[:maxResolves]...)
	}
	p.mu.Unlock()
	return 0
}

var errResolve = errors.New("the directory's answer names no addresses: ask another")

// query asks the directory at an address. It fails with errResolve if the answer has no addresses or no TTL.
func (r *resolver) query(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	query := url.Values{"name": {r.host}, "region": {r.region}, "zone": {r.zone}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
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

// applyAddresses takes over a directory's answer, and closes idle connections to addresses that it lacks.
func (p *clientPool) applyAddresses(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.resolved {
		close(p.resolvedOnce)
		p.resolved = true
	}
	p.addresses, p.failed = addresses, map[string]bool{}
	p.idle = slices.DeleteFunc(p.idle, func(c *clientConn) bool {
		gone := !slices.Contains(addresses, c.address)
		if gone {
			p.closeConn(c)
		}
		return gone
	})
}

// closeConn closes an idle connection, and reports surplus bytes on it.
func (p *clientPool) closeConn(c *clientConn) {
	if surplus, _ := c.pendingBytes(); surplus > 0 {
		p.onSurplus(c.address, surplus)
	}
	_ = c.tcp.Close()
}

// takeIdle takes the connection that was used last, if it can still be used, and closes those that cannot. It returns nil if there is none.
func (p *clientPool) takeIdle() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		surplus, closed := c.pendingBytes()
		if !closed && surplus == 0 && p.now()-c.idleSince < c.maxIdle() {
			return c
		}
		p.closeConn(c)
	}
	return nil
}

// maxIdle returns how long the connection may be idle before the next request: less than the proxy's own time-out by a margin, so that the
// proxy does not close it under a request.
func (c *clientConn) maxIdle() time.Duration {
	if c.idleTimeout <= 0 {
		return clientIdleTimeout
	}
	return min(clientIdleTimeout, c.idleTimeout-min(c.idleTimeout/4, maxIdleMargin))
}

// putIdle keeps a connection for a later request, unless its address is no longer one of the newest answer.
func (p *clientPool) putIdle(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.addresses, c.address) {
		p.closeConn(c)
		return
	}
	c.idleSince = p.now()
	p.idle = append(p.idle, c)
	p.closeExpired()
}

// closeExpired closes the connections that have been idle for too long, of those that became idle first. Without it they would add up, as the one that was
// used last is taken first.
func (p *clientPool) closeExpired() {
	for len(p.idle) > 0 && p.now()-p.idle[0].idleSince >= p.idle[0].maxIdle() {
		p.closeConn(p.idle[0])
		p.idle = p.idle[1:]
	}
}

// pickAddress draws an address for a new connection from those that have not failed, or from all if all have. ok is false before the first
// answer.
func (p *clientPool) pickAddress() (address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []string
	for _, a := range p.addresses {
		if !p.failed[a] {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		candidates = p.addresses
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[p.rng.IntN(len(candidates))], true
}

// markFailed has pickAddress avoid an address until the next answer.
func (p *clientPool) markFailed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[address] = true
}

// closeAll closes all connections.
func (p *clientPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.closeConn(c)
	}
	p.idle = nil
	p.http.CloseIdleConnections()
}
