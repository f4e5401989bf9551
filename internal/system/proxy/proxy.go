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

// Options configures a Proxy. Numeric fields that are not positive take their documented default, if they have one.
type Options struct {
	Settings pick.Settings
	// GracePeriod is how long Drain may take: the time remaining until the platform kills the process. Default 8 s.
	GracePeriod time.Duration
	// LossSlack is how soon a client learns that its connection was closed during planned maintenance. Default 200 ms.
	LossSlack time.Duration
	// FDLimit is the process's limit on open file descriptors. Default 4096.
	FDLimit int
	// MemoryMB is the process's memory in MiB; a fifth of it is for bodies. Default 256.
	MemoryMB int
	// Log is where the proxy logs. Default log.Log.
	Log log.Interface
	// OnStall is called after the process was stopped or starved of CPU time, so that the caller can refresh its state from the control
	// plane. It must not block. It may be nil.
	OnStall func()
	// StateAge returns an upper bound on the time since the proxy's configuration was last known to be the newest. If it is nil, the
	// proxy uses the ContactAge of the last cluster state plus the time since then, which is higher if updates are sent only on changes.
	StateAge func() time.Duration
	// RevokeWithin is the time within which a revoked API key has to be refused everywhere, even without contact to the control plane.
	// 0: a proxy without contact continues to use the keys that it has.
	RevokeWithin time.Duration
	// Quota enforces the limits of tenants; nil: no limits are enforced.
	Quota QuotaAdmitter
	// Timeouts are how long clients and servers may be silent.
	Timeouts Timeouts
	// knobs are for tests only.
	knobs TestingKnobs
}

// withDefaults returns the options with defaults for the fields that are not set.
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
	lastContact  atomic.Int64 // when a current control-plane node last confirmed the cluster state; nanoseconds after pools.start
	pools        *upstreamPools
	memory       *memoryBudget
	clients      *clientListener
	counters     Counters
}

// New returns a Proxy without a cluster state: it answers 503 until UpdateClusterState has provided a configuration.
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

// UpdateClusterState replaces the configuration, the evacuated zones, the servers and the other proxies. The durations in state are
// relative to asOf.
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

// SetLoads replaces the numbers of requests that all other proxies together have in flight, by server.
func (p *Proxy) SetLoads(loads map[string]pick.Load) { p.picker.UpdatePeerLoads(loads) }

// Loads returns the number of requests that this proxy has in flight, by server, for the other proxies.
func (p *Proxy) Loads() map[string]pick.Load { return p.picker.Loads() }

// Describe returns a description, for operators, of the state on which the choice of servers is based.
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
