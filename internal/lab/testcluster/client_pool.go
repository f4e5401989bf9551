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
	resolveTimeout    = time.Second // for each of at most three
	maxResolves       = 3
	clientIdleTimeout = 4 * time.Second // clients close connections that idled so long
)

// resolver asks directories.
type resolver struct {
	host, zone, region string
	http               *http.Client
}

// clientPool is how the clients of one zone come into the system: the directory's answer, and their open connections.
type clientPool struct {
	resolver
	maxTTL      time.Duration
	directories []Directory // nearer ones first
	now         func() time.Duration
	onSurplus   func(address string, bytes int) // bytes came while no request waited

	mu             sync.Mutex
	rng            *rand.Rand
	addresses      []string
	failed         map[string]bool // since the last answer
	idle           []*clientConn
	resolvedOnce   chan struct{} // closed with the first answer
	resolves       int
	failedResolves int // resolves that no directory answered
}

// sortByDistance orders directories for a zone.
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
	out := slices.Clone(all)
	slices.SortStableFunc(out, func(a, b Directory) int { return rank(a) - rank(b) })
	return out
}

// run resolves again and again until ctx ends.
func (e *clientPool) run(ctx context.Context) {
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
		timer.Reset(min(ttl, e.maxTTL))
	}
}

// resolve asks at most three directories; 0: none answered.
func (e *clientPool) resolve(ctx context.Context) time.Duration {
	for _, d := range e.directories[:min(maxResolves, len(e.directories))] {
		addresses, ttl, err := e.query(ctx, d.Address)
		if err != nil {
			continue
		}
		e.applyAddresses(addresses)
		return ttl
	}
	e.mu.Lock()
	e.failedResolves++
	if len(e.directories) > maxResolves { // later ones get their turn
		e.directories = append(e.directories[maxResolves:], e.directories[:maxResolves]...)
	}
	e.mu.Unlock()
	return 0
}

var errResolve = errors.New("the directory's answer names no addresses: ask another")

func (e *resolver) query(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
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
	defer func() { _ = resp.Body.Close() }() // it was read
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

// applyAddresses goes by a new answer: connections to addresses that it lacks are used no more.
func (e *clientPool) applyAddresses(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resolves == 0 {
		close(e.resolvedOnce)
	}
	e.resolves++
	e.addresses, e.failed = addresses, map[string]bool{}
	e.idle = slices.DeleteFunc(e.idle, func(c *clientConn) bool {
		gone := !slices.Contains(addresses, c.address)
		if gone {
			e.closeConn(c)
		}
		return gone
	})
}

// closeConn ends an idle connection, and tells of bytes that nobody asked for.
func (e *clientPool) closeConn(c *clientConn) {
	if bytes, _ := c.pendingBytes(); bytes > 0 {
		e.onSurplus(c.address, bytes)
	}
	_ = c.tcp.Close()
}

// takeIdle takes an open connection; nil: there is none.
func (e *clientPool) takeIdle() *clientConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		maxIdle := clientIdleTimeout
		if c.idleTimeout > 0 {
			maxIdle = min(maxIdle, c.idleTimeout-min(c.idleTimeout/4, 500*time.Millisecond))
		}
		bytes, closed := c.pendingBytes()
		if !closed && bytes == 0 && e.now()-c.idleSince < maxIdle {
			return c
		}
		e.closeConn(c)
	}
	return nil
}

// putIdle keeps a connection for later.
func (e *clientPool) putIdle(c *clientConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.addresses, c.address) {
		e.closeConn(c)
		return
	}
	c.idleSince = e.now()
	e.idle = append(e.idle, c)
}

// pickAddress draws an address for a new connection from those that have not failed.
func (e *clientPool) pickAddress() (string, bool) {
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

func (e *clientPool) markFailed(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed[address] = true
}

// closeAll closes what is open.
func (e *clientPool) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.idle {
		e.closeConn(c)
	}
	e.idle = nil
	e.http.CloseIdleConnections()
}
