package proxy

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/defaults"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// Defaults of Options.
const (
	defaultGracePeriod = 8 * time.Second
	defaultLossSlack   = 200 * time.Millisecond
	defaultFDLimit     = 4096
	defaultMemoryMB    = 256
)

// Options are what a Proxy is made with. Fields that are not above 0 have their default.
type Options struct {
	Settings pick.Settings
	// GracePeriod is how long Drain may take: what is left of the time up to the platform's kill. Default 8 s.
	GracePeriod time.Duration
	// LossSlack is how soon a client learns that its connection has ended, around planned work. Default 200 ms.
	LossSlack time.Duration
	// FDLimit is the process's limit of open file descriptors. Default 4096.
	FDLimit int
	// MemoryMB is the process's memory in MiB; a fifth of it is for bodies. Default 256.
	MemoryMB int
	// Log is where the proxy logs. Default log.Log.
	Log log.Interface
	// OnStall is called after the process was stopped or starved of CPU time, so that the caller refreshes what it knows from the
	// control plane. It must not block. It may be nil.
	OnStall func()
	// StateAge returns how long ago, at most, the configuration that the proxy has was certainly the newest. Where it is nil, the ContactAge
	// of the last cluster state and the time since then count, which is more where updates come only with changes.
	StateAge func() time.Duration
	// RevokeWithin is the time within which an API key that was taken away is to be refused everywhere, without contact to the control
	// plane too. 0: a proxy without contact goes on with the keys that it has.
	RevokeWithin time.Duration
	// Quota enforces the limits of tenants; nil: no limits are enforced.
	Quota QuotaAdmitter
	// Timeouts are how long clients and servers may be silent.
	Timeouts Timeouts
	// TestingKnobs are for tests only.
	knobs TestingKnobs
}

// withDefaults fills in what is not set.
func (o Options) withDefaults() Options {
	o.GracePeriod = defaults.IfNotPositive(o.GracePeriod, defaultGracePeriod)
	o.LossSlack = defaults.IfNotPositive(o.LossSlack, defaultLossSlack)
	o.FDLimit = defaults.IfNotPositive(o.FDLimit, defaultFDLimit)
	o.MemoryMB = defaults.IfNotPositive(o.MemoryMB, defaultMemoryMB)
	if o.Log == nil {
		o.Log = log.Log
	}
	o.Timeouts = o.Timeouts.withDefaults()
	return o
}

// Proxy is the data plane of one process. Its methods are safe for concurrent use.
type Proxy struct {
	options      Options
	picker       *lockedPicker
	clusterState atomic.Pointer[pick.ClusterState]
	lastContact  atomic.Int64 // when a current control-plane node last confirmed the cluster state; after pools.start, in nanoseconds
	pools        *upstreamPools
	memory       *memoryBudget
	clients      *clientListener
	counters     Counters
}

// New makes a Proxy without a cluster state: it answers 503 until UpdateClusterState has given it a configuration.
func New(options Options) *Proxy { return newProxy(options, pick.New(options.Settings)) }

func newProxy(options Options, inner picker) *Proxy {
	options = options.withDefaults()
	memoryBytes := int64(options.MemoryMB) << 20
	p := &Proxy{
		options: options,
		picker:  newLockedPicker(inner, options.OnStall),
		memory:  newMemoryBudget(memoryBytes / bodyMemoryDivisor),
	}
	p.pools = newUpstreamPools(options.Settings, &p.counters)
	p.pools.knobs = options.knobs
	p.clients = newClientListener(p)
	return p
}

// UpdateClusterState replaces what is known of the configuration, the evacuated zones, the servers and the other proxies. The
// durations in state are as of the moment asOf.
func (p *Proxy) UpdateClusterState(asOf time.Time, state pick.ClusterState) {
	p.picker.UpdateClusterState(asOf, state)
	p.pools.applyUpdate(state)
	p.lastContact.Store(int64(asOf.Sub(p.pools.start) - state.ContactAge))
	p.clusterState.Store(&state)
	if state.Config != nil {
		p.clients.setLimits(state.Config.Limits)
	}
}

// AwaitsServerList reports whether the choice of servers waits for a newer server list of the platform.
func (p *Proxy) AwaitsServerList() bool { return p.picker.AwaitsServerList() }

// SetLoads replaces the requests that all other proxies together have in flight, by server.
func (p *Proxy) SetLoads(loads map[string]pick.Load) { p.picker.UpdatePeerLoads(loads) }

// Loads returns the requests that this proxy has in flight, by server, for the other proxies.
func (p *Proxy) Loads() map[string]pick.Load { return p.picker.Loads() }

// Describe returns a text for operators on what the choice of servers rests on.
func (p *Proxy) Describe() string { return p.picker.Describe() }

// Ready reports whether the proxy serves clients: it has a configuration and is not draining.
func (p *Proxy) Ready() bool { return p.config() != nil && !p.clients.draining.Load() }

// Counters returns the counters, for operators.
func (p *Proxy) Counters() *Counters { return &p.counters }

func (p *Proxy) config() *config.Config {
	if state := p.clusterState.Load(); state != nil {
		return state.Config
	}
	return nil
}
