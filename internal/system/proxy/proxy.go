package proxy

import (
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"gradeusher.example/gradeusher/internal/system/config"
	"gradeusher.example/gradeusher/internal/system/proxy/pick"
)

// Options are what a Proxy is made with.
type Options struct {
	Settings    pick.Settings
	GracePeriod time.Duration // that Drain may take: what is left of the time up to the platform's kill; default 8 s
	LossSlack   time.Duration // how soon a client learns that its connection has ended, around planned work; default 200 ms
	FDLimit     int           // descriptors of the process; default 4096
	MemoryMB    int           // of the process; default 256
	Log         log.Interface // default log.Log
	OnStall     func()        // is called when the process has stood still: a keeper is to be asked at once; nil: none is. It must not block

	clientWriteTimeout     time.Duration // a client that takes nothing for so long is given up; default clientWriteTimeout
	minSilenceTimeout      time.Duration // a server may be silent so long before an answer begins; default minSilenceTimeout
	minEventSilenceTimeout time.Duration // and so long within a stream; default minEventSilenceTimeout
	Knobs                  TestingKnobs  // in tests
}

// Proxy is the data plane of one process. Its methods may be called from any goroutine.
type Proxy struct {
	options      Options
	picker       *lockedPicker
	clusterState atomic.Pointer[pick.ClusterState]
	pools        *upstreamPools
	memory       *memoryBudget
	clients      *clientListener
	counters     Counters
}

// New makes a Proxy that knows no world yet: it answers 503 until SetWorld has told it a configuration.
func New(options Options) *Proxy { return newProxy(options, pick.New(options.Settings)) }

func newProxy(options Options, inner picker) *Proxy {
	if options.GracePeriod <= 0 {
		options.GracePeriod = 8 * time.Second
	}
	if options.LossSlack <= 0 {
		options.LossSlack = 200 * time.Millisecond
	}
	if options.FDLimit <= 0 {
		options.FDLimit = 4096
	}
	if options.MemoryMB <= 0 {
		options.MemoryMB = 256
	}
	if options.clientWriteTimeout <= 0 {
		options.clientWriteTimeout = clientWriteTimeout
	}
	if options.minSilenceTimeout <= 0 {
		options.minSilenceTimeout = minSilenceTimeout
	}
	if options.minEventSilenceTimeout <= 0 {
		options.minEventSilenceTimeout = minEventSilenceTimeout
	}
	if options.Log == nil {
		options.Log = log.Log
	}
	p := &Proxy{options: options, picker: newLockedPicker(inner, options.OnStall), memory: newMemoryBudget(int64(options.MemoryMB) << 20 / bodyMemoryDivisor)}
	p.pools = newUpstreamPools(options.Settings, &p.counters)
	p.pools.knobs = options.Knobs
	p.clients = newClientListener(p)
	return p
}

// UpdateClusterState replaces what is known of the configuration, the evacuated zones, the servers and the other proxies. The durations in w
// are as of the moment asOf.
func (p *Proxy) UpdateClusterState(asOf time.Time, w pick.ClusterState) {
	p.picker.UpdateClusterState(asOf, w)
	p.pools.applyUpdate(w)
	p.clusterState.Store(&w)
	if w.Config != nil {
		p.clients.setLimits(w.Config.Limits)
	}
}

// AwaitsServerList tells whether some servers wait for a newer reading of the platform's list.
func (p *Proxy) AwaitsServerList() bool { return p.picker.AwaitsServerList() }

// SetLoads tells what all other proxies together have outstanding at each server.
func (p *Proxy) SetLoads(loads map[string]pick.Load) { p.picker.SetLoads(loads) }

// Loads is what this proxy has outstanding at each server, for the other proxies.
func (p *Proxy) Loads() map[string]pick.Load { return p.picker.Loads() }

// Describe says for operators what the choice of servers rests on.
func (p *Proxy) Describe() string { return p.picker.Describe() }

// Ready tells whether clients may come: a configuration is held and no planned end has begun.
func (p *Proxy) Ready() bool { return p.config() != nil && !p.clients.draining.Load() }

// Counters are for operators.
func (p *Proxy) Counters() *Counters { return &p.counters }

func (p *Proxy) config() *config.Config {
	if w := p.clusterState.Load(); w != nil {
		return w.Config
	}
	return nil
}
